"""Straggler handling: stops slow runs so that their tasks restart on other workers.

Tasks may stall, or run many times slower than the other tasks of their step, while
their workers look healthy. A run is moved when it stalls, or when its remaining time is
far above the usual run time of its step, and another worker can host the task. Only
time that consecutive listings of the worker cover is counted, so that no run is stopped
because its worker, its agent or the leader was silent for a while.
"""

from collections import Counter

from ..lifecycle import stop_run
from ..taskrun import DONE_PERCENT, RunStopReason
from .scoring import MIN_FILLER_SPEED_RATIO, FillerDemand, expected_speed
from .workerchoice import choose_worker
from .workerfaults import record_stall

__all__ = ["FILLER_STALL_TIMEOUT_S", "find_move_reason", "move_stragglers"]

#: Time without progress after which a run counts as stalled.
STALL_TIMEOUT_S = 2.5
#: The same for a filler, which may be paused on purpose for a while.
FILLER_STALL_TIMEOUT_S = 5.0
#: Share of the estimated run time for which a percentage may stay the same: several
#: percent, since estimates are rough.
MIN_UNCHANGED_RATIO = 0.05
#: Minimum number of completed tasks of the step to estimate its usual run time.
MIN_COMPLETED_PEERS = 2
#: Minimum age and remaining time of a run to be moved, in multiples of the usual run
#: time of its step.
MIN_AGE_RATIO = 2.5
MIN_REMAINING_RATIO = 3.0
#: Minimum remaining time for which a move is worthwhile.
MIN_REMAINING_S = 1.5
#: Minimum age and remaining time of a filler to count as starved: a few times the run
#: time of a typical task at full speed.
MIN_FILLER_AGE_S = 8.0
MIN_FILLER_REMAINING_S = 10.0
#: Minimum ratio of a filler's remaining time to the time of a fresh run elsewhere: both
#: estimates are rough, and a move loses the work done so far.
MIN_FILLER_GAIN_RATIO = 1.5
#: Lower bound of the recent pace; keeps the remaining time of a paused run finite.
MIN_PACE_RATIO = 0.01
#: Maximum number of runs that are moved in one tick.
MAX_MOVES_PER_TICK = 4
#: Number of runs of a step on one worker for which another worker is sought in vain in
#: one tick; what the others need is much the same.
MAX_FAILED_SEARCHES = 8
#: Number of starts of a task after which it is no longer moved.
MAX_STARTS_PER_TASK = 4


def move_stragglers(cell, now_s):
    """Stop the runs that would end sooner on another worker; return the effects."""
    effects = []
    for worker in cell.workers_by_id.values():
        if not worker.is_reachable:
            continue
        failed_searches = Counter()
        for task_id, run in worker.runs_by_task.items():
            if len(effects) >= MAX_MOVES_PER_TICK:
                return effects
            job = cell.jobs_by_id.get(run.job_id)
            if job is None or not _can_move(job, run):
                continue
            step = run.job_id, run.key[:2]
            if failed_searches[step] >= MAX_FAILED_SEARCHES:
                continue
            reason = find_move_reason(job, run)
            if not reason:
                continue
            if _find_alternative(cell, job, run, worker, now_s) is None:
                failed_searches[step] += 1
                continue
            job.tasks_by_key[run.key].avoided_worker_id = worker.worker_id
            if not run.is_filler and reason == RunStopReason.STALLED:
                record_stall(cell, worker, now_s)
            effects.extend(stop_run(worker, run, task_id, reason))
    return effects


def _can_move(job, run):
    step = job.step_of(run.key)
    is_settled = run.is_listed and not (run.is_stop_requested or run.is_order_in_flight)
    is_movable = not (step.is_service or step.is_gang)
    return is_settled and is_movable and run.run <= MAX_STARTS_PER_TASK


def find_move_reason(job, run):
    """Return the `RunStopReason` for which to move a run, or an empty string.

    Parameters
    ----------
    job : Job
    run : TaskRun
    """
    if run.percent >= DONE_PERCENT:
        return ""
    if run.unchanged_s > _stall_timeout_s(job, run):
        return RunStopReason.STALLED
    if run.is_filler:
        is_slow = _is_starved(run)
    else:
        is_slow = _is_straggler(job, run)
    return RunStopReason.STRAGGLER if is_slow else ""


def _stall_timeout_s(job, run):
    """Return how long the percentage of a run may stay the same.

    That of a long task changes rarely, and fillers are throttled on purpose.
    """
    base_s = FILLER_STALL_TIMEOUT_S if run.is_filler else STALL_TIMEOUT_S
    estimate_s = job.step_of(run.key).estimate_ms / 1000
    return max(base_s, MIN_UNCHANGED_RATIO * estimate_s)


def _is_starved(run):
    """Tell whether a filler would finish far sooner on another worker.

    A filler may be throttled again and again without ever stalling. A long filler that
    runs near its full speed is not starved.
    """
    worked_percent = run.percent - run.first_listed_percent
    if run.observed_s < MIN_FILLER_AGE_S or worked_percent <= 0:
        return False
    full_run_s = run.work_done_s * DONE_PERCENT / worked_percent
    remaining_ratio = (DONE_PERCENT - run.percent) / DONE_PERCENT
    remaining_s = (
        full_run_s * remaining_ratio / max(run.recent_pace_ratio, MIN_PACE_RATIO)
    )
    return remaining_s > max(
        MIN_FILLER_REMAINING_S,
        MIN_FILLER_GAIN_RATIO * full_run_s / MIN_FILLER_SPEED_RATIO,
    )


def _is_straggler(job, run):
    durations = job.durations_by_step.get(run.key[:2], ())
    if len(durations) < MIN_COMPLETED_PEERS or not run.percent:
        return False
    usual_s = _median(durations)
    remaining_s = run.observed_s * (DONE_PERCENT - run.percent) / run.percent
    is_old = run.observed_s > MIN_AGE_RATIO * usual_s
    return is_old and remaining_s > max(MIN_REMAINING_S, MIN_REMAINING_RATIO * usual_s)


def _median(ordered):
    """Return the median of sorted numbers, without a look at all of them."""
    half = len(ordered) // 2
    return (ordered[half] + ordered[-1 - half]) / 2


def _find_alternative(cell, job, run, worker, now_s):
    others = [
        other
        for other in cell.workers_by_id.values()
        if other is not worker
        and other.service == worker.service
        and other.accepts_tasks(now_s)
        and (worker.is_cold(now_s) or not other.is_cold(now_s))
    ]
    step = job.step_of(run.key)
    other = choose_worker(cell, job, run.key, step, others, now_s)
    if other is None or not step.is_filler:
        return other
    filler_demand = FillerDemand(
        step.image, step.demand.millicores, MIN_FILLER_SPEED_RATIO
    )
    is_faster = (
        expected_speed(cell.costs, filler_demand, other) >= MIN_FILLER_SPEED_RATIO
    )
    return other if is_faster else None
