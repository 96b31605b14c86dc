"""Free capacity of a worker over the next seconds, from its runs in progress.

Capacity is a vector of processors, memory and accelerators that are not reserved, and
of processors that are not in use. Fillers reserve no processors but use them; other
tasks do both.
"""

from dataclasses import dataclass
from math import ceil

from ..taskrun import DONE_PERCENT
from ..worker import MAX_LISTING_GAP_S

__all__ = [
    "MIN_PACE_RATIO",
    "NOTHING",
    "Release",
    "add",
    "expected_end",
    "fits",
    "free_now",
    "need_of",
    "releases_of",
    "subtract",
    "use_of",
]

#: Amounts of capacity: reserved millicores, memory and accelerators, and millicores in
#: use.
Amounts = tuple[float, float, float, float]

#: No capacity.
NOTHING = (0, 0, 0, 0)
#: Time until a stopped run has ended: that of an order and of the stop.
STOPPING_S = 0.4
#: Remaining time of a run that is past its expected end, as a share of its run time.
OVERDUE_RATIO = 0.1
#: Lower bound of the pace of a run; keeps the time that it takes finite.
MIN_PACE_RATIO = 0.05
#: Progress since the first listing from which it tells the speed of a run: percentages
#: are rough.
MIN_WORKED_PERCENT = 10


@dataclass(slots=True, frozen=True)
class Release:
    """Capacity that becomes free at the expected end of a run."""

    #: On the leader's clock.
    at_s: float
    amounts: Amounts


def add(one, other):
    """Return the sum of two amounts."""
    return (
        one[0] + other[0],
        one[1] + other[1],
        one[2] + other[2],
        one[3] + other[3],
    )


def subtract(one, other):
    """Return the difference of two amounts."""
    return (
        one[0] - other[0],
        one[1] - other[1],
        one[2] - other[2],
        one[3] - other[3],
    )


def fits(need, free):
    """Return whether free capacity covers an amount; parts that need nothing always do.

    Processors in use may exceed the capacity, which concerns only fillers.
    """
    return (
        (not need[0] or need[0] <= free[0])
        and (not need[1] or need[1] <= free[1])
        and (not need[2] or need[2] <= free[2])
        and (not need[3] or need[3] <= free[3])
    )


def free_now(worker):
    """Return the free capacity of a worker."""
    available = worker.available
    return (
        available.millicores,
        available.memory_mb,
        available.accelerators,
        worker.idle_millicores,
    )


def use_of(step):
    """Return the capacity that a task of a step takes."""
    reserved = step.reserved
    return (
        reserved.millicores,
        reserved.memory_mb,
        reserved.accelerators,
        step.demand.millicores,
    )


def need_of(step, min_speed_ratio):
    """Return the capacity that must be free for a task of a step to start.

    Parameters
    ----------
    step : StepSpec
    min_speed_ratio : float
        Share of its full speed at which a filler is placed; others need no idle
        processors.
    """
    reserved = step.reserved
    idle = ceil(step.demand.millicores * min_speed_ratio) if step.is_filler else 0
    return reserved.millicores, reserved.memory_mb, reserved.accelerators, idle


def releases_of(cell, worker, now_s):
    """Return the `Release` of each run of a worker that ends, by time.

    Kept with the worker until its runs or their measurements change. Times that have
    passed meanwhile count as now.
    """
    if worker.releases is None:
        worker.releases = sorted(_find_releases(cell, worker, now_s), key=_at_s)
    return worker.releases


def _at_s(release):
    return release.at_s


def _find_releases(cell, worker, now_s):
    for run in worker.runs_by_task.values():
        reserved = run.reserved
        amounts = (
            reserved.millicores,
            reserved.memory_mb,
            reserved.accelerators,
            run.expected_millicores,
        )
        if run.is_stop_requested:
            yield Release(now_s + STOPPING_S, amounts)
            continue
        job = cell.jobs_by_id.get(run.job_id)
        if job is None or job.step_of(run.key).is_service:
            continue
        end_s, _ = expected_end(cell, job, run, now_s)
        yield Release(end_s, amounts)


def expected_end(cell, job, run, now_s):
    """Return the expected end of a run of a batch task, and a margin, in seconds.

    The percentage tells the speed the better the further the run has come; before, the
    learned run time does. The margin is one standard deviation.

    Parameters
    ----------
    cell : Cell
    job : Job
    run : TaskRun
    now_s : float
    """
    expected = cell.run_times.expect(job.spec.queue.name, job.step_of(run.key))
    if not run.is_listed:
        end_s = (run.last_order_s or now_s) + expected.seconds
        return _bound(end_s, expected.upper_s(1) - expected.seconds, expected, now_s)
    full_s, spread = expected.seconds, expected.spread
    worked_percent = run.percent - run.first_listed_percent
    if worked_percent >= MIN_WORKED_PERCENT and run.work_done_s > 0:
        own_s = run.work_done_s * DONE_PERCENT / worked_percent
        weight = worked_percent / DONE_PERCENT
        full_s += weight * (own_s - full_s)
        spread *= 1 - weight
    pace = max(run.recent_pace_ratio, MIN_PACE_RATIO)
    remaining_s = full_s * (DONE_PERCENT - run.percent) / DONE_PERCENT / pace
    listed_s = min(now_s, run.first_listed_s + run.observed_s)
    end_s = max(listed_s, now_s - MAX_LISTING_GAP_S) + remaining_s
    return _bound(end_s, spread * remaining_s, expected, now_s)


def _bound(end_s, margin_s, expected, now_s):
    """Return end and margin of a run; one past its end may last for as long again."""
    overdue_s = now_s - end_s
    if overdue_s < 0:
        return end_s, margin_s
    remaining_s = max(OVERDUE_RATIO * expected.seconds, overdue_s)
    return now_s + remaining_s, remaining_s
