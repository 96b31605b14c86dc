"""Validation and registration of callers' requests at an entry."""

from .entrystate import Request
from .labels import effective_urgency, matching_selectors
from .outcome import RefusalReason, Refused, Unknown

__all__ = ["add_request", "check_request"]


def check_request(state, event):
    """Return the outcome of a request that cannot be accepted; None when it can."""
    if state.configuration is None:
        return Refused(RefusalReason.NOT_READY, "no configuration is known", 1.0)
    service = state.configuration.services_by_name.get(event.service_name)
    if service is None:
        detail = f"unknown service {event.service_name!r}"
        return Refused(RefusalReason.UNKNOWN_SERVICE, detail)
    kind = service.kinds_by_name.get(event.kind or service.default_kind)
    if kind is None:
        detail = f"service {event.service_name} has no request kind {event.kind!r}"
        return Refused(RefusalReason.BAD_REQUEST, detail)
    if not kind.idempotent and not event.key:
        detail = f"requests of kind {kind.name} require an idempotency key"
        return Refused(RefusalReason.KEY_REQUIRED, detail)
    if event.deadline_s is not None and event.deadline_s <= event.now_s:
        return late_outcome(kind)
    return None


def late_outcome(kind):
    """Return the outcome of a request that arrives after its deadline.

    For a non-idempotent kind the outcome is unknown: the claims, which tell whether an
    earlier request with the same key was executed, have not been read.
    """
    if kind.idempotent:
        return Refused(RefusalReason.DEADLINE, "the deadline has passed")
    return Unknown("the deadline passed before the claims were read")


def urgency_of(configuration, kind, event):
    """Return the urgency of a request.

    A caller may only lower the urgency of the kind; selectors override both.
    """
    requested = kind.urgency
    if event.urgency is not None:
        requested = min(requested, event.urgency)
    work = {**event.labels, "service": event.service_name, "kind": kind.name}
    return effective_urgency(matching_selectors(configuration, work), requested)


def add_request(state, event):
    """Register an accepted request and return it."""
    service = state.configuration.services_by_name[event.service_name]
    kind = service.kinds_by_name[event.kind or service.default_kind]
    deadline_s = event.deadline_s
    if deadline_s is None:
        deadline_s = event.now_s + kind.deadline_s
    request = Request(
        event.request_id,
        event.service_name,
        kind,
        deadline_s,
        None if kind.idempotent else event.key,
        event.fingerprint,
        event.size_bytes,
        event.request,
        urgency_of(state.configuration, kind, event),
    )
    state.requests_by_id[request.request_id] = request
    if request.key is not None:
        key = (request.service_name, request.key)
        state.ids_by_key.setdefault(key, set()).add(request.request_id)
    return request
