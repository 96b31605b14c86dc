"""Outcomes of requests and tasks, as a tagged union of dataclasses.

Every request ends in exactly one of `Completed`, `Failed`, `Refused` and `Unknown`.
`Refused` is used only when it is certain that the request was not executed.
"""

import enum
from dataclasses import dataclass, field

__all__ = ["Completed", "Failed", "Outcome", "Refused", "RefusalReason", "Unknown"]


class RefusalReason(enum.StrEnum):
    """Reason codes of a refusal, reported to callers and operators."""

    NO_CAPACITY = "no-capacity"
    DEADLINE = "deadline"
    DRAINING = "draining"
    EVACUATED = "evacuated"
    SHED = "shed"
    NOT_READY = "not-ready"
    NO_INSTANCE = "no-instance"
    UNKNOWN_SERVICE = "unknown-service"
    BAD_REQUEST = "bad-request"
    TOO_LARGE = "too-large"
    KEY_REQUIRED = "idempotency-key-required"
    KEY_REUSED = "idempotency-key-reused"
    STORE_UNAVAILABLE = "store-unavailable"
    RETRY_BUDGET = "retry-budget"
    FENCED = "fenced"
    NEVER_FITS = "never-fits"
    CANCELLED = "cancelled"
    FAILS_EVERYWHERE = "fails-everywhere"
    NOT_FOUND = "not-found"


@dataclass(slots=True, frozen=True)
class Completed:
    """The backend server returned a complete answer."""

    status: int
    headers: tuple = ()
    body: bytes = b""


@dataclass(slots=True, frozen=True)
class Failed:
    """The work was executed and failed."""

    detail: str


@dataclass(slots=True, frozen=True)
class Refused:
    """The work was certainly not executed."""

    reason: RefusalReason
    detail: str = ""
    #: Seconds after which a retry may succeed; None when waiting does not help.
    retry_after_s: float | None = None


@dataclass(slots=True, frozen=True)
class Unknown:
    """It is unknown whether the work was executed."""

    detail: str = ""
    #: Instances that may have executed the work.
    instance_ids: tuple = field(default=())


Outcome = Completed | Failed | Refused | Unknown
