"""Event handlers of an agent for requests: running, queueing and refusing them.

Only the agent assigns the slots of its instance. A request id is executed at most
once; a repeat joins the pending request or gets the cached answer.
"""

from dataclasses import dataclass, field

from .admission import Admission
from .agentevents import (
    AgentConfigured,
    AgentTick,
    AnswerRequested,
    DrainCompleted,
    DrainRequested,
    EvacuationChanged,
    RunFinished,
    RunRequested,
    SendAnswer,
    SendPending,
    StartRun,
)
from .answers import AnswerCache, IdSet
from .configuration import ServiceConfig
from .outcome import RefusalReason, Refused, Unknown
from .queue import WaitingRequest, find_queue
from .reducer import reduce

__all__ = ["AgentState", "Pending"]

#: Seconds for which the id of a non-idempotent request is retained.
CLAIM_RETENTION_S = 24 * 3600.0
#: Seconds for which the id of any other request is retained.
ID_RETENTION_S = 300.0
#: Seconds after which a caller may retry a request that an evacuation refused.
EVACUATED_RETRY_AFTER_S = 5.0
#: Maximum number of retained ids of non-idempotent requests, at eight bytes each.
MAX_CLAIMED_IDS = 2_000_000
#: Maximum number of retained ids of other requests, at eight bytes each.
MAX_IDS = 4_000_000


@dataclass(slots=True)
class Pending:
    """A request that is queued or running."""

    event: RunRequested
    waiters: list
    #: Start time; None while queued.
    started_s: float | None = None
    #: Slot seconds charged for it at the start; 0 if it uses spare capacity.
    charged_s: float = 0.0


@dataclass(slots=True)
class AgentState:
    """State of an agent's request handling."""

    slots: int
    service: ServiceConfig
    incarnation: int
    queue: object
    admission: Admission
    pending_by_id: dict = field(default_factory=dict)
    #: Ids of the requests that occupy a slot.
    running_ids: set = field(default_factory=set)
    answers: AnswerCache = field(default_factory=AnswerCache)
    #: Ids of idempotent requests that were started.
    run_ids: IdSet = field(default_factory=lambda: IdSet(ID_RETENTION_S, MAX_IDS))
    #: Ids of non-idempotent requests that were started.
    claimed_ids: IdSet = field(
        default_factory=lambda: IdSet(CLAIM_RETENTION_S, MAX_CLAIMED_IDS)
    )
    #: Ids of refused requests, which must not run later.
    refused_ids: IdSet = field(default_factory=lambda: IdSet(ID_RETENTION_S, MAX_IDS))
    #: Ids that were queried with a fence before they arrived; they are refused.
    fenced_ids: IdSet = field(
        default_factory=lambda: IdSet(CLAIM_RETENTION_S, MAX_CLAIMED_IDS)
    )
    draining: bool = False
    drained: bool = False
    #: Why no request is started since the data centre is evacuated; empty if it is not.
    evacuation: str = ""

    @classmethod
    def from_config(cls, service, slots, incarnation, queue="fair"):
        """Return the initial state of an agent."""
        waiting = find_queue(queue)(slots, service.kinds_by_name)
        return cls(slots, service, incarnation, waiting, Admission(waiting))

    @property
    def running(self):
        """Number of slots in use."""
        return len(self.running_ids)

    @property
    def queued(self):
        """Number of queued requests."""
        return len(self.queue)


@reduce.register
def _(event: RunRequested, state):
    if event.incarnation != state.incarnation:
        refused = Refused(RefusalReason.FENCED, "the instance has restarted")
        return [SendAnswer(event.request_id, refused, (event.waiter,))]
    pending = state.pending_by_id.get(event.request_id)
    if pending:
        pending.waiters.append(event.waiter)
        return []
    known = known_outcome(state, event.request_id)
    if known:
        return [SendAnswer(event.request_id, known, (event.waiter,))]
    state.admission.note_arrival(event.kind, event.now_s)
    refused = refusal(state, event)
    if refused:
        state.refused_ids.add(event.request_id, event.now_s)
        return [SendAnswer(event.request_id, refused, (event.waiter,))]
    return admit(state, event)


@reduce.register
def _(event: RunFinished, state):
    if event.request_id not in state.running_ids:
        return []
    pending = state.pending_by_id.pop(event.request_id)
    state.running_ids.remove(event.request_id)
    kind = pending.event.kind
    service_s = event.now_s - pending.started_s
    if pending.charged_s:
        state.queue.charge(kind, service_s - pending.charged_s, event.now_s)
    state.admission.note_service(kind, service_s)
    state.answers.put(event.request_id, event.outcome)
    answer = SendAnswer(event.request_id, event.outcome, tuple(pending.waiters))
    return [answer, *start_waiting(state, event.now_s), *finish_drain(state)]


@reduce.register
def _(event: AnswerRequested, state):
    request_id = event.request_id
    if event.incarnation != state.incarnation:
        unknown = Unknown("the instance has restarted")
        return [SendAnswer(request_id, unknown, (event.waiter,))]
    pending = state.pending_by_id.get(request_id)
    if pending:
        pending.waiters.append(event.waiter)
        return [SendPending(request_id, event.waiter, is_known=True)]
    outcome = known_outcome(state, request_id)
    if outcome is None and not event.fence:
        return [SendPending(request_id, event.waiter, is_known=False)]
    if outcome is None and state.fenced_ids.is_full():
        outcome = Unknown("the set of fenced request ids is full")
    elif outcome is None:
        state.fenced_ids.add(request_id, event.now_s)
        outcome = fenced()
    return [SendAnswer(request_id, outcome, (event.waiter,))]


@reduce.register
def _(event: DrainRequested, state):
    state.draining = True
    return finish_drain(state)


@reduce.register
def _(event: EvacuationChanged, state):
    state.evacuation = event.reason
    return refuse_queued(state, event.now_s) if event.reason else []


@reduce.register
def _(event: AgentConfigured, state):
    state.service = event.service
    state.queue.configure(event.service.kinds_by_name)
    return []


@reduce.register
def _(event: AgentTick, state):
    for ids in (state.run_ids, state.claimed_ids, state.refused_ids, state.fenced_ids):
        ids.expire(event.now_s)
    effects = refuse_expired(state, event.now_s)
    return [*effects, *start_waiting(state, event.now_s), *finish_drain(state)]


def known_outcome(state, request_id):
    """Return the known outcome of a request that is not pending, or None."""
    answer = state.answers.get(request_id)
    if answer:
        return answer
    if request_id in state.claimed_ids or request_id in state.run_ids:
        return Unknown("the answer is no longer cached")
    if request_id in state.fenced_ids or request_id in state.refused_ids:
        return fenced()
    return None


def fenced():
    """Return the refusal of a request that must no longer be executed."""
    return Refused(RefusalReason.FENCED, "the request was not run and will not be")


def refusal(state, event):
    """Return the refusal of a new request, or None if it is admitted."""
    if state.draining:
        return Refused(RefusalReason.DRAINING, "the instance is leaving")
    if state.evacuation:
        return evacuated(state)
    if event.service_name != state.service.name:
        detail = f"the instance does not serve {event.service_name}"
        return Refused(RefusalReason.UNKNOWN_SERVICE, detail)
    if state.claimed_ids.is_full() and not event.idempotent:
        return Refused(
            RefusalReason.NO_CAPACITY, "the set of claimed request ids is full"
        )
    return state.admission.refusal(
        event.kind, event.deadline_s, state.running, event.now_s
    )


def evacuated(state):
    """Return the refusal of a request that must not start in its data centre."""
    return Refused(RefusalReason.EVACUATED, state.evacuation, EVACUATED_RETRY_AFTER_S)


def admit(state, event):
    """Queue an admitted request, and start queued requests on free slots."""
    state.pending_by_id[event.request_id] = Pending(event, [event.waiter])
    state.queue.push(
        WaitingRequest(
            event.request_id, event.kind, event.urgency, event.deadline_s, event.now_s
        )
    )
    return start_waiting(state, event.now_s)


def start_waiting(state, now_s):
    """Start queued requests while slots are free."""
    effects = refuse_expired(state, now_s)
    while state.running < state.slots:
        waiting = state.queue.pop(now_s)
        if waiting is None:
            break
        effects.append(start(state, waiting, now_s))
    return effects


def start(state, waiting, now_s):
    """Start a request: occupy a slot and charge the credit of its kind."""
    pending = state.pending_by_id[waiting.request_id]
    pending.started_s = now_s
    state.running_ids.add(waiting.request_id)
    ids = state.run_ids if pending.event.idempotent else state.claimed_ids
    ids.add(waiting.request_id, now_s)
    if state.queue.credit(waiting.kind, now_s) > 0:
        pending.charged_s = state.admission.service_s(waiting.kind)
        state.queue.charge(waiting.kind, pending.charged_s, now_s)
    return StartRun(waiting.request_id, pending.event.request, waiting.deadline_s)


def refuse_expired(state, now_s):
    """Refuse queued requests whose deadline has passed."""
    refused = Refused(
        RefusalReason.DEADLINE, "the deadline passed while the request was queued"
    )
    expired = state.queue.remove_expired(now_s)
    return [refuse_waiting(state, waiting, refused, now_s) for waiting in expired]


def refuse_queued(state, now_s):
    """Refuse all queued requests, so that entries send them elsewhere."""
    effects = refuse_expired(state, now_s)
    refused = evacuated(state)
    while (waiting := state.queue.pop(now_s)) is not None:
        effects.append(refuse_waiting(state, waiting, refused, now_s))
    return effects


def refuse_waiting(state, waiting, refused, now_s):
    """Refuse a request that was removed from the queue."""
    pending = state.pending_by_id.pop(waiting.request_id)
    state.refused_ids.add(waiting.request_id, now_s)
    return SendAnswer(waiting.request_id, refused, tuple(pending.waiters))


def finish_drain(state):
    """Return `DrainCompleted` once, when a draining agent has no pending requests."""
    if not state.draining or state.drained or state.pending_by_id:
        return []
    state.drained = True
    return [DrainCompleted()]
