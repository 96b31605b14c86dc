"""Conversion of outcomes and loads to and from the Thrift messages of peers."""

from functools import singledispatch

from .gen.peer.ttypes import Answer, Header, Result
from .outcome import Completed, Failed, RefusalReason, Refused, Unknown
from .routing import Load

__all__ = [
    "from_headers",
    "load_from_message",
    "message_from_outcome",
    "outcome_from_message",
    "pending_message",
    "to_headers",
]

MS_PER_S = 1000


def to_headers(pairs):
    """Return Thrift headers from pairs of name and value."""
    return [Header(name, value) for name, value in pairs]


def from_headers(headers):
    """Return pairs of name and value from Thrift headers."""
    return tuple((header.name, header.value) for header in headers or ())


@singledispatch
def message_from_outcome(outcome, load=None):
    """Return the Thrift `Answer` that carries an outcome.

    Raises
    ------
    TypeError
        When ``outcome`` is not an outcome.
    """
    raise TypeError(f"not an outcome: {type(outcome).__name__}")


@message_from_outcome.register
def _(outcome: Completed, load=None):
    return Answer(
        result=Result.COMPLETED,
        status=outcome.status,
        headers=to_headers(outcome.headers),
        body=outcome.body,
        load=load,
    )


@message_from_outcome.register
def _(outcome: Failed, load=None):
    return Answer(result=Result.FAILED, detail=outcome.detail, load=load)


@message_from_outcome.register
def _(outcome: Refused, load=None):
    retry_after_ms = None
    if outcome.retry_after_s is not None:
        retry_after_ms = round(outcome.retry_after_s * MS_PER_S)
    return Answer(
        result=Result.REFUSED,
        reason=outcome.reason.value,
        detail=outcome.detail,
        retry_after_ms=retry_after_ms,
        load=load,
    )


@message_from_outcome.register
def _(outcome: Unknown, load=None):
    return Answer(result=Result.UNKNOWN, detail=outcome.detail, load=load)


def pending_message(load=None):
    """Return the `Answer` for a request that is still in progress."""
    return Answer(result=Result.PENDING, load=load)


def outcome_from_message(answer, instance_id):
    """Return the outcome in an instance's `Answer`; None while it is pending.

    An unrecognised answer becomes `Unknown`, because the request may have run.
    """
    match answer.result:
        case Result.COMPLETED:
            headers = from_headers(answer.headers)
            return Completed(answer.status, headers, answer.body or b"")
        case Result.FAILED:
            return Failed(answer.detail or "")
        case Result.REFUSED:
            return _refused(answer)
        case Result.PENDING:
            return None
        case _:
            return Unknown(answer.detail or "", (instance_id,))


def _refused(answer):
    retry_after_s = None
    if answer.retry_after_ms is not None:
        retry_after_s = answer.retry_after_ms / MS_PER_S
    try:
        reason = RefusalReason(answer.reason)
    except ValueError:
        reason = RefusalReason.NO_CAPACITY
    return Refused(reason, answer.detail or "", retry_after_s)


def load_from_message(load):
    """Return the `Load` in a Thrift message; None when there is none."""
    if load is None:
        return None
    version = load.configuration_version
    return Load(
        load.running or 0,
        load.queued or 0,
        load.slots or 0,
        bool(load.draining),
        load.incarnation or 0,
        -1 if version is None else version,
    )
