"""Events and effects of heartbeats; see `heartbeat`."""

import enum
from dataclasses import dataclass

from .gen.peer import ttypes
from .membership import Member
from .reducer import Effect, Event

__all__ = [
    "AnswerHeartbeat",
    "DrainStarted",
    "HeartbeatMissed",
    "HeartbeatReceived",
    "HeartbeatSeen",
    "HeartbeatTick",
    "MemberChanged",
    "MemberForgotten",
    "MemberLearned",
    "NewerVersionSeen",
    "PeerHeard",
    "PeerStatus",
    "SendHeartbeat",
    "SubsetChanged",
    "VersionChanged",
]


class PeerStatus(enum.Enum):
    """Status of a member according to heartbeats."""

    #: Answers heartbeats, or has not been sent one.
    LIVE = "live"
    #: Missed a heartbeat; other members are preferred.
    SUSPECT = "suspect"
    #: Missed several heartbeats, or has left; nothing should be sent to it.
    GONE = "gone"


@dataclass(slots=True, frozen=True)
class HeartbeatTick(Event):
    """Time has passed; sent several times a second."""


@dataclass(slots=True, frozen=True)
class SubsetChanged(Event):
    """The set of members that this process routes to, and thus monitors, changed."""

    instance_ids: frozenset[str]


@dataclass(slots=True, frozen=True)
class MemberLearned(Event):
    """The stream has new information on a member (`MemberRead`)."""

    member: Member


@dataclass(slots=True, frozen=True)
class MemberForgotten(Event):
    """The stream no longer holds a member (`MemberAged`)."""

    member: Member


@dataclass(slots=True, frozen=True)
class HeartbeatReceived(Event):
    """A peer sent a heartbeat."""

    message: ttypes.Heartbeat


@dataclass(slots=True, frozen=True)
class HeartbeatSeen(Event):
    """A heartbeat was answered; ``instance_id`` is empty for the balancer's."""

    instance_id: str
    reply: ttypes.HeartbeatReply


@dataclass(slots=True, frozen=True)
class HeartbeatMissed(Event):
    """A heartbeat was not answered in time."""

    instance_id: str


@dataclass(slots=True, frozen=True)
class PeerHeard(Event):
    """A peer answered a call other than a heartbeat."""

    instance_id: str
    incarnation: int


@dataclass(slots=True, frozen=True)
class DrainStarted(Event):
    """The process is leaving."""


@dataclass(slots=True, frozen=True)
class VersionChanged(Event):
    """A later configuration is in force in this process."""

    version: int


@dataclass(slots=True, frozen=True)
class SendHeartbeat(Effect):
    """Send a heartbeat; ``instance_id`` is empty when it goes to the balancer."""

    instance_id: str
    peer_address: str
    message: ttypes.Heartbeat


@dataclass(slots=True, frozen=True)
class AnswerHeartbeat(Effect):
    """Answer the heartbeat received, after adding the load."""

    reply: ttypes.HeartbeatReply


@dataclass(slots=True, frozen=True)
class MemberChanged(Effect):
    """A member is new, or what is known of it has changed."""

    member: Member
    status: PeerStatus


@dataclass(slots=True, frozen=True)
class NewerVersionSeen(Effect):
    """A peer has a later configuration; fetch it."""

    instance_id: str
    peer_address: str
