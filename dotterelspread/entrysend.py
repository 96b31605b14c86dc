"""Steps that an entry's requests share: choosing, sending, asking and answering."""

from .entryevents import OpenNewConnection, QueryAnswer, Respond, SendRun
from .entrystate import Attempt, AttemptState
from .outcome import Completed, RefusalReason, Refused, Unknown
from .routing import SUSPECT_PERIOD_S, choose_instance

__all__ = [
    "charge_answer",
    "choose",
    "close_attempt",
    "final_outcome",
    "note_latency",
    "note_load",
    "open_attempt",
    "open_attempts",
    "progress_timeout_s",
    "query_answer",
    "respond",
    "suspect",
]

#: Seconds without an answer after which an instance is asked on a new connection.
MAX_PROGRESS_TIMEOUT_S = 1.0
#: Part of the time left after which it is asked, if that is sooner.
PROGRESS_TIMEOUT_RATIO = 0.25
#: Seconds after which it is asked at the earliest.
MIN_PROGRESS_TIMEOUT_S = 0.05


def choose(state, request, now_s):
    """Return an instance that the request was not sent to; None when there is none.

    A suspected instance is taken when there is no other.
    """
    tried_ids = request.tried_ids
    candidates = [
        instance
        for instance in state.instances_by_id.values()
        if instance.instance_id not in tried_ids
        and instance.can_serve(request.service_name)
    ]
    trusted = [i for i in candidates if i.suspect_until_s <= now_s]

    def has_link_budget():
        return state.link.has_room(request.size_bytes, now_s)

    return choose_instance(
        trusted or candidates, state.location, has_link_budget, state.rng, now_s
    )


def open_attempt(state, request, instance, number, now_s):
    """Return the effect that sends a request to an instance as a new attempt."""
    attempt = Attempt(
        number,
        instance.instance_id,
        instance.incarnation,
        sent_s=now_s,
        query_due_s=now_s + progress_timeout_s(request, now_s),
    )
    request.attempts.append(attempt)
    instance.note_sent()
    if instance.region != state.location.region:
        state.link.charge(request.size_bytes, now_s)
    return SendRun(
        request.request_id,
        number,
        instance.instance_id,
        instance.incarnation,
        request.service_name,
        request.kind.name,
        int(request.urgency),
        request.kind.idempotent,
        request.deadline_s - now_s,
        request.body,
    )


def progress_timeout_s(request, now_s):
    """Return the seconds to wait for progress, so that time is left for a retry."""
    timeout_s = min(
        MAX_PROGRESS_TIMEOUT_S, PROGRESS_TIMEOUT_RATIO * (request.deadline_s - now_s)
    )
    return max(MIN_PROGRESS_TIMEOUT_S, timeout_s)


def open_attempts(state, instance_id, incarnation):
    """Return the requests and attempts open at an instance before an incarnation.

    No request has two open attempts at one instance.
    """
    return [
        (request, attempt)
        for request in state.requests_by_id.values()
        for attempt in request.attempts
        if attempt.is_open
        and attempt.instance_id == instance_id
        and attempt.incarnation < incarnation
    ]


def note_latency(state, attempt, now_s):
    """Take over how long an attempt took to be answered."""
    instance = state.instances_by_id.get(attempt.instance_id)
    if attempt.is_open and instance and instance.incarnation == attempt.incarnation:
        instance.note_latency(now_s - attempt.sent_s, now_s)


def close_attempt(state, attempt, closed):
    """Note what became of an attempt; it waits for no answer from then on."""
    if attempt.is_open:
        instance = state.instances_by_id.get(attempt.instance_id)
        if instance and instance.incarnation == attempt.incarnation:
            instance.outstanding = max(0, instance.outstanding - 1)
    attempt.state = closed


def query_answer(state, request, attempt, now_s):
    """Return the effects that ask for an attempt's answer on a new connection."""
    attempt.state = AttemptState.QUERYING
    attempt.query_due_s = now_s + progress_timeout_s(request, now_s)
    suspect(state, attempt.instance_id, now_s)
    return [
        OpenNewConnection(attempt.instance_id),
        QueryAnswer(
            request.request_id,
            request.request_id,
            attempt.number,
            attempt.instance_id,
            attempt.incarnation,
            fence=True,
        ),
    ]


def respond(state, request, outcome):
    """Return the effect that answers the caller, and forget the request."""
    del state.requests_by_id[request.request_id]
    for attempt in request.attempts:
        if attempt.is_open:
            close_attempt(state, attempt, AttemptState.UNKNOWN)
    if request.key is not None:
        forget_key(state, request)
    return [Respond(request.request_id, outcome)]


def forget_key(state, request):
    """Note that a keyed request has been answered; its claims are not acted on."""
    key = (request.service_name, request.key)
    ids = state.ids_by_key[key]
    ids.remove(request.request_id)
    if not ids:
        del state.ids_by_key[key]
    if request.claiming_attempt is not None:
        state.abandon(request.request_id, request.claiming_attempt)


def final_outcome(request):
    """Return the outcome of a request that no instance has answered."""
    uncertain_ids = tuple(
        attempt.instance_id
        for attempt in request.attempts
        if attempt.state is not AttemptState.NOT_RUN
    )
    if uncertain_ids:
        return Unknown("no answer came from the instance", uncertain_ids)
    if request.refused is not None:
        return request.refused
    return Refused(RefusalReason.NO_INSTANCE, "no instance can serve it", 1.0)


def suspect(state, instance_id, now_s):
    """Prefer other instances for a while."""
    instance = state.instances_by_id.get(instance_id)
    if instance:
        instance.suspect_until_s = now_s + SUSPECT_PERIOD_S


def note_load(state, event):
    """Take over the load that an instance reported; it is reachable, too."""
    instance = state.instances_by_id.get(event.instance_id)
    if instance:
        instance.suspect_until_s = event.now_s
        instance.note_load(event.load, event.now_s)


def charge_answer(state, event):
    """Count an answer's body against the link if it came from another region."""
    instance = state.instances_by_id.get(event.instance_id)
    is_remote = instance and instance.region != state.location.region
    if is_remote and isinstance(event.outcome, Completed):
        state.link.charge(len(event.outcome.body), event.now_s)
