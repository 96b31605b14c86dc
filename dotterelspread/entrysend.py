"""Operations common to all requests of an entry, such as sending and querying."""

from dataclasses import replace

from .entryevents import OpenNewConnection, QueryAnswer, Respond, SendRun
from .entrystate import Attempt, AttemptState
from .outcome import Completed, RefusalReason, Refused, Unknown
from .routing import SUSPECT_PERIOD_S, choose_instance

__all__ = [
    "charge_answer",
    "choose",
    "close_attempt",
    "evacuation_refusal",
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

#: Maximum seconds to wait for an answer before querying it on a new connection.
MAX_PROGRESS_TIMEOUT_S = 1.0
#: Progress timeout as a fraction of the remaining time, where that is shorter.
PROGRESS_TIMEOUT_RATIO = 0.25
#: Minimum seconds to wait for an answer before querying it.
MIN_PROGRESS_TIMEOUT_S = 0.05
#: Seconds after which a request is retried that only evacuated instances could serve.
EVACUATED_RETRY_AFTER_S = 5.0
#: Maximum number of evacuated data centres listed in a refusal.
MAX_LISTED_NAMES = 5


def choose(state, request, now_s):
    """Return an instance that has not been tried for the request, or None.

    Suspected instances are used only when there is no other candidate.
    """
    tried_ids = request.tried_ids
    evacuated_names = state.evacuated_names | request.evacuated_names
    candidates = [
        instance
        for instance in state.instances_by_id.values()
        if instance.instance_id not in tried_ids
        and instance.data_centre not in evacuated_names
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
    """Return the seconds to wait for progress, short enough to allow a retry."""
    timeout_s = min(
        MAX_PROGRESS_TIMEOUT_S, PROGRESS_TIMEOUT_RATIO * (request.deadline_s - now_s)
    )
    return max(MIN_PROGRESS_TIMEOUT_S, timeout_s)


def open_attempts(state, instance_id, incarnation):
    """Return pairs of request and open attempt at earlier incarnations of an instance.

    A request has at most one open attempt at each instance.
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
    """Record the time that an attempt took to be answered."""
    instance = state.instances_by_id.get(attempt.instance_id)
    if attempt.is_open and instance and instance.incarnation == attempt.incarnation:
        instance.note_latency(now_s - attempt.sent_s, now_s)


def close_attempt(state, attempt, final_state):
    """Close an attempt with its final state; later answers are not awaited."""
    if attempt.is_open:
        instance = state.instances_by_id.get(attempt.instance_id)
        if instance and instance.incarnation == attempt.incarnation:
            instance.outstanding = max(0, instance.outstanding - 1)
    attempt.state = final_state


def query_answer(state, request, attempt, now_s):
    """Return the effects that query an attempt's outcome on a new connection."""
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
    """Remove the request and return the effect that answers its caller."""
    del state.requests_by_id[request.request_id]
    for attempt in request.attempts:
        if attempt.is_open:
            close_attempt(state, attempt, AttemptState.UNKNOWN)
    if request.key is not None:
        forget_key(state, request)
    return [Respond(request.request_id, outcome)]


def forget_key(state, request):
    """Remove an answered request from the key index and abandon its pending claim."""
    key = (request.service_name, request.key)
    ids = state.ids_by_key[key]
    ids.remove(request.request_id)
    if not ids:
        del state.ids_by_key[key]
    if request.claiming_attempt is not None:
        state.abandon(request.request_id, request.claiming_attempt)


def final_outcome(state, request):
    """Return the outcome of a request for which no instance returned a result."""
    uncertain_ids = tuple(
        attempt.instance_id
        for attempt in request.attempts
        if attempt.state is not AttemptState.NOT_RUN
    )
    if uncertain_ids:
        return Unknown("no answer from the instance", uncertain_ids)
    if request.refused is not None:
        return with_left_out(request.refused, left_out_names(state, request))
    refused = Refused(
        RefusalReason.NO_INSTANCE, "no instance can serve the request", 1.0
    )
    return evacuation_refusal(state, request) or refused


def evacuation_refusal(state, request):
    """Return the refusal if only evacuated instances could serve a request, or None."""
    left_out = left_out_names(state, request)
    is_served = any(
        instance.data_centre not in state.evacuated_names
        and instance.can_serve(request.service_name)
        for instance in state.instances_by_id.values()
    )
    if is_served or not left_out:
        return None
    detail = f"all instances that can serve the request are in {left_out}"
    return Refused(RefusalReason.EVACUATED, detail, EVACUATED_RETRY_AFTER_S)


def left_out_names(state, request):
    """Return the evacuated data centres that could serve a request, for messages."""
    names = {
        instance.data_centre
        for instance in state.instances_by_id.values()
        if instance.data_centre in state.evacuated_names
        and instance.can_serve(request.service_name)
    }
    listed = ", ".join(sorted(names)[:MAX_LISTED_NAMES])
    return f"evacuated data centres: {listed}" if names else ""


def with_left_out(refused, left_out):
    """Return a refusal whose detail also names the evacuated data centres."""
    if not left_out or refused.reason is RefusalReason.EVACUATED:
        return refused
    return replace(refused, detail=f"{refused.detail}; not tried: {left_out}")


def suspect(state, instance_id, now_s):
    """Prefer other instances for `SUSPECT_PERIOD_S`."""
    instance = state.instances_by_id.get(instance_id)
    if instance:
        instance.suspect_until_s = now_s + SUSPECT_PERIOD_S


def note_load(state, event):
    """Record an instance's reported load, and clear suspicion as it is reachable."""
    instance = state.instances_by_id.get(event.instance_id)
    if instance:
        instance.suspect_until_s = event.now_s
        instance.note_load(event.load, event.now_s)


def charge_answer(state, event):
    """Charge an answer's body to the link budget if it came from another region."""
    instance = state.instances_by_id.get(event.instance_id)
    is_remote = instance and instance.region != state.location.region
    if is_remote and isinstance(event.outcome, Completed):
        state.link.charge(len(event.outcome.body), event.now_s)
