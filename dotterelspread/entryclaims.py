"""Event handlers of an entry for non-idempotent requests, based on claims in the log.

A request is sent only after its own claim has been read back from the log as the
current one. After an entry has answered its caller, it never sends the request for a
claim that appears in the log later.
"""

from .entryevents import (
    AppendFailed,
    ClaimRead,
    ClaimsTruncated,
    QueryAnswer,
)
from .entrysend import (
    MAX_PROGRESS_TIMEOUT_S,
    choose,
    evacuation_refusal,
    final_outcome,
    open_attempt,
    respond,
)
from .entrysettle import append, settle, settle_abandoned, settle_claim
from .entrystate import Attempt, AttemptState
from .outcome import Completed, Failed, RefusalReason, Refused, Unknown
from .record import RequestClaimed, RequestSettled
from .reducer import reduce
from .requestclaim import claim_stream
from .retry import MAX_ATTEMPTS

__all__ = [
    "advance_claim",
    "expire_claim",
    "handle_followed_outcome",
    "is_claimed_by_other",
    "tick_claim",
]

#: Seconds that a repeated request waits for the entry that holds the claim to settle
#: it, before the claimed instance is queried.
FOLLOW_DELAY_S = 1.0
#: Seconds before an append is retried once the record is proved absent from the log.
APPEND_BACKOFF_S = 0.25


@reduce.register
def _(event: ClaimRead, state):
    table = state.tables_by_stream[event.stream]
    table.apply(event.offset, event.record)
    if not table.is_complete:
        return []
    if isinstance(event.record, RequestSettled):
        state.settlements_by_id.pop(event.record.request_id, None)
    effects = settle_abandoned(state, table, event.record)
    for request in affected_requests(state, event):
        effects += advance_claim(state, request, event.now_s)
    return effects


@reduce.register
def _(event: ClaimsTruncated, state):
    state.tables_by_stream[event.stream].truncate(event.first_offset)
    return []


@reduce.register
def _(event: AppendFailed, state):
    request = state.requests_by_id.get(event.request_id)
    appended = request or state.settlements_by_id.get(event.request_id)
    if appended and event.proved_absent:
        appended.append_due_s = event.now_s + APPEND_BACKOFF_S
    return []


def affected_requests(state, event):
    """Return the open requests that a record of a claim stream may affect."""
    record = event.record
    if isinstance(record, RequestClaimed | RequestSettled):
        ids = state.ids_by_key.get((record.service, record.key), ())
        return [state.requests_by_id[i] for i in sorted(ids)]
    keyed = [r for r in state.requests_by_id.values() if r.key is not None]
    return [r for r in keyed if claim_stream(r.service_name, r.key) == event.stream]


def advance_claim(state, request, now_s):
    """Take the next step of a keyed request, given the current claim of its key."""
    table = state.table(request)
    if not table.is_complete:
        return []
    claim = table.find(request.service_name, request.key)
    if claim is None:
        return append_claim(state, request, 0, now_s)
    if claim.record.fingerprint != request.fingerprint:
        detail = "the idempotency key was used for a different request"
        return respond(state, request, Refused(RefusalReason.KEY_REUSED, detail))
    if claim.was_not_run:
        return append_claim(state, request, claim.record.attempt + 1, now_s)
    if claim.outcome is not None:
        return respond(state, request, claim.outcome)
    if claim.record.request_id == request.request_id:
        return advance_own_claim(state, request, claim, now_s)
    return follow_claim(request, claim, now_s)


def append_claim(state, request, number, now_s):
    """Return the effects that claim the request's key for an instance."""
    if request.claiming_attempt == number:
        return []
    # The claim is appended even if no instance is available, and then names none: only
    # the log tells whether an earlier request with the key was executed, and so whether
    # this one may be refused.
    instance = choose(state, request, now_s)
    request.claim = RequestClaimed(
        request.service_name,
        request.key,
        request.request_id,
        instance.instance_id if instance else "",
        instance.incarnation if instance else 0,
        request.fingerprint,
        number,
        int(now_s + state.unix_offset_s),
    )
    request.claiming_attempt = number
    request.append_due_s = None
    request.follow_due_s = None
    return [append(request.claim, request.request_id)]


def advance_own_claim(state, request, claim, now_s):
    """Send the request that holds the claim, or claim again if it was not executed."""
    record = claim.record
    attempt = request.find_attempt(record.attempt)
    if attempt is None:
        request.claiming_attempt = None
        instance = state.instances_by_id.get(record.instance_id)
        if now_s < request.deadline_s and is_claimed_instance(state, instance, record):
            return [open_attempt(state, request, instance, record.attempt, now_s)]
        attempt = add_unsent_attempt(state, request, record, now_s)
        may_claim_again = len(request.attempts) < MAX_ATTEMPTS and state.retries.take()
        if not may_claim_again:
            return answer_and_settle(state, request)
    if attempt.state is AttemptState.NOT_RUN:
        return append_claim(state, request, record.attempt + 1, now_s)
    return []


def is_claimed_instance(state, instance, record):
    """Return whether an instance is the one that a claim names and takes requests."""
    return (
        instance is not None
        and instance.incarnation == record.incarnation
        and not instance.draining
        and instance.data_centre not in state.evacuated_names
    )


def may_claim_again(state, request, record):
    """Return whether a request may be claimed again; if so, charge the retry budget."""
    return (
        record.instance_id != ""
        and len(request.attempts) < MAX_ATTEMPTS
        and state.retries.take()
    )


def add_unsent_attempt(state, request, record, now_s):
    """Record that the attempt of a claim was not sent and never will be."""
    attempt = Attempt(
        record.attempt,
        record.instance_id,
        record.incarnation,
        sent_s=now_s,
        query_due_s=request.deadline_s,
        state=AttemptState.NOT_RUN,
    )
    request.attempts.append(attempt)
    request.refused = evacuation_refusal(state, request)
    if request.refused is None:
        detail = f"instance {record.instance_id!r} cannot accept the request"
        request.refused = Refused(RefusalReason.NO_INSTANCE, detail, 1.0)
    return attempt


def answer_and_settle(state, request):
    """Answer the caller with the known outcome, and settle the claim."""
    outcome = final_outcome(state, request)
    effects = respond(state, request, outcome)
    return [*effects, *settle(state, request, outcome)]


def follow_claim(request, claim, now_s):
    """Wait for the outcome of the request with the same key that holds the claim."""
    if (
        request.claiming_attempt is not None
        and request.claiming_attempt <= claim.record.attempt
    ):
        request.claiming_attempt = None
        request.append_due_s = None
    if request.follow_due_s is None:
        request.follow_due_s = now_s + (0.0 if claim.settled else FOLLOW_DELAY_S)
    return []


def tick_claim(state, request, now_s):
    """Retry the append of a claim, or query the outcome of the claim being followed."""
    is_due = request.append_due_s is not None and request.append_due_s <= now_s
    if is_due and request.claiming_attempt is not None:
        request.append_due_s = None
        return [append(request.claim, request.request_id)]
    if request.follow_due_s is None or request.follow_due_s > now_s:
        return []
    request.follow_due_s = now_s + MAX_PROGRESS_TIMEOUT_S
    claim = state.table(request).find(request.service_name, request.key)
    if claim is None:
        request.follow_due_s = None
        return advance_claim(state, request, now_s)
    record = claim.record
    instance = state.instances_by_id.get(record.instance_id)
    if instance is None:
        return []
    return [
        QueryAnswer(
            request.request_id,
            record.request_id,
            record.attempt,
            record.instance_id,
            record.incarnation,
            fence=claim.settled is None,
        )
    ]


def handle_followed_outcome(state, request, event):
    """Handle the outcome that the instance of another request's claim reported."""
    claim = state.table(request).find(request.service_name, request.key)
    if claim is None:
        return []
    queried = (event.queried_id, event.attempt, event.instance_id)
    record = claim.record
    if queried != (record.request_id, record.attempt, record.instance_id):
        return []
    outcome = event.outcome
    if isinstance(outcome, Refused):
        return append_claim(state, request, record.attempt + 1, event.now_s)
    if isinstance(outcome, Unknown):
        outcome = Unknown(outcome.detail, (record.instance_id,))
    effects = respond(state, request, outcome)
    if isinstance(outcome, Completed | Failed) and claim.settled is None:
        effects += settle_claim(state, record, outcome)
    return effects


def is_claimed_by_other(state, request):
    """Return whether another request holds the claim and may have been executed."""
    claim = state.table(request).find(request.service_name, request.key)
    if claim is None or claim.was_not_run:
        return False
    return (
        claim.record.request_id != request.request_id
        and claim.record.fingerprint == request.fingerprint
    )


def expire_claim(state, request):
    """Answer the caller of a keyed request whose deadline has passed."""
    outcome = final_outcome(state, request)
    if isinstance(outcome, Unknown):
        return respond(state, request, outcome)
    claim = state.table(request).find(request.service_name, request.key)
    if is_claimed_by_other(state, request):
        unknown = Unknown(
            "an earlier request holds the idempotency key", (claim.record.instance_id,)
        )
        return respond(state, request, unknown)
    if request.refused is None:
        detail = "the request was not run: its claim was not stored before the deadline"
        outcome = Refused(RefusalReason.STORE_UNAVAILABLE, detail, 1.0)
    return [*respond(state, request, outcome), *settle(state, request, outcome)]
