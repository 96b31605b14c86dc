"""Records which jobs went wrong on which workers, and puts workers into cooldown."""

from .cooldown import (
    FAILING_WORKER_COOLDOWN_S,
    MAX_FAULTY_WORKERS,
    RECENT_FAILURE_S,
    STALLED_WORKER_COOLDOWN_S,
    is_job_at_fault,
    is_worker_at_fault,
    may_cool_down,
)

__all__ = ["record_completion", "record_failure", "record_stall"]


def record_completion(job, worker):
    """Record that a run of a job has completed on a worker."""
    worker.failed_job_ids = frozenset()
    job.failed_s_by_worker_id.clear()


def record_failure(cell, job, worker, now_s):
    """Record that a run of a job has failed on a worker."""
    _forget_old_failures(job, now_s)
    job.failed_s_by_worker_id[worker.worker_id] = now_s
    if _is_job_at_fault(cell, job, worker, now_s):
        _clear_workers(cell, job)
        return
    worker.failed_job_ids = worker.failed_job_ids | {job.job_id}
    if is_worker_at_fault(len(worker.failed_job_ids)) and not worker.cools_down(now_s):
        _enter_cooldown(cell, worker, FAILING_WORKER_COOLDOWN_S, now_s)


def record_stall(cell, worker, now_s):
    """Record that a run has stalled on a worker."""
    _enter_cooldown(cell, worker, STALLED_WORKER_COOLDOWN_S, now_s)


def _forget_old_failures(job, now_s):
    by_worker_id = job.failed_s_by_worker_id
    for worker_id, failed_s in list(by_worker_id.items()):
        if now_s - failed_s > RECENT_FAILURE_S:
            del by_worker_id[worker_id]


def _is_job_at_fault(cell, job, worker, now_s):
    failed_worker_count = len(job.failed_s_by_worker_id)
    if failed_worker_count <= MAX_FAULTY_WORKERS:
        # The workers need not be counted.
        return False
    peers = _usable_peers(cell, worker, now_s)
    return is_job_at_fault(failed_worker_count, len(peers))


def _clear_workers(cell, job):
    """Withdraw the failures of a job that is at fault itself."""
    for worker_id in job.failed_s_by_worker_id:
        worker = cell.workers_by_id.get(worker_id)
        if worker is not None:
            worker.failed_job_ids = worker.failed_job_ids - {job.job_id}


def _enter_cooldown(cell, worker, cooldown_s, now_s):
    """Put a worker into cooldown, or extend its cooldown, if others take its work."""
    peers = _usable_peers(cell, worker, now_s)
    if _have_enough(peers, worker, now_s) and all(
        _have_enough([peer for peer in peers if label in peer.labels], worker, now_s)
        for label in _awaited_labels(cell, worker)
    ):
        worker.cooldown_until_s = max(worker.cooldown_until_s, now_s + cooldown_s)


def _have_enough(peers, worker, now_s):
    """Tell whether enough workers remain if one of them is in cooldown."""
    others = sum(peer.cools_down(now_s) for peer in peers if peer is not worker)
    return may_cool_down(others, len(peers))


def _awaited_labels(cell, worker):
    """Return the labels of a worker that batch steps of waiting jobs require."""
    waiting = (cell.jobs_by_id[job_id] for job_id in cell.ready_by_job)
    steps = (step for job in waiting for step in job.spec.steps if not step.is_service)
    return worker.labels & {step.required_label for step in steps}


def _usable_peers(cell, worker, now_s):
    """Return the workers of a worker's service that may be assigned tasks."""
    return [
        peer
        for peer in cell.workers_by_id.values()
        if peer.service == worker.service and peer.accepts_serving_tasks(now_s)
    ]
