"""Capacity of a worker that is kept for a waiting task, and its use by others."""

from bisect import bisect_left
from dataclasses import dataclass

from .scoring import FillerDemand, expected_speed
from .timeline import (
    MIN_PACE_RATIO,
    NOTHING,
    add,
    free_now,
    releases_of,
    subtract,
    use_of,
)

__all__ = ["Reservation", "count_leaving_room", "latest_end_s", "leaves_room"]

#: Margin on run times in standard deviations: one run in six lasts longer.
MARGIN_DEVIATIONS = 1.0


@dataclass(slots=True, frozen=True)
class Reservation:
    """Capacity of a worker that is kept for a task."""

    job_id: str
    start_s: float
    #: Capacity that must be free at the start.
    need: tuple
    #: Capacity that the task takes.
    use: tuple
    #: Queue and class of the claiming job; None if the reservation holds against all
    #: jobs that come later in the order.
    claim: tuple | None = None


def latest_end_s(cell, job, step, worker, now_s):
    """Return when a task that starts on a worker now has ended, with a margin.

    A filler that gets a part of its processors runs longer in proportion.
    """
    expected = cell.run_times.expect(job.spec.queue.name, step)
    run_s = expected.upper_s(MARGIN_DEVIATIONS)
    if step.is_filler:
        demand = FillerDemand(step.image, step.demand.millicores, 0.0)
        run_s /= max(MIN_PACE_RATIO, expected_speed(cell.costs, demand, worker))
    return now_s + run_s


def count_leaving_room(cell, step, worker, held, now_s, end_s, limit):
    """Return how many tasks of a step leave room for the reserved ones, up to a limit.

    Parameters
    ----------
    cell : Cell
    step : StepSpec
    worker : Worker
    held : list of Reservation
    now_s, end_s : float
        Begin and end of the tasks.
    limit : int
    """
    use = use_of(step)

    def takes_reserved(count):
        total = tuple(count * amount for amount in use)
        return not leaves_room(cell, worker, held, total, now_s, end_s)

    return bisect_left(range(1, limit + 1), True, key=takes_reserved)


def leaves_room(cell, worker, held, use, now_s, end_s):
    """Return whether reserved tasks still fit beside a use of a worker.

    Parameters
    ----------
    cell : Cell
    worker : Worker
    held : list of Reservation
    use : tuple
        Capacity that is used from now on; see `timeline.use_of`.
    now_s, end_s : float
        Begin and end of the use.
    """
    releases = releases_of(cell, worker, now_s)
    needed = NOTHING
    for one in sorted(held, key=_start_of):
        if one.start_s >= end_s:
            break
        needed = add(needed, one.need)
        free = subtract(free_now(worker), use)
        for release in releases:
            if release.at_s > one.start_s:
                break
            free = add(free, release.amounts)
        if not _is_undisturbed(needed, use, free):
            return False
    return True


def _start_of(reservation):
    return reservation.start_s


def _is_undisturbed(needed, use, free):
    """Return whether a use takes none of the room that reserved tasks need."""
    return all(
        not needed[kind] or not use[kind] or needed[kind] <= free[kind]
        for kind in range(len(needed))
    )
