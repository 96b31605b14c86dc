"""Permits for queues whose policy allows only some workers to run a step.

The policy service knows which workers a step may use, takes some time for each worker
in a query, and issues permits that expire. Valid permits are therefore used before a
query is sent, queries name only workers with enough available resources and only as
many as are answered soon, and workers that were refused are not queried again.
"""

from dataclasses import dataclass, field

from ..reducer import Effect, Event, reduce
from .job import Job
from .queues import PermitTiming
from .worker import Worker

__all__ = [
    "AskPermits",
    "PermitQuery",
    "PermitService",
    "PermitServiceError",
    "Permits",
    "PermitsAnswered",
    "ask_permits",
    "drop_permit",
    "permitted_workers",
]

#: Largest number of workers in a query, for a gang and for other steps.
MAX_WORKERS_PER_GANG_QUERY = 100
MAX_WORKERS_PER_QUERY = 30
#: Workers in a query for a gang, for each of its members; some may be refused.
WORKERS_PER_GANG_MEMBER = 2
#: Time in which the workers in a query are answered, in addition to the time that a
#: query takes however few it names.
MIN_WORKERS_TIME_MS = 500
#: Validity of a permit that is not used, to cover the delay of a start: a time, or a
#: share of the whole validity if that is short.
PERMIT_EXPIRY_MARGIN_S = 0.4
MAX_EXPIRY_MARGIN_RATIO = 1 / 3
#: Share of the validity that must remain at the answer for it to be counted from the
#: question.
MIN_REMAINING_RATIO = 0.25
#: Delay before the next query after one without an answer.
QUERY_RETRY_DELAY_S = 0.3


class PermitServiceError(Exception):
    """The policy service gave no answer or an invalid one."""


class PermitService:
    """Base class of clients of the policy service."""

    async def ask(self, step_id, worker_ids, expected_s):
        """Return ``(permits_by_worker, valid_ms)`` for some workers and a step.

        Parameters
        ----------
        step_id : str
        worker_ids : list of str
            Workers missing from the answer may not run the step.
        expected_s : float
            Time that the service takes for the answer.

        Raises
        ------
        PermitServiceError
        """
        raise NotImplementedError


@dataclass(slots=True, frozen=True)
class _Permit:
    text: str
    born_ms: int
    #: Leader's clock until which it is used.
    usable_until_s: float


@dataclass(slots=True)
class Permits:
    """Answers of the policy service for one step."""

    permits_by_worker: dict[str, _Permit] = field(default_factory=dict)
    #: Id and start time of the incarnations that may not run the step.
    refused: set[tuple[str, int]] = field(default_factory=set)
    is_query_in_flight: bool = False
    #: Leader's clock before which no query is sent.
    next_query_s: float = 0.0

    def of(self, worker, now_s):
        """Return the usable permit for a worker, or an empty string."""
        permit = self.permits_by_worker.get(worker.worker_id)
        if permit is None or permit.born_ms != worker.born_ms:
            return ""
        return permit.text if now_s < permit.usable_until_s else ""

    def is_refused(self, worker):
        """Tell whether this incarnation of a worker may not run the step."""
        return (worker.worker_id, worker.born_ms) in self.refused


@dataclass(slots=True, frozen=True)
class AskPermits(Effect):
    """Query the policy service for the workers that may run a step."""

    job_id: str
    step_key: tuple[int, int]
    #: Start of the worker's current incarnation, by worker id.
    born_ms_by_worker: dict[str, int]
    #: Time that the service takes for the answer.
    expected_s: float


@dataclass(slots=True, frozen=True)
class PermitQuery:
    """What is known of a step before its next query."""

    job: Job
    step_key: tuple[int, int]
    timing: PermitTiming
    #: Workers with enough available resources.
    workers: list[Worker]

    @property
    def step(self):
        """The `StepSpec` of the step."""
        return self.job.spec.steps[self.step_key[1]]


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


def ask_permits(cell, query, now_s):
    """Return the effects that query permits for workers whose answer is not known."""
    permits = cell.permits_of(query.job, query.step_key)
    if permits.is_query_in_flight or now_s < permits.next_query_s:
        return []
    unknown = [
        worker
        for worker in query.workers
        if not permits.is_refused(worker) and not permits.of(worker, now_s)
    ]
    if not unknown:
        return []
    # Workers that were permitted before are likely to be permitted again.
    unknown.sort(
        key=lambda worker: (
            worker.is_cold(now_s),
            worker.worker_id not in permits.permits_by_worker,
            worker.rack != query.step.preferred_rack,
            -worker.idle_millicores,
        )
    )
    permits.is_query_in_flight = True
    asked = unknown[: _max_workers(query)]
    born = {worker.worker_id: worker.born_ms for worker in asked}
    expected_s = query.timing.query_ms(len(asked)) / 1000
    return [AskPermits(query.job.job_id, query.step_key, born, expected_s)]


def _max_workers(query):
    """Return the largest number of workers in a query."""
    count = _max_timely_workers(query.timing)
    if query.step.is_gang:
        # The members need their permits at the same time.
        count = max(count, query.step.count * WORKERS_PER_GANG_MEMBER)
        return min(count, MAX_WORKERS_PER_GANG_QUERY)
    return min(count, MAX_WORKERS_PER_QUERY)


def _max_timely_workers(timing):
    """Return the number of workers in a query that is answered soon.

    The answer takes at most twice the time that any answer takes, or half a second
    more, and leaves half of the validity.
    """
    if not timing.per_worker_ms:
        return MAX_WORKERS_PER_QUERY
    budget_ms = max(timing.decide_ms, MIN_WORKERS_TIME_MS)
    remaining_ms = timing.valid_ms // 2 - timing.decide_ms
    if remaining_ms > 0:
        budget_ms = min(budget_ms, remaining_ms)
    return max(1, budget_ms // timing.per_worker_ms)


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
    usable_until_s = _usable_until_s(event, cell.queue_of(job).permit_timing)
    for worker_id, born_ms in event.asked.born_ms_by_worker.items():
        text = event.permits_by_worker.get(worker_id)
        if text:
            permit = _Permit(text, born_ms, usable_until_s)
            permits.permits_by_worker[worker_id] = permit
        else:
            permits.refused.add((worker_id, born_ms))
    cell.is_placing_due = True
    return []


def _usable_until_s(event, timing):
    """Return the leader's time until which the permits of an answer are used.

    The service may count the validity from the question. That is assumed as long as
    enough of it remains; else the permits would never be used.
    """
    valid_s = (event.valid_ms or timing.valid_ms) / 1000
    issued_s = event.asked_s
    if event.now_s - issued_s > valid_s * (1 - MIN_REMAINING_RATIO):
        issued_s = event.now_s
    margin_s = min(PERMIT_EXPIRY_MARGIN_S, valid_s * MAX_EXPIRY_MARGIN_RATIO)
    return issued_s + valid_s - margin_s
