"""Event handlers of an entry for callers' requests: routing, retries and outcomes.

Each request is answered with exactly one `Respond`. It is refused only if none of its
attempts can have been executed. The idempotency key of a non-idempotent request is
claimed in the log before it is sent; see ``entryclaims``.
"""

from .entryadmit import add_request, check_request
from .entryclaims import (
    advance_claim,
    expire_claim,
    handle_followed_outcome,
    is_claimed_by_other,
    tick_claim,
)
from .entryevents import (
    AnswerReceived,
    AttemptLost,
    EntriesCounted,
    EntryConfigured,
    EntryTick,
    EvacuationsChanged,
    LoadReported,
    MemberGone,
    MemberSeen,
    QueryAnswered,
    QueryLost,
    QueryPending,
    RequestArrived,
    Respond,
)
from .entryretry import note_evacuation, take_retry
from .entrysend import (
    charge_answer,
    choose,
    close_attempt,
    final_outcome,
    note_latency,
    note_load,
    open_attempt,
    open_attempts,
    progress_timeout_s,
    query_answer,
    respond,
    suspect,
)
from .entrysettle import settle, tick_settlements
from .entrystate import AttemptState, EntryState
from .outcome import Completed, Failed, RefusalReason, Refused, Unknown
from .reducer import reduce
from .retry import is_retryable
from .routing import Instance

__all__ = ["EntryState"]


@reduce.register
def _(event: RequestArrived, state):
    if event.request_id in state.requests_by_id:
        return []
    outcome = check_request(state, event)
    if outcome:
        return [Respond(event.request_id, outcome)]
    request = add_request(state, event)
    state.retries.note_first_attempt()
    if request.key is not None:
        return advance_claim(state, request, event.now_s)
    return send_next(state, request, event.now_s)


@reduce.register
def _(event: AnswerReceived, state):
    note_load(state, event)
    request = state.requests_by_id.get(event.request_id)
    attempt = request and request.find_attempt(event.attempt)
    if not attempt or attempt.instance_id != event.instance_id:
        return []
    charge_answer(state, event)
    return handle_outcome(state, request, attempt, event.outcome, event.now_s)


@reduce.register
def _(event: AttemptLost, state):
    request = state.requests_by_id.get(event.request_id)
    attempt = request and request.find_attempt(event.attempt)
    if not attempt or attempt.state is not AttemptState.SENT:
        return []
    if event.sent:
        return query_answer(state, request, attempt, event.now_s)
    suspect(state, event.instance_id, event.now_s)
    refused = Refused(
        RefusalReason.NO_INSTANCE, f"no connection to {event.instance_id}"
    )
    return handle_outcome(state, request, attempt, refused, event.now_s)


@reduce.register
def _(event: QueryAnswered, state):
    note_load(state, event)
    request = state.requests_by_id.get(event.request_id)
    if request is None:
        return []
    charge_answer(state, event)
    if event.queried_id != event.request_id:
        return handle_followed_outcome(state, request, event)
    attempt = request.find_attempt(event.attempt)
    if not attempt or attempt.instance_id != event.instance_id:
        return []
    return handle_outcome(state, request, attempt, event.outcome, event.now_s)


@reduce.register
def _(event: QueryPending, state):
    note_load(state, event)
    request = state.requests_by_id.get(event.request_id)
    if request is None:
        return []
    if event.queried_id != event.request_id:
        request.follow_due_s = event.now_s + progress_timeout_s(request, event.now_s)
        return []
    attempt = request.find_attempt(event.attempt)
    if attempt and attempt.is_open:
        attempt.state = AttemptState.QUERYING
        attempt.query_due_s = event.now_s + progress_timeout_s(request, event.now_s)
    return []


@reduce.register
def _(event: QueryLost, state):
    request = state.requests_by_id.get(event.request_id)
    if request is None or event.queried_id != event.request_id:
        return []
    attempt = request.find_attempt(event.attempt)
    if not attempt or attempt.state is not AttemptState.QUERYING:
        return []
    suspect(state, event.instance_id, event.now_s)
    return retry_or_query(state, request, attempt, event.now_s)


@reduce.register
def _(event: MemberSeen, state):
    known = state.instances_by_id.get(event.instance_id)
    if known and known.incarnation > event.incarnation:
        return []
    if known and known.incarnation == event.incarnation:
        known.draining = known.draining or event.draining
        known.services, known.slots = event.services, event.slots
        return []
    state.instances_by_id[event.instance_id] = Instance(
        event.instance_id,
        event.incarnation,
        event.address,
        event.data_centre,
        event.region,
        event.services,
        event.slots,
        event.draining,
    )
    effects = []
    for request, attempt in open_attempts(state, event.instance_id, event.incarnation):
        close_attempt(state, attempt, AttemptState.UNKNOWN)
        effects += next_attempt(state, request, event.now_s)
    return effects


@reduce.register
def _(event: MemberGone, state):
    known = state.instances_by_id.get(event.instance_id)
    if known is None or known.incarnation > event.incarnation:
        return []
    del state.instances_by_id[event.instance_id]
    effects = []
    gone = open_attempts(state, event.instance_id, event.incarnation + 1)
    for request, attempt in gone:
        effects += retry_or_query(state, request, attempt, event.now_s)
    return effects


@reduce.register
def _(event: LoadReported, state):
    note_load(state, event)
    return []


@reduce.register
def _(event: EntriesCounted, state):
    state.link.share_with(event.count)
    return []


@reduce.register
def _(event: EntryConfigured, state):
    state.configuration = event.configuration
    return []


@reduce.register
def _(event: EvacuationsChanged, state):
    state.evacuated_names = event.names
    return []


@reduce.register
def _(event: EntryTick, state):
    effects = tick_settlements(state, event.now_s)
    for request in list(state.requests_by_id.values()):
        if request.deadline_s <= event.now_s:
            effects += expire(state, request)
            continue
        effects += tick_attempts(state, request, event.now_s)
        if request.request_id in state.requests_by_id and request.key is not None:
            effects += tick_claim(state, request, event.now_s)
    return effects


def send_next(state, request, now_s):
    """Send an idempotent request to the next instance, or answer the caller."""
    instance = choose(state, request, now_s)
    if instance is None:
        return finish(state, request)
    number = len(request.attempts)
    return [open_attempt(state, request, instance, number, now_s)]


def handle_outcome(state, request, attempt, outcome, now_s):
    """Handle the outcome of an attempt: answer the caller, or retry."""
    if isinstance(outcome, Completed | Failed):
        note_latency(state, attempt, now_s)
        effects = respond(state, request, outcome)
        return [*effects, *settle(state, request, outcome)]
    if not attempt.is_open:
        return []
    if isinstance(outcome, Unknown):
        close_attempt(state, attempt, AttemptState.UNKNOWN)
        return next_attempt(state, request, now_s)
    close_attempt(state, attempt, AttemptState.NOT_RUN)
    request.refused = outcome
    if outcome.reason is RefusalReason.EVACUATED:
        note_evacuation(state, request, attempt)
    if not is_retryable(outcome.reason):
        return finish(state, request)
    return next_attempt(state, request, now_s)


def next_attempt(state, request, now_s):
    """Retry a request if safe and within the retry budget, or answer the caller."""
    if any(attempt.is_open for attempt in request.attempts):
        return []
    is_claimed = request.key is not None and is_claimed_by_other(state, request)
    if not is_claimed and not take_retry(state, request, now_s):
        return finish(state, request)
    if request.key is not None:
        return advance_claim(state, request, now_s)
    return send_next(state, request, now_s)


def finish(state, request):
    """Answer the caller with the known outcome, unless an attempt is still open."""
    if any(attempt.is_open for attempt in request.attempts):
        return []
    outcome = final_outcome(state, request)
    return [*respond(state, request, outcome), *settle(state, request, outcome)]


def tick_attempts(state, request, now_s):
    """Query attempts whose progress timeout expired; retry those already queried."""
    effects = []
    for attempt in list(request.attempts):
        if not attempt.is_open or attempt.query_due_s > now_s:
            continue
        if attempt.state is AttemptState.SENT:
            effects += query_answer(state, request, attempt, now_s)
        else:
            effects += retry_or_query(state, request, attempt, now_s)
    return effects


def retry_or_query(state, request, attempt, now_s):
    """Retry an idempotent request elsewhere, or repeat the query for the attempt."""
    if request.kind.idempotent and take_retry(state, request, now_s):
        close_attempt(state, attempt, AttemptState.UNKNOWN)
        return send_next(state, request, now_s)
    if attempt.query_due_s <= now_s:
        return query_answer(state, request, attempt, now_s)
    return []


def expire(state, request):
    """Answer the caller of a request whose deadline has passed."""
    if request.key is not None:
        return expire_claim(state, request)
    outcome = final_outcome(state, request)
    if isinstance(outcome, Refused) and request.refused is None:
        outcome = Refused(RefusalReason.DEADLINE, "the deadline has passed")
    return respond(state, request, outcome)
