"""Incarnations of workers: adoption after a failover, replacement and removal."""

from .job import Phase
from .lifecycle import end_reason, make_run, requeue
from .restartedworkers import mark_if_restarted, note_removed_worker
from .withdrawals import MAX_ORDER_AGE_S
from .worker import Worker

__all__ = [
    "adopt_assigned",
    "is_current",
    "release_run",
    "remove_worker",
    "replace_incarnation",
]


def adopt_assigned(cell, job, agent_addresses, lease_end_s_of, now_s, keys=None):
    """Restore the runs that the journal records as assigned to workers.

    Workers are placeholders until their agents report.

    Parameters
    ----------
    cell : Cell
    job : Job
    agent_addresses : dict of str to str
        Address of each worker's agent by worker id.
    lease_end_s_of : callable
        Returns the time by which the leases of a worker, given by its id, have expired.
    now_s : float
    keys : iterable of TaskKey, optional
        Tasks whose runs are restored; all by default.
    """
    for key in job.tasks_by_key if keys is None else keys:
        task = job.tasks_by_key[key]
        if task.phase != Phase.ASSIGNED:
            continue
        worker = cell.workers_by_id.get(task.worker_id)
        if worker is None:
            worker = Worker(
                task.worker_id,
                task.born_ms,
                agent_addresses.get(task.worker_id, ""),
                unreachable_since_s=now_s,
                lease_end_s=lease_end_s_of(task.worker_id),
            )
            cell.workers_by_id[task.worker_id] = worker
        run = make_run(job, key, task.run)
        if task.born_ms != worker.born_ms:
            # The last append of an earlier leader told of the new incarnation, but not
            # for all jobs. Until the agent reports, either may be the current one.
            run.recorded_born_ms = task.born_ms
            task.born_ms = worker.born_ms
            cell.dirty_job_ids.add(job.job_id)
        run.is_repeat = True
        # An agent may have an order of an earlier leader.
        run.lost_start_until_s = now_s + MAX_ORDER_AGE_S
        run.stop_reason = "" if job.is_open else end_reason(job)
        worker.add(job.task_id(key), run)


def is_current(job, run, worker):
    """Tell whether a run on a worker is the latest run of its task."""
    task = job.tasks_by_key[run.key]
    return (
        task.phase == Phase.ASSIGNED
        and task.run == run.run
        and task.worker_id == worker.worker_id
        and task.born_ms == worker.born_ms
    )


def release_run(cell, worker, task_id):
    """Remove a run that is certain not to continue, and requeue its task."""
    run = worker.remove(task_id)
    job = cell.jobs_by_id.get(run.job_id)
    if job is not None and is_current(job, run, worker):
        requeue(cell, job, run.key, "")


def replace_incarnation(cell, earlier, born_ms, now_s):
    """Replace a worker by its new incarnation, and return that.

    Both have the same id, so a copy of a start may have reached the new incarnation or
    may still do so, even if the run was listed in the earlier one: it is retried there.
    """
    worker = Worker(
        earlier.worker_id,
        born_ms,
        unreachable_since_s=now_s,
        grants=earlier.grants,
        suspension_number=earlier.suspension_number,
    )
    for task_id, run in list(earlier.runs_by_task.items()):
        earlier.remove(task_id)
        run.is_confirmed = False
        run.is_listed = False
        run.is_start_in_flight = False
        run.is_stop_in_flight = False
        run.lost_start_until_s = 0.0
        run.is_stop_confirmed = False
        run.is_repeat = True
        run.is_unsent = False
        run.is_carried_over = True
        run.observed_s = 0.0
        run.last_answer_ms = 0
        run.confirmed_ms = 0
        run.last_order_s = now_s
        job = cell.jobs_by_id.get(run.job_id)
        if job is not None and is_current(job, run, earlier):
            task = job.tasks_by_key[run.key]
            task.born_ms = born_ms
            run.is_on_probation = task.early_crashes > 0
            cell.dirty_job_ids.add(job.job_id)
        worker.add(task_id, run)
    remove_worker(cell, earlier, now_s)
    cell.workers_by_id[worker.worker_id] = worker
    mark_if_restarted(cell, worker)
    return worker


def remove_worker(cell, worker, now_s):
    """Remove a worker that no longer runs anything, and requeue its tasks."""
    for task_id in list(worker.runs_by_task):
        release_run(cell, worker, task_id)
    cell.workers_by_id.pop(worker.worker_id, None)
    note_removed_worker(cell, worker.worker_id, now_s)
