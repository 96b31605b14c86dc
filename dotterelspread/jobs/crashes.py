"""Crashes of workers under their runs, and the tasks that are given up for them.

A crashed worker does not report which run was at fault. Every task that it had just
started is therefore a suspect, and is started apart from other work until a run of it
lasts. A task that remains a suspect is given up, so that it cannot crash workers again
and again.

A silent worker may have crashed or may be cut off and run on. Only the proof that its
process is gone makes a crash; `silentlosses` waits for it.
"""

from .incarnations import is_current, remove_worker
from .job import Phase
from .lifecycle import end_job
from .reportedeffects import TaskGivenUp, WorkerCrashed
from .workerloss import LostRun, WorkerLoss

__all__ = [
    "clear_suspicion",
    "conclude_crash",
    "count_crash",
    "has_crashed",
    "make_worker_loss",
    "remove_crashed_worker",
]

#: Longest time from a start to the worker's last reply before its crash for which the
#: task is a suspect. It covers the delays of replies.
SUSPECT_WINDOW_MS = 100
#: Observed time after which a run has shown that its start does not crash its worker.
PROBATION_S = 0.5
#: Observed time after which a service's run does not count as the cause of a crash. It
#: lasts for hours, in which many workers may crash.
SERVICE_TRIAL_S = 2.0
#: Number of early crashes of a task after which its job fails: if no other suspect of
#: the last one has as many, and in any case.
MAX_LEADING_CRASHES = 3
MAX_EARLY_CRASHES = 4
#: Number of crashes of a task, early or late, after which its job fails.
MAX_CRASHES = 5


def has_crashed(worker):
    """Tell whether a worker whose process is gone crashed, as far as the leader knows.

    A draining worker may have shut down, and one whose agent was lost as well may have
    lost its power.
    """
    return not (worker.is_draining or worker.is_agent_lost)


def make_worker_loss(cell, worker, successor_born_ms=0):
    """Return the `WorkerLoss` of a worker that still has its runs.

    Parameters
    ----------
    cell : Cell
    worker : Worker
    successor_born_ms : int, optional
        Start of its next incarnation, if known. Records that name that one tell of the
        loss.
    """
    lost = []
    suspects = _suspects(worker)
    for run in worker.runs_by_task.values():
        job = cell.jobs_by_id.get(run.job_id)
        if job is None or not job.is_open or not is_current(job, run, worker):
            continue
        if not run.may_have_started:
            continue
        if run.recorded_born_ms and run.recorded_born_ms == successor_born_ms:
            continue
        is_early = any(run is suspect for suspect in suspects)
        if job.step_of(run.key).is_service and run.observed_s >= SERVICE_TRIAL_S:
            continue
        lost.append(LostRun(job, run.key, is_early))
    return WorkerLoss(
        worker.worker_id, worker.born_ms, worker.agent_address, tuple(lost)
    )


def count_crash(cell, loss, successor_id):
    """Count the crash of a lost worker for the tasks of its runs.

    Parameters
    ----------
    cell : Cell
    loss : WorkerLoss
    successor_id : str
        Worker that took its place, or its own id if there is none. The suspects avoid
        it, since an instance may crash repeatedly by itself.
    """
    for lost in loss.runs:
        task = lost.task
        if not lost.job.is_open or task.phase == Phase.COMPLETED:
            continue
        task.crashes += 1
        if lost.is_early:
            task.early_crashes += 1
            task.avoided_worker_id = successor_id
        cell.dirty_job_ids.add(lost.job.job_id)


def _suspects(worker):
    """Return the runs that the worker is known to have started just before its crash.

    A start that this leader has not seen confirmed may never have reached the worker.
    """
    since_ms = worker.alive_ms - SUSPECT_WINDOW_MS
    return [
        run
        for run in worker.runs_by_task.values()
        if run.confirmed_ms
        and run.confirmed_ms >= since_ms
        and run.observed_s < PROBATION_S
    ]


def conclude_crash(cell, loss, event):
    """Fail the jobs of tasks that crashed too many workers; return the effects.

    Called when the crash is counted and the runs are no longer on the worker.

    Parameters
    ----------
    cell : Cell
    loss : WorkerLoss
    event : Reported or CellTick
    """
    if not loss.runs:
        return []
    early = [lost for lost in loss.runs if lost.is_early]
    effects = [_describe_crash(loss, early)]
    for lost in loss.runs:
        if lost.job.is_open and _exceeds_crash_limit(lost, early):
            task = lost.task
            effects.append(
                TaskGivenUp(
                    lost.job.task_id(lost.key),
                    loss.worker_id,
                    task.early_crashes,
                    task.crashes,
                )
            )
            lost.job.has_failed = True
            effects.extend(end_job(cell, lost.job, event.wall_ms))
    return effects


def _exceeds_crash_limit(lost, early):
    task = lost.task
    if task.crashes >= MAX_CRASHES or task.early_crashes >= MAX_EARLY_CRASHES:
        return True
    others = [other.task.early_crashes for other in early if other is not lost]
    is_leading = lost.is_early and task.early_crashes > max(others, default=0)
    return is_leading and task.early_crashes >= MAX_LEADING_CRASHES


def _describe_crash(loss, early):
    suspects = tuple(
        (lost.job.task_id(lost.key), lost.task.early_crashes) for lost in early
    )
    others = len(loss.runs) - len(early)
    return WorkerCrashed(loss.worker_id, loss.agent_address, suspects, others)


def remove_crashed_worker(cell, worker, successor_id, event):
    """Remove a worker and count its crash; see `count_crash` and `conclude_crash`."""
    loss = make_worker_loss(cell, worker)
    count_crash(cell, loss, successor_id)
    remove_worker(cell, worker, event.now_s)
    return conclude_crash(cell, loss, event)


def clear_suspicion(cell, worker, run):
    """Clear the task of a run that has lasted.

    After `PROBATION_S` its start is no longer suspected; after `SERVICE_TRIAL_S` a task
    of a service counts none of its crashes.
    """
    job = cell.jobs_by_id.get(run.job_id)
    if run.is_on_probation and run.observed_s >= PROBATION_S:
        worker.end_probation(run)
        if job is not None and is_current(job, run, worker):
            job.tasks_by_key[run.key].early_crashes = 0
            cell.dirty_job_ids.add(job.job_id)
    if job is None or not job.step_of(run.key).is_service:
        return
    task = job.tasks_by_key[run.key]
    has_lasted = run.observed_s >= SERVICE_TRIAL_S
    if task.crashes and has_lasted and is_current(job, run, worker):
        task.crashes = 0
        cell.dirty_job_ids.add(job.job_id)
