"""Tell callers why a request has no answer, as RFC 9457 problem documents."""

import math
from dataclasses import dataclass
from functools import singledispatch
from http import HTTPStatus

import msgspec

from .outcome import Failed, RefusalReason, Refused, Unknown

__all__ = [
    "PROBLEM_TYPE",
    "STATUS_BY_REASON",
    "Problem",
    "ProblemError",
    "describe_outcome",
]

#: Media type of a problem document.
PROBLEM_TYPE = "application/problem+json"
#: Prefix of the URI in ``type``; the reason code follows.
TYPE_PREFIX = "urn:dotterelspread:problem:"

FAILED_CODE = "failed"
UNKNOWN_CODE = "outcome-unknown"

STATUS_BY_REASON = {
    RefusalReason.NO_CAPACITY: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.DEADLINE: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.DRAINING: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.SHED: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.NOT_READY: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.NO_INSTANCE: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.STORE_UNAVAILABLE: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.RETRY_BUDGET: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.FENCED: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.UNKNOWN_SERVICE: HTTPStatus.NOT_FOUND,
    RefusalReason.NOT_FOUND: HTTPStatus.NOT_FOUND,
    RefusalReason.BAD_REQUEST: HTTPStatus.BAD_REQUEST,
    RefusalReason.KEY_REQUIRED: HTTPStatus.BAD_REQUEST,
    RefusalReason.TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    RefusalReason.KEY_REUSED: HTTPStatus.UNPROCESSABLE_ENTITY,
    RefusalReason.NEVER_FITS: HTTPStatus.UNPROCESSABLE_ENTITY,
    RefusalReason.FAILS_EVERYWHERE: HTTPStatus.UNPROCESSABLE_ENTITY,
    RefusalReason.CANCELLED: HTTPStatus.CONFLICT,
}


class ProblemError(Exception):
    """An outcome is no problem to tell of."""


@dataclass(slots=True, frozen=True)
class Problem:
    """A problem as an HTTP response."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@singledispatch
def describe_outcome(outcome, request_id="", faults=()):
    """Return the `Problem` that tells a caller of an outcome.

    Parameters
    ----------
    outcome : Failed, Refused or Unknown
    request_id : str
        Id by which operators can ask about the request.
    faults : iterable of Fault
        What is wrong with the request itself.

    Raises
    ------
    ProblemError
        When ``outcome`` is a whole answer, or no outcome.
    """
    raise ProblemError(f"{type(outcome).__name__} is no problem")


@describe_outcome.register
def _(outcome: Refused, request_id="", faults=()):
    status = STATUS_BY_REASON[outcome.reason]
    title = "The request was refused and not run"
    members = _members(outcome.reason.value, status, title, "no", outcome.detail)
    if outcome.retry_after_s is None:
        return _problem(members, request_id, faults)
    # A caller that comes back too early only adds to the load: round up.
    seconds = max(1, math.ceil(outcome.retry_after_s))
    return _problem(members, request_id, faults, ("Retry-After", str(seconds)))


@describe_outcome.register
def _(outcome: Unknown, request_id="", faults=()):
    title = "It is not known whether the request was run"
    status = HTTPStatus.GATEWAY_TIMEOUT
    members = _members(UNKNOWN_CODE, status, title, "unknown", outcome.detail)
    return _problem(members, request_id, faults)


@describe_outcome.register
def _(outcome: Failed, request_id="", faults=()):
    title = "The request was run and failed"
    members = _members(
        FAILED_CODE, HTTPStatus.BAD_GATEWAY, title, "yes", outcome.detail
    )
    return _problem(members, request_id, faults)


def _members(code, status, title, executed, detail):
    return {
        "type": TYPE_PREFIX + code,
        "title": title,
        "status": int(status),
        "detail": detail,
        "executed": executed,
        "reason": code,
    }


def _problem(members, request_id, faults, *headers):
    if request_id:
        members["request_id"] = request_id
    if faults:
        members["errors"] = [
            {"field": fault.path, "found": fault.found, "allowed": fault.allowed}
            for fault in faults
        ]
    body = msgspec.json.encode(members)
    media = ("Content-Type", PROBLEM_TYPE)
    return Problem(members["status"], (media, *headers), body)
