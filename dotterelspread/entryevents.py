"""Events that an entry's request handling takes, and the effects that it returns."""

from dataclasses import dataclass, field

from .configuration import Configuration, Urgency
from .outcome import Outcome
from .record import Record
from .reducer import Effect, Event, Tick
from .routing import Load

__all__ = [
    "AnswerReceived",
    "AppendClaimRecord",
    "AppendFailed",
    "AttemptLost",
    "ClaimRead",
    "ClaimsTruncated",
    "EntriesCounted",
    "EntryConfigured",
    "EntryTick",
    "LoadReported",
    "MemberGone",
    "MemberSeen",
    "OpenNewConnection",
    "QueryAnswer",
    "QueryAnswered",
    "QueryLost",
    "QueryPending",
    "RequestArrived",
    "Respond",
    "SendRun",
]


@dataclass(slots=True, frozen=True)
class RequestArrived(Event):
    """A caller's request has been read in full."""

    request_id: str
    service_name: str
    #: Kind of the request; empty for the service's default.
    kind: str = ""
    #: Monotonic seconds when the answer is due; None for the kind's deadline.
    deadline_s: float | None = None
    #: The caller's idempotency key; None when it gave none.
    key: str | None = None
    #: Digest of method, path and body.
    fingerprint: bytes = b""
    size_bytes: int = 0
    #: What the daemon sends to an instance.
    request: object = None
    #: Urgency that the caller asks for, at most the kind's; None for the kind's.
    urgency: Urgency | None = None
    labels: dict[str, str] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class AnswerReceived(Event):
    """An instance answered an attempt."""

    request_id: str
    attempt: int
    instance_id: str
    outcome: Outcome
    load: Load | None = None


@dataclass(slots=True, frozen=True)
class AttemptLost(Event):
    """An attempt's connection failed before the answer came."""

    request_id: str
    attempt: int
    instance_id: str
    #: False only when it is certain that no byte of the request left.
    sent: bool


@dataclass(slots=True, frozen=True)
class QueryAnswered(Event):
    """An instance answered a question for a request's outcome."""

    request_id: str
    #: Id and attempt that the question was about, as in the effect.
    queried_id: str
    attempt: int
    instance_id: str
    outcome: Outcome
    load: Load | None = None


@dataclass(slots=True, frozen=True)
class QueryPending(Event):
    """An instance says that the request it was asked about has not ended."""

    request_id: str
    queried_id: str
    attempt: int
    instance_id: str
    load: Load | None = None


@dataclass(slots=True, frozen=True)
class QueryLost(Event):
    """A question's connection failed before the reply came."""

    request_id: str
    queried_id: str
    attempt: int
    instance_id: str


@dataclass(slots=True, frozen=True)
class ClaimRead(Event):
    """A record of a stream of claims has been read, in the order of offsets."""

    stream: str
    offset: int
    record: Record


@dataclass(slots=True, frozen=True)
class ClaimsTruncated(Event):
    """Records of a stream before an offset expired before they were read."""

    stream: str
    first_offset: int


@dataclass(slots=True, frozen=True)
class AppendFailed(Event):
    """A claim's append failed, or it isn't known whether it took effect."""

    request_id: str
    #: Whether reading back has proved that the record is not in the stream.
    proved_absent: bool


@dataclass(slots=True, frozen=True)
class MemberSeen(Event):
    """An instance is a member, or what is known of it has changed."""

    instance_id: str
    incarnation: int
    address: str
    data_centre: str
    region: str
    services: tuple
    slots: int
    draining: bool = False


@dataclass(slots=True, frozen=True)
class MemberGone(Event):
    """An instance is no longer a member."""

    instance_id: str
    incarnation: int


@dataclass(slots=True, frozen=True)
class LoadReported(Event):
    """A heartbeat's reply told an instance's load."""

    instance_id: str
    load: Load


@dataclass(slots=True, frozen=True)
class EntriesCounted(Event):
    """So many entries of the own region, this one included, share its link."""

    count: int


@dataclass(slots=True, frozen=True)
class EntryConfigured(Event):
    """A configuration is in force from now on."""

    configuration: Configuration


@dataclass(slots=True, frozen=True)
class EntryTick(Tick):
    """Time has passed for the entry."""


@dataclass(slots=True, frozen=True)
class SendRun(Effect):
    """Send a request to an instance, once."""

    request_id: str
    attempt: int
    instance_id: str
    incarnation: int
    service_name: str
    kind: str
    urgency: int
    idempotent: bool
    remaining_s: float
    request: object


@dataclass(slots=True, frozen=True)
class QueryAnswer(Effect):
    """Ask an instance how a request ended, without having it run."""

    request_id: str
    #: Id of the request that is asked about; another one's for a caller's repeat.
    queried_id: str
    attempt: int
    instance_id: str
    incarnation: int
    #: Whether the instance shall refuse the request if it has not seen it.
    fence: bool


@dataclass(slots=True, frozen=True)
class OpenNewConnection(Effect):
    """Replace the connections to an instance, as they may have gone silent."""

    instance_id: str


@dataclass(slots=True, frozen=True)
class AppendClaimRecord(Effect):
    """Append a record to a stream of the platform's log.

    For a claim the daemon reports `AppendFailed` with ``request_id``; it never appends
    the same record again by itself unless it has read back that it is absent.
    """

    stream: str
    record: Record
    request_id: str


@dataclass(slots=True, frozen=True)
class Respond(Effect):
    """Answer the caller; the entry is done with the request."""

    request_id: str
    outcome: Outcome
