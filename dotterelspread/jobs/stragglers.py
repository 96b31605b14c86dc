"""Which runs are stopped so that they go on elsewhere.

Answers workers on which tasks stand still or go many times slower than the other tasks
of their step, while their workers look healthy: a run is moved when it stands still, or
when it would take far longer to end where it is than its step takes elsewhere, and
another worker has room for it.
"""

from statistics import median

from .lifecycle import stop_run
from .placing import MIN_FILLER_SPEED_RATIO, FillerDemand, choose_worker, expected_speed
from .worker import RunStopReason

__all__ = ["FILLER_STALL_TIMEOUT_S", "find_move_reason", "move_stragglers"]

#: Seconds without progress after which a run counts as standing still.
STALL_TIMEOUT_S = 2.5
#: The same for a filler, which may be told to stand still for a while.
FILLER_STALL_TIMEOUT_S = 5.0
#: Ends of other tasks of the step that must be known to judge its usual run time.
MIN_COMPLETED_PEERS = 2
#: Usual run times that a run must have lasted, and would still last, to be moved.
MIN_AGE_RATIO = 2.5
MIN_REMAINING_RATIO = 3.0
#: Seconds that a run must still last to be worth moving.
MIN_REMAINING_S = 1.5
#: Seconds that a filler must have run, and would still last, to count as starved: a few
#: times what a task of the users' jobs takes at full speed.
MIN_FILLER_AGE_S = 8.0
MIN_FILLER_REMAINING_S = 10.0
#: How many times longer it must last where it is than anew elsewhere: what is known of
#: either is rough, and the work done so far is lost.
MIN_FILLER_GAIN_RATIO = 1.5
#: Pace that is assumed of a run that has stood still lately.
MIN_PACE_RATIO = 0.01
#: Runs that are moved at one tick, at most.
MAX_MOVES_PER_TICK = 4
#: Starts of a task after which it is not moved any more.
MAX_STARTS_PER_TASK = 4
#: Seconds for which a worker on which a run stood still gets no new tasks.
STALLED_WORKER_COOLDOWN_S = 3.0
DONE_PERCENT = 100


def move_stragglers(cell, now_s):
    """Have the runs stopped that would end sooner elsewhere; return effects."""
    effects = []
    for worker in cell.workers_by_id.values():
        if not worker.is_reachable:
            continue
        for task_id, run in worker.runs_by_task.items():
            if len(effects) >= MAX_MOVES_PER_TICK:
                return effects
            job = cell.jobs_by_id.get(run.job_id)
            if job is None or not _can_move(job, run):
                continue
            reason = find_move_reason(job, run, now_s)
            if not reason:
                continue
            if _find_alternative(cell, job, run, worker, now_s) is None:
                continue
            job.tasks_by_key[run.key].last_failed_worker_id = worker.worker_id
            if not run.is_filler and reason == RunStopReason.STALLED:
                cooldown_s = max(
                    worker.cooldown_until_s, now_s + STALLED_WORKER_COOLDOWN_S
                )
                worker.cooldown_until_s = cooldown_s
            effects.extend(stop_run(worker, run, task_id, reason))
    return effects


def _can_move(job, run):
    step = job.step_of(run.key)
    is_settled = run.is_listed and not (run.is_stop_requested or run.is_order_in_flight)
    is_movable = not (step.is_service or step.is_gang)
    return is_settled and is_movable and run.run <= MAX_STARTS_PER_TASK


def find_move_reason(job, run, now_s):
    """Return the `RunStopReason` for which to move a run, or an empty string.

    Parameters
    ----------
    job : Job
    run : Run
    now_s : float
    """
    if run.percent >= DONE_PERCENT:
        return ""
    # Fillers are slowed on purpose, and run as fast as others let them.
    allowed_s = FILLER_STALL_TIMEOUT_S if run.is_filler else STALL_TIMEOUT_S
    if now_s - run.progressed_s > allowed_s:
        return RunStopReason.STALLED
    if run.is_filler:
        is_slow = _is_starved(run, now_s)
    else:
        is_slow = _is_straggler(job, run, now_s)
    return RunStopReason.STRAGGLER if is_slow else ""


def _is_starved(run, now_s):
    """Tell whether a filler would last for far longer where it is than elsewhere.

    It may have to let others go first again and again without ever standing still. One
    that has much to do, and is let do it, is not starved.
    """
    worked_percent = run.percent - run.first_listed_percent
    if now_s - run.first_listed_s < MIN_FILLER_AGE_S or worked_percent <= 0:
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


def _is_straggler(job, run, now_s):
    durations = job.durations_by_step.get(run.key[:2], ())
    if len(durations) < MIN_COMPLETED_PEERS or not run.percent:
        return False
    usual_s = median(durations)
    age_s = now_s - run.first_listed_s
    remaining_s = age_s * (DONE_PERCENT - run.percent) / run.percent
    is_old = age_s > MIN_AGE_RATIO * usual_s
    return is_old and remaining_s > max(MIN_REMAINING_S, MIN_REMAINING_RATIO * usual_s)


def _find_alternative(cell, job, run, worker, now_s):
    others = [
        other
        for other in cell.workers_by_id.values()
        if other is not worker
        and other.service == worker.service
        and other.accepts_tasks(now_s)
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
