"""Permits for queues whose policy allows only some workers to run a step.

The policy service knows which workers a step may use, takes some time for each worker
in a query, and issues permits that expire. Valid permits are therefore used before a
query is sent, queries name only workers with enough available resources, and workers
that were refused are not queried again.
"""

from dataclasses import dataclass, field

from ..reducer import Effect, Event, reduce

__all__ = [
    "AskPermits",
    "PermitService",
    "PermitServiceError",
    "Permits",
    "PermitsAnswered",
    "ask_permits",
    "drop_permit",
    "permitted_workers",
]

#: The policy service takes time for each worker in a query.
MAX_WORKERS_PER_QUERY = 30
#: Remaining validity below which a permit is not used: covers the delay of a start.
PERMIT_EXPIRY_MARGIN_S = 0.4
#: Delay before the next query after one without an answer.
QUERY_RETRY_DELAY_S = 0.3


class PermitServiceError(Exception):
    """The policy service gave no answer or an invalid one."""


class PermitService:
    """Base class of clients of the policy service."""

    async def ask(self, step_id, worker_ids):
        """Return ``(permits_by_worker, valid_ms)`` for some workers and a step.

        Parameters
        ----------
        step_id : str
        worker_ids : list of str
            Workers missing from the answer may not run the step.

        Raises
        ------
        PermitServiceError
        """
        raise NotImplementedError


@dataclass(slots=True, frozen=True)
class _Permit:
    text: str
    born_ms: int
    end_s: float


@dataclass(slots=True)
class Permits:
    """Answers of the policy service for one step."""

    permits_by_worker: dict[str, _Permit] = field(default_factory=dict)
    refused: set[str] = field(default_factory=set)
    is_query_in_flight: bool = False
    #: Leader's clock before which no query is sent.
    next_query_s: float = 0.0

    def of(self, worker, now_s):
        """Return the usable permit for a worker, or an empty string."""
        permit = self.permits_by_worker.get(worker.worker_id)
        if permit is None or permit.born_ms != worker.born_ms:
            return ""
        return permit.text if now_s < permit.end_s - PERMIT_EXPIRY_MARGIN_S else ""


@dataclass(slots=True, frozen=True)
class AskPermits(Effect):
    """Query the policy service for the workers that may run a step."""

    job_id: str
    step_key: tuple[int, int]
    #: Start of the worker's current incarnation, by worker id.
    born_ms_by_worker: dict[str, int]


@dataclass(slots=True, frozen=True)
class PermitsAnswered(Event):
    """A query to the policy service was answered or failed."""

    asked: AskPermits
    #: Leader's clock when the query was sent.
    asked_s: float
    #: None if the query failed.
    permits_by_worker: dict[str, str] | None
    valid_ms: int


def permitted_workers(cell, job, step_key, workers, now_s):
    """Return the workers with a usable permit for a step."""
    permits = cell.permits_of(job, step_key)
    return [worker for worker in workers if permits.of(worker, now_s)]


def ask_permits(cell, job, step_key, workers, now_s):
    """Return the effects that query permits for workers whose answer is not known."""
    permits = cell.permits_of(job, step_key)
    if permits.is_query_in_flight or now_s < permits.next_query_s:
        return []
    unknown = [
        worker
        for worker in workers
        if worker.worker_id not in permits.refused and not permits.of(worker, now_s)
    ]
    if not unknown:
        return []
    # Workers that were permitted before are likely to be permitted again.
    unknown.sort(key=lambda w: w.worker_id not in permits.permits_by_worker)
    permits.is_query_in_flight = True
    born = {
        worker.worker_id: worker.born_ms for worker in unknown[:MAX_WORKERS_PER_QUERY]
    }
    return [AskPermits(job.job_id, step_key, born)]


def drop_permit(cell, run, worker):
    """Discard the permit with which a start was refused: it may have expired."""
    by_step = cell.permits_by_job.get(run.job_id, {})
    permits = by_step.get(run.key[:2])
    if permits is not None:
        permits.permits_by_worker.pop(worker.worker_id, None)


@reduce.register
def _(event: PermitsAnswered, cell):
    job = cell.jobs_by_id.get(event.asked.job_id)
    if job is None or not job.is_open:
        return []
    permits = cell.permits_of(job, event.asked.step_key)
    permits.is_query_in_flight = False
    if event.permits_by_worker is None:
        permits.next_query_s = event.now_s + QUERY_RETRY_DELAY_S
        return []
    end_s = event.asked_s + event.valid_ms / 1000
    for worker_id, born_ms in event.asked.born_ms_by_worker.items():
        text = event.permits_by_worker.get(worker_id)
        if text:
            permits.permits_by_worker[worker_id] = _Permit(text, born_ms, end_s)
        else:
            permits.refused.add(worker_id)
    cell.is_placing_due = True
    return []
