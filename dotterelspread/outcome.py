"""The ways in which a request or a task ends, as tagged dataclasses.

Every request ends in exactly one of `Completed`, `Failed`, `Refused` and `Unknown`.
`Refused` is used only when it is proved that the request was not run.
"""

import enum
from dataclasses import dataclass, field

__all__ = ["Completed", "Failed", "Outcome", "Refused", "RefusalReason", "Unknown"]


class RefusalReason(enum.StrEnum):
    """Reason codes of a refusal, as callers and operators see them."""

    NO_CAPACITY = "no-capacity"
    DEADLINE = "deadline"
    DRAINING = "draining"
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
    """The backend server answered; the answer is whole."""

    status: int
    headers: tuple = ()
    body: bytes = b""


@dataclass(slots=True, frozen=True)
class Failed:
    """The work was run and failed."""

    detail: str


@dataclass(slots=True, frozen=True)
class Refused:
    """The work was not run, and this is proved."""

    reason: RefusalReason
    detail: str = ""
    #: Seconds after which a new attempt may succeed; None when waiting won't help.
    retry_after_s: float | None = None


@dataclass(slots=True, frozen=True)
class Unknown:
    """It is not known whether the work was run."""

    detail: str = ""
    #: Instances that may have run the work.
    instance_ids: tuple = field(default=())


Outcome = Completed | Failed | Refused | Unknown
