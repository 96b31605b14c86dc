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
    """A caller wants a record appended; ``token`` names the request."""

    token: int
    record: Record


@dataclass(slots=True, frozen=True)
class AppendCancelled(Event):
    """The caller no longer waits."""

    token: int


@dataclass(slots=True, frozen=True)
class CommitDue(Event):
    """The time set by `CommitTimerStarted` is over."""


@dataclass(slots=True, frozen=True)
class TailLocated(Event):
    """The stream's extent was answered."""

    attempt: int
    extent: Extent


@dataclass(slots=True, frozen=True)
class AppendReplied(Event):
    """The append was answered."""

    attempt: int
    extent: Extent


@dataclass(slots=True, frozen=True)
class AppendFailed(Event):
    """The append, or the search for the end before it, failed."""

    attempt: int
    failure: AppendFailure


@dataclass(slots=True, frozen=True)
class BackReadReplied(Event):
    """The reading back was answered."""

    attempt: int
    reply: ReadReply


@dataclass(slots=True, frozen=True)
class BackReadFailed(Event):
    """The reading back was not answered."""

    attempt: int


@dataclass(slots=True, frozen=True)
class BackReadTruncated(Event):
    """The records that would settle the append have expired."""

    attempt: int


@dataclass(slots=True, frozen=True)
class CommitTimerStarted(Effect):
    """Send `CommitDue` after a delay."""

    delay_s: float


@dataclass(slots=True, frozen=True)
class TailRequested(Effect):
    """Ask for the stream's extent."""

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
    """The record stands in the stream."""

    token: int
    offset: int


@dataclass(slots=True, frozen=True)
class AppendDropped(Effect):
    """The record is no longer appended."""

    token: int
    #: True when the record is not in the stream and never will be.
    is_absent: bool
    detail: str
