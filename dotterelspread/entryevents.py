"""Events and effects of an entry's request handling."""

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
    "EvacuationsChanged",
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
    """A caller's request has been read completely."""

    request_id: str
    service_name: str
    #: Kind of the request; empty for the service's default.
    kind: str = ""
    #: Deadline of the answer in monotonic seconds; None for the kind's deadline.
    deadline_s: float | None = None
    #: The caller's idempotency key, if any.
    key: str | None = None
    #: Digest of method, path and body.
    fingerprint: bytes = b""
    size_bytes: int = 0
    #: Payload that the daemon sends to an instance.
    request: object = None
    #: Urgency that the caller requests, capped at the kind's; None for the kind's.
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
    """An attempt's connection failed before the answer arrived."""

    request_id: str
    attempt: int
    instance_id: str
    #: False only when it is certain that no byte of the request was sent.
    sent: bool


@dataclass(slots=True, frozen=True)
class QueryAnswered(Event):
    """An instance answered a query for a request's outcome."""

    request_id: str
    #: Request id and attempt that were queried, as in `QueryAnswer`.
    queried_id: str
    attempt: int
    instance_id: str
    outcome: Outcome
    load: Load | None = None


@dataclass(slots=True, frozen=True)
class QueryPending(Event):
    """An instance reported that the queried request has no outcome yet."""

    request_id: str
    queried_id: str
    attempt: int
    instance_id: str
    load: Load | None = None


@dataclass(slots=True, frozen=True)
class QueryLost(Event):
    """A query's connection failed before the reply arrived."""

    request_id: str
    queried_id: str
    attempt: int
    instance_id: str


@dataclass(slots=True, frozen=True)
class ClaimRead(Event):
    """A record of a claim stream has been read; records arrive in offset order."""

    stream: str
    offset: int
    record: Record


@dataclass(slots=True, frozen=True)
class ClaimsTruncated(Event):
    """Records of a stream below an offset expired before they were read."""

    stream: str
    first_offset: int


@dataclass(slots=True, frozen=True)
class AppendFailed(Event):
    """The append of a claim record failed, or its effect is unknown."""

    request_id: str
    #: Whether reading back proved that the record is absent from the stream.
    proved_absent: bool


@dataclass(slots=True, frozen=True)
class MemberSeen(Event):
    """An instance joined the membership, or its announcement changed."""

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
    """A heartbeat reply reported an instance's load."""

    instance_id: str
    load: Load


@dataclass(slots=True, frozen=True)
class EntriesCounted(Event):
    """The number of entries, this one included, that share the link of its region."""

    count: int


@dataclass(slots=True, frozen=True)
class EntryConfigured(Event):
    """A new configuration takes effect."""

    configuration: Configuration


@dataclass(slots=True, frozen=True)
class EvacuationsChanged(Event):
    """The evacuated data centres have changed."""

    #: Names of all evacuated data centres.
    names: frozenset[str]


@dataclass(slots=True, frozen=True)
class EntryTick(Tick):
    """Periodic timer event of an entry."""


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
    """Query an instance for a request's outcome without running the request."""

    request_id: str
    #: Id of the queried request; for a caller's repeat, that of the earlier request.
    queried_id: str
    attempt: int
    instance_id: str
    incarnation: int
    #: Whether the instance is to refuse the request from now on if it has not seen it.
    fence: bool


@dataclass(slots=True, frozen=True)
class OpenNewConnection(Effect):
    """Replace the connections to an instance, since they may no longer deliver data."""

    instance_id: str


@dataclass(slots=True, frozen=True)
class AppendClaimRecord(Effect):
    """Append a claim or settlement to a stream of the platform's log.

    On failure the daemon reports `AppendFailed` with ``request_id``. It never retries
    the append on its own unless reading back proved that the record is absent.
    """

    stream: str
    record: Record
    request_id: str


@dataclass(slots=True, frozen=True)
class Respond(Effect):
    """Answer the caller; this ends the entry's handling of the request."""

    request_id: str
    outcome: Outcome
