"""Invariants of a cell: no task of an open job is left without a way to continue."""

from contextlib import contextmanager
from unittest import mock

from dotterelspread.jobs.incarnations import is_current
from dotterelspread.jobs.job import Phase
from dotterelspread.jobs.leader import Leader
from dotterelspread.resources import Resources

__all__ = ["check_every_event", "find_violations"]


def find_violations(cell):
    """Return a description of each violated invariant."""
    found = [text for worker in _workers(cell) for text in _check_worker(worker)]
    for job in cell.jobs_by_id.values():
        if job.is_open:
            found.extend(_check_job(cell, job))
    for job_id, keys in cell.ready_by_job.items():
        job = cell.jobs_by_id.get(job_id)
        for key in keys:
            if job is None or job.tasks_by_key[key].phase != Phase.PENDING:
                found.append(f"{job_id} {key} is ready but not pending")
    return found


def _workers(cell):
    return cell.workers_by_id.values()


def _check_worker(worker):
    reserved = Resources()
    for run in worker.runs_by_task.values():
        reserved = reserved + run.reserved
    is_consistent = (
        worker.reserved == reserved and worker.available == worker.capacity - reserved
    )
    if not is_consistent:
        yield f"{worker.worker_id} reserves {worker.reserved}, its runs {reserved}"


def _check_job(cell, job):
    scheduled = {(job_id, number) for _, job_id, number in cell.scheduled_occurrences}
    for key, task in job.tasks_by_key.items():
        task_id = job.task_id(key)
        current = _current_runs(cell, job, task_id)
        if task.phase == Phase.ASSIGNED:
            if len(current) != 1:
                yield f"{task_id} is assigned with {len(current)} current runs"
            continue
        if current:
            yield f"{task_id} is not assigned but has a current run"
        is_waiting = (
            task.phase == Phase.COMPLETED
            or cell.is_ready(job, key)
            or (job.job_id, key[0]) in scheduled
            or not job.is_step_due(*key[:2])
        )
        if not is_waiting:
            yield f"{task_id} is pending but not ready"


def _current_runs(cell, job, task_id):
    return [
        run
        for worker in _workers(cell)
        if (run := worker.runs_by_task.get(task_id)) is not None
        and run.job_id == job.job_id
        and is_current(job, run, worker)
    ]


@contextmanager
def check_every_event(add_violation):
    """Check the cell of each leader after each event.

    Parameters
    ----------
    add_violation : callable
        Called with the description of each violation.
    """
    apply = Leader.apply

    def apply_and_check(leader, event):
        apply(leader, event)
        for text in find_violations(leader.cell):
            add_violation(f"after {type(event).__name__}: {text}")

    with mock.patch.object(Leader, "apply", apply_and_check):
        yield
