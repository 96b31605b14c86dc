"""Crashes of workers under their runs, and the tasks that are given up for them.

A crashed worker does not report which run was at fault. Every task that it had just
started is therefore a suspect, and is started apart from other work until a run of it
lasts. A task that remains a suspect is given up, so that it cannot crash workers again
and again.
"""

from dataclasses import dataclass

from .cell import TaskGivenUp, WorkerCrashed
from .incarnations import is_current
from .job import Job
from .lifecycle import end_job
from .spec import TaskKey

__all__ = ["clear_suspicion", "conclude_crash", "count_crash", "has_crashed"]

#: Longest time from a start to the worker's last reply before its crash for which the
#: task is a suspect. It covers the delays of replies.
SUSPECT_WINDOW_MS = 100
#: Observed time after which a run has shown that its start does not crash its worker.
PROBATION_S = 0.5
#: Number of early crashes of a task after which its job fails: if no other suspect of
#: the last one has as many, and in any case.
MAX_LEADING_CRASHES = 3
MAX_EARLY_CRASHES = 4
#: Number of crashes of a task, early or late, after which its job fails.
MAX_CRASHES = 5


@dataclass(slots=True, frozen=True)
class CrashedRun:
    """A run that was on a worker when that crashed."""

    job: Job
    key: TaskKey
    #: Whether it had just been started.
    is_early: bool

    @property
    def task(self):
        """The `TaskProgress` of its task."""
        return self.job.tasks_by_key[self.key]


def has_crashed(worker):
    """Tell whether a worker that has gone crashed, as far as the leader knows.

    A draining worker may have shut down, and one whose agent was lost as well may have
    lost its power.
    """
    return not (worker.is_draining or worker.is_agent_lost)


def count_crash(cell, worker, successor_id):
    """Count a crash for the tasks with runs on a worker; return their `CrashedRun`.

    Parameters
    ----------
    cell : Cell
    worker : Worker
        With the runs that it had when it crashed.
    successor_id : str
        Worker that took its place, or its own id if there is none. The suspects avoid
        it, since an instance may crash repeatedly by itself.
    """
    crashed = []
    suspects = _suspects(worker)
    for run in worker.runs_by_task.values():
        job = cell.jobs_by_id.get(run.job_id)
        if job is None or not job.is_open or not is_current(job, run, worker):
            continue
        if not run.may_have_started:
            continue
        is_early = any(run is suspect for suspect in suspects)
        if job.step_of(run.key).is_service and not is_early:
            # It lasts for hours, in which many workers may crash.
            continue
        crashed.append(CrashedRun(job, run.key, is_early))
        task = job.tasks_by_key[run.key]
        task.crashes += 1
        if is_early:
            task.early_crashes += 1
            task.avoided_worker_id = successor_id
        cell.dirty_job_ids.add(job.job_id)
    return crashed


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


def conclude_crash(cell, worker, crashed, event):
    """Fail the jobs of tasks that crashed too many workers; return the effects.

    Called when the runs are no longer on the crashed worker.

    Parameters
    ----------
    cell : Cell
    worker : Worker
    crashed : list of CrashedRun
    event : Reported or CellTick
    """
    if not crashed:
        return []
    early = [one for one in crashed if one.is_early]
    effects = [_describe_crash(worker, crashed, early)]
    for one in crashed:
        if one.job.is_open and _exceeds_crash_limit(one, early):
            task = one.task
            effects.append(
                TaskGivenUp(
                    one.job.task_id(one.key),
                    worker.worker_id,
                    task.early_crashes,
                    task.crashes,
                )
            )
            one.job.has_failed = True
            effects.extend(end_job(cell, one.job, event.wall_ms))
    return effects


def _exceeds_crash_limit(crashed_run, early):
    task = crashed_run.task
    if task.crashes >= MAX_CRASHES or task.early_crashes >= MAX_EARLY_CRASHES:
        return True
    others = [one.task.early_crashes for one in early if one is not crashed_run]
    is_leading = crashed_run.is_early and task.early_crashes > max(others, default=0)
    return is_leading and task.early_crashes >= MAX_LEADING_CRASHES


def _describe_crash(worker, crashed, early):
    suspects = tuple(
        (one.job.task_id(one.key), one.task.early_crashes) for one in early
    )
    return WorkerCrashed(
        worker.worker_id, worker.agent_address, suspects, len(crashed) - len(early)
    )


def clear_suspicion(cell, worker, run):
    """Clear the task of a run on probation that has lasted for `PROBATION_S`."""
    if run.observed_s < PROBATION_S:
        return
    worker.end_probation(run)
    job = cell.jobs_by_id.get(run.job_id)
    if job is None or not is_current(job, run, worker):
        return
    task = job.tasks_by_key[run.key]
    task.early_crashes = 0
    if job.step_of(run.key).is_service:
        task.crashes = 0
    cell.dirty_job_ids.add(job.job_id)
