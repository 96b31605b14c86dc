"""RFC 9457 problem documents for requests that did not complete."""

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
#: Prefix of the ``type`` URI, followed by the reason code.
TYPE_PREFIX = "urn:dotterelspread:problem:"

FAILED_CODE = "failed"
UNKNOWN_CODE = "outcome-unknown"

STATUS_BY_REASON = {
    RefusalReason.NO_CAPACITY: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.DEADLINE: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.DRAINING: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalReason.EVACUATED: HTTPStatus.SERVICE_UNAVAILABLE,
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
    """An outcome has no problem document."""


@dataclass(slots=True, frozen=True)
class Problem:
    """A problem document with its HTTP status and headers."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@singledispatch
def describe_outcome(outcome, request_id="", faults=()):
    """Return the `Problem` that describes an outcome to a caller.

    Parameters
    ----------
    outcome : Failed, Refused or Unknown
    request_id : str
        Id under which operators can look up the request.
    faults : iterable of Fault
        Faults in the request itself.

    Raises
    ------
    ProblemError
        When ``outcome`` is `Completed` or not an outcome.
    """
    raise ProblemError(f"{type(outcome).__name__} has no problem document")


@describe_outcome.register
def _(outcome: Refused, request_id="", faults=()):
    status = STATUS_BY_REASON[outcome.reason]
    title = "The request was refused and not run"
    members = _members(outcome.reason.value, status, title, "no", outcome.detail)
    if outcome.retry_after_s is None:
        return _problem(members, request_id, faults)
    # Round up, since a retry that comes too early only adds to the load.
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
