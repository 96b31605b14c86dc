"""The order in which jobs are placed when there is more work than capacity.

Services whose runs have ended come first: otherwise waiting batch work would take their
resources, and a service would not run again until the backlog is done. Then the queue
with the highest priority comes first; within a priority, new services, then jobs that
can still meet their latency objective, then late jobs, then jobs too late to be useful.
Within each of these classes the job with the least remaining work comes first, so that
more jobs meet their objective.
"""

import enum
from dataclasses import dataclass

__all__ = [
    "Lateness",
    "WorkEstimate",
    "estimate_work",
    "order_jobs",
    "placement_class",
    "yield_end_s",
]

#: Multiple of the objective up to which a late job is still useful.
MAX_USEFUL_LATENESS_RATIO = 3.0
#: Part of a job's slack in which it is not kept waiting for the claims of others.
MIN_SLACK_RESERVE_RATIO = 0.5
#: Assumed run time of a task without an estimate.
DEFAULT_ESTIMATE_MS = 1000


class Lateness:
    """Class of a job by its expected completion, relative to its latency objective."""

    ON_TIME = 0
    LATE = 1
    TOO_LATE = 2


class ServiceClass(enum.IntEnum):
    """Class of a job by its serving tasks that are to be placed."""

    #: A serving task has run before.
    INTERRUPTED = 0
    NEW = 1
    NONE = 2


def order_jobs(cell, now_s):
    """Return the jobs with tasks to place, in the order of placement."""
    jobs = [cell.jobs_by_id[job_id] for job_id in cell.ready_by_job]
    return sorted(jobs, key=lambda job: _order_key(cell, job, now_s))


def _order_key(cell, job, now_s):
    work = estimate_work(job).work
    return (*placement_class(cell, job, now_s), work, job.first_seen_s, job.job_id)


def placement_class(cell, job, now_s):
    """Return the part of a job's sort key that comes before its remaining work."""
    queue = cell.queue_of(job)
    service = _service_class(job, cell.ready_by_job[job.job_id])
    # A service has no latency objective.
    lateness = _lateness(queue, job, now_s) if service == ServiceClass.NONE else 0
    return service != ServiceClass.INTERRUPTED, queue.priority, service, lateness


def yield_end_s(queue, job):
    """Return until when a job may be kept waiting for others and still be on time.

    That is half of the time by which its objective exceeds its critical path; the other
    half is left for wrong estimates and other delays.
    """
    pending_ms = estimate_work(job).pending_path_ms
    objective_ms = _objective_ms(queue, job)
    slack_ms = max(0.0, objective_ms - estimate_work(job).path_ms)
    reserve_ms = MIN_SLACK_RESERVE_RATIO * slack_ms
    return job.first_seen_s + (objective_ms - pending_ms - reserve_ms) / 1000


def _service_class(job, keys):
    """Return the `ServiceClass` of a job by its tasks to place.

    It is kept until these change, since services may wait with thousands of tasks.
    """
    if keys.service_class is None:
        keys.service_class = _find_service_class(job, keys)
    return keys.service_class


def _find_service_class(job, keys):
    if not any(step.is_service for step in job.spec.steps):
        return ServiceClass.NONE
    service_keys = [key for key in keys if job.step_of(key).is_service]
    if any(job.tasks_by_key[key].run for key in service_keys):
        return ServiceClass.INTERRUPTED
    return ServiceClass.NEW if service_keys else ServiceClass.NONE


def _lateness(queue, job, now_s):
    objective_ms = _objective_ms(queue, job)
    finish_ms = (now_s - job.first_seen_s) * 1000 + estimate_work(job).pending_path_ms
    if finish_ms <= objective_ms:
        return Lateness.ON_TIME
    if finish_ms <= MAX_USEFUL_LATENESS_RATIO * objective_ms:
        return Lateness.LATE
    return Lateness.TOO_LATE


def _objective_ms(queue, job):
    return queue.slack_factor * estimate_work(job).path_ms + queue.objective_ms


@dataclass(slots=True, frozen=True)
class WorkEstimate:
    """What a job and its pending tasks are estimated to take."""

    #: Critical path through all steps.
    path_ms: float
    #: Critical path through the steps with pending tasks.
    pending_path_ms: float
    #: Work of the pending tasks, in core-seconds.
    work: float


def estimate_work(job):
    """Return the `WorkEstimate` of a job, kept until its pending tasks change."""
    if job.estimate is None:
        job.estimate = WorkEstimate(
            _critical_path_ms(job, False),
            _critical_path_ms(job, True),
            _remaining_work(job),
        )
    return job.estimate


def _critical_path_ms(job, is_pending):
    """Return the estimated length of the critical path through the job's steps.

    With ``is_pending`` only steps that have pending tasks count.
    """
    ends_ms = []
    for number, step in enumerate(job.spec.steps):
        start_ms = max((ends_ms[earlier] for earlier in step.depends_on), default=0)
        is_counted = not is_pending or job.pending_by_step[0, number] > 0
        own_ms = step.estimate_ms or DEFAULT_ESTIMATE_MS
        ends_ms.append(start_ms + own_ms * is_counted)
    return max(ends_ms, default=0)


def _remaining_work(job):
    work = 0.0
    for (_, number), count in job.pending_by_step.items():
        if count:
            step = job.spec.steps[number]
            estimate_ms = step.estimate_ms or DEFAULT_ESTIMATE_MS
            work += count * estimate_ms / 1000 * step.demand.millicores / 1000
    return work
