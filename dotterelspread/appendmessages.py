"""Events and effects of appending to one stream; see `appending`."""

import enum
from dataclasses import dataclass

from .log import Extent, ReadReply
from .record import Record
from .reducer import Effect, Event

__all__ = [
    "AppendCancelled",
    "AppendDropped",
    "AppendFailed",
    "AppendFailure",
    "AppendReplied",
    "AppendRequested",
    "AppendSent",
    "AppendSettled",
    "BackReadFailed",
    "BackReadReplied",
    "BackReadSent",
    "BackReadTruncated",
    "CommitDue",
    "CommitTimerStarted",
    "TailLocated",
    "TailRequested",
]


class AppendFailure(enum.Enum):
    """How an append failed."""

    NOT_WRITTEN = "not written"
    UNCERTAIN = "uncertain"
    REJECTED = "rejected"


@dataclass(slots=True, frozen=True)
class AppendRequested(Event):
    """A caller requests an append; ``token`` identifies the request."""

    token: int
    record: Record


@dataclass(slots=True, frozen=True)
class AppendCancelled(Event):
    """The caller no longer waits for the append."""

    token: int


@dataclass(slots=True, frozen=True)
class CommitDue(Event):
    """The timer set by `CommitTimerStarted` has expired."""


@dataclass(slots=True, frozen=True)
class TailLocated(Event):
    """The log returned the stream's extent."""

    attempt: int
    extent: Extent


@dataclass(slots=True, frozen=True)
class AppendReplied(Event):
    """The log acknowledged the append."""

    attempt: int
    extent: Extent


@dataclass(slots=True, frozen=True)
class AppendFailed(Event):
    """The append, or the extent query before it, failed."""

    attempt: int
    failure: AppendFailure


@dataclass(slots=True, frozen=True)
class BackReadReplied(Event):
    """A read-back of the stream succeeded."""

    attempt: int
    reply: ReadReply


@dataclass(slots=True, frozen=True)
class BackReadFailed(Event):
    """A read-back of the stream failed."""

    attempt: int


@dataclass(slots=True, frozen=True)
class BackReadTruncated(Event):
    """The records that would show the outcome of the append have expired."""

    attempt: int


@dataclass(slots=True, frozen=True)
class CommitTimerStarted(Effect):
    """Send `CommitDue` after a delay."""

    delay_s: float


@dataclass(slots=True, frozen=True)
class TailRequested(Effect):
    """Query the stream's extent."""

    attempt: int


@dataclass(slots=True, frozen=True)
class AppendSent(Effect):
    """Append one log record."""

    attempt: int
    data: bytes


@dataclass(slots=True, frozen=True)
class BackReadSent(Effect):
    """Read the stream from an offset, without waiting."""

    attempt: int
    from_offset: int


@dataclass(slots=True, frozen=True)
class AppendSettled(Effect):
    """The record is in the stream."""

    token: int
    offset: int


@dataclass(slots=True, frozen=True)
class AppendDropped(Effect):
    """The append of the record was abandoned."""

    token: int
    #: True when the record is not in the stream and never will be.
    is_absent: bool
    detail: str
