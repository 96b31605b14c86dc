"""Incarnations of workers: what a successor adopts, what ends, what goes on."""

from .job import Phase
from .lifecycle import end_reason, give_back, run_of
from .worker import Worker

__all__ = ["adopt_assigned", "follow_rebirth", "is_current", "lose_worker", "release"]


def adopt_assigned(cell, job, lease_end_s, agent_addresses):
    """Count the runs that the journal says were given to workers.

    The workers are placeholders until their agents report.
    """
    for key, task in job.tasks_by_key.items():
        if task.phase != Phase.ASSIGNED:
            continue
        worker = cell.workers_by_id.get(task.worker_id)
        if worker is None:
            worker = Worker(
                task.worker_id,
                task.born_ms,
                agent_addresses.get(task.worker_id, ""),
                lease_end_s=lease_end_s,
            )
            cell.workers_by_id[task.worker_id] = worker
        run = run_of(job, key, task.run)
        run.is_repeat = True
        run.stop_reason = "" if job.is_open else end_reason(job)
        worker.add(job.task_id(key), run)


def is_current(job, run, worker):
    """Tell whether a run on a worker is the latest one of its task."""
    task = job.tasks_by_key[run.key]
    return (
        task.phase == Phase.ASSIGNED
        and task.run == run.run
        and task.worker_id == worker.worker_id
        and task.born_ms == worker.born_ms
    )


def release(cell, worker, task_id):
    """Stop counting a run that surely does not go on, and give its task back."""
    run = worker.remove(task_id)
    job = cell.jobs_by_id.get(run.job_id)
    if job is not None and is_current(job, run, worker):
        give_back(cell, job, run.key, "")


def follow_rebirth(cell, earlier, born_ms, now_s):
    """Return the new incarnation of a worker that kept its id.

    A start that was not seen to run in the earlier incarnation may have reached the new
    one, which has the same id, or may yet reach it: it is ordered again there.
    """
    worker = Worker(earlier.worker_id, born_ms)
    for task_id, run in list(earlier.runs_by_task.items()):
        if run.is_listed and not run.is_repeat:
            continue
        earlier.remove(task_id)
        run.is_confirmed = False
        run.is_listed = False
        run.is_ordering = False
        run.is_repeat = True
        run.settled_ms = 0
        run.ordered_s = now_s
        worker.add(task_id, run)
        job = cell.jobs_by_id.get(run.job_id)
        if job is not None and is_current(job, run, earlier):
            job.tasks_by_key[run.key].born_ms = born_ms
            cell.dirty.add(job.job_id)
    lose_worker(cell, earlier)
    cell.workers_by_id[worker.worker_id] = worker
    return worker


def lose_worker(cell, worker):
    """Forget a worker that runs nothing any more."""
    for task_id in list(worker.runs_by_task):
        release(cell, worker, task_id)
    cell.workers_by_id.pop(worker.worker_id, None)
    cell.dirty_workers.add(worker.worker_id)
