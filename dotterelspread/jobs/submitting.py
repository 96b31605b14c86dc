"""Handlers of submissions, withdrawals, cancellations and configuration changes."""

from ..reducer import reduce
from .cell import Cancelled, Configured, Submitted, Withdrawn
from .job import Job
from .lifecycle import end_job, release_occurrence
from .placement.placing import place

__all__ = ["add_job"]


def add_job(cell, job, wall_ms):
    """Add a job to the cell; its due occurrences become ready for placement."""
    cell.jobs_by_id[job.job_id] = job
    if not job.is_open:
        return
    for occurrence in range(job.spec.occurrences):
        due_ms = job.spec.due_ms(occurrence)
        if due_ms <= wall_ms:
            release_occurrence(cell, job, occurrence)
        else:
            cell.scheduled_occurrences.append((due_ms, job.job_id, occurrence))
    cell.scheduled_occurrences.sort()


@reduce.register
def _(event: Submitted, cell):
    if event.spec.job_id in cell.jobs_by_id:
        return []
    job = Job.from_spec(event.spec, event.now_s)
    cell.dirty_job_ids.add(job.job_id)
    add_job(cell, job, event.wall_ms)
    return place(cell, event.now_s)


@reduce.register
def _(event: Withdrawn, cell):
    job = cell.jobs_by_id.get(event.job_id)
    if job is None or job.has_assigned:
        return []
    del cell.jobs_by_id[job.job_id]
    cell.dirty_job_ids.discard(job.job_id)
    cell.ready_by_job.pop(job.job_id, None)
    cell.permits_by_job.pop(job.job_id, None)
    cell.scheduled_occurrences = [
        occurrence
        for occurrence in cell.scheduled_occurrences
        if occurrence[1] != job.job_id
    ]
    return []


@reduce.register
def _(event: Cancelled, cell):
    job = cell.jobs_by_id.get(event.job_id)
    if job is None or not job.is_open:
        return []
    job.is_cancelled = True
    effects = end_job(cell, job, event.wall_ms)
    return effects + place(cell, event.now_s)


@reduce.register
def _(event: Configured, cell):
    if event.configuration.version > cell.configuration.version:
        cell.configuration = event.configuration
    return place(cell, event.now_s)
