"""State of failure detection: the known members and their status.

`Liveness` decides which members are due a heartbeat; the handlers of events are in
`heartbeat`.
"""

import math
from dataclasses import dataclass, replace

from .gen.peer import ttypes
from .heartbeatevents import MemberChanged, PeerStatus, SendHeartbeat
from .membership import member_to_message

__all__ = ["HEARTBEAT_TIMEOUT_S", "Liveness", "Peer", "heartbeat_interval_s"]

#: Seconds after which a heartbeat that was not answered counts as missed.
HEARTBEAT_TIMEOUT_S = 1.0
#: Bytes of a heartbeat and its reply, with the headers of TCP and IP.
EXCHANGE_BYTES = 230
#: Maximum bytes per second that a process spends on heartbeats.
MAX_HEARTBEAT_BYTES_PER_S = 1000
MIN_INTERVAL_S = 1.0
#: Minimum seconds between heartbeats from one agent to another.
WATCH_INTERVAL_S = 2.5
#: Fraction by which intervals vary at random.
JITTER_RATIO = 0.1
#: Seconds between heartbeats to a suspect, or to a member with pushes outstanding.
PROBE_INTERVAL_S = 0.5
#: Seconds between heartbeats to a member that is gone.
GONE_INTERVAL_S = 5.0
GONE_AFTER_MISSES = 3
#: Seconds after which a process sends its full description again.
INTRODUCTION_MAX_AGE_S = 60.0
#: Seconds for which news is relayed, and the maximum items in one heartbeat.
NEWS_RETENTION_S = 30.0
NEWS_COUNT = 8
#: Maximum heartbeats sent to one peer to deliver urgent news.
PUSH_COUNT = 10
#: Random members that a new version is pushed to, in each of some rounds.
VERSION_FANOUT = 4
VERSION_ROUNDS = 4
#: Seconds for which a silent member is kept that has left or is not in the stream.
MEMBER_RETENTION_S = 600.0
#: Seconds without a message from any entry after which the balancer is contacted.
ENTRY_SILENCE_S = 5.0


def heartbeat_interval_s(count):
    """Return the seconds between heartbeats to each of ``count`` members."""
    return max(MIN_INTERVAL_S, count * EXCHANGE_BYTES / MAX_HEARTBEAT_BYTES_PER_S)


@dataclass(slots=True)
class Peer:
    """Heartbeat state of one member."""

    status: PeerStatus = PeerStatus.LIVE
    misses: int = 0
    #: When the next heartbeat is due.
    due_s: float = -math.inf
    #: When the heartbeat in flight was sent; None when there is none.
    sent_s: float | None = None
    #: Whether the one in flight carries this process's full description.
    is_introducing: bool = False
    heard_s: float = -math.inf
    #: When it last received this process's full description.
    introduced_s: float = -math.inf
    #: Remaining pushed heartbeats, and when the push was requested.
    pushes: int = 0
    push_s: float = -math.inf


@dataclass(slots=True, frozen=True)
class NewsItem:
    """Information on a member that peers may not have yet."""

    member_message: ttypes.Member
    until_s: float


class Liveness:
    """What one process knows of the others independently of the stream.

    Parameters
    ----------
    own : Member
    balancer_address : str
        Address at which any entry may answer; empty for none.
    rng : random.Random
    """

    __slots__ = (
        "balancer_address",
        "balancer_due_s",
        "entry_heard_s",
        "logged_ids",
        "members_by_id",
        "news",
        "own",
        "peers_by_id",
        "rng",
        "subset_ids",
        "version",
        "version_due_s",
        "version_rounds",
    )

    def __init__(self, own, balancer_address, rng):
        self.own = own
        self.balancer_address = balancer_address
        self.rng = rng
        self.version = -1
        self.members_by_id = {}
        self.peers_by_id = {}
        #: Ids of the members that the stream holds.
        self.logged_ids = set()
        self.subset_ids = frozenset()
        self.news = []
        self.version_rounds = 0
        self.version_due_s = -math.inf
        self.entry_heard_s = -math.inf
        self.balancer_due_s = -math.inf

    @property
    def is_entry(self):
        """Whether this process is an entry."""
        return self.own.role == "entry"

    def entry_ids(self):
        """Return the ids of the entries known, without this process."""
        return [
            member.instance_id
            for member in self.members_by_id.values()
            if member.role == "entry" and not member.has_left
        ]

    def target_ids(self):
        """Return the ids of the members that this process sends regular heartbeats."""
        known = self.subset_ids.intersection(self.members_by_id)
        return known.union(self.entry_ids()) if self.is_entry else known

    def learn(self, member, now_s, from_log=False):
        """Merge new information on a member and return effects."""
        if member.instance_id == self.own.instance_id:
            return []
        known = self.members_by_id.get(member.instance_id)
        merged = member if known is None else known.merge(member)
        if merged == known:
            return []
        self.members_by_id[member.instance_id] = merged
        if known is None or merged.incarnation > known.incarnation:
            self.peers_by_id[member.instance_id] = Peer(heard_s=now_s)
        peer = self.peers_by_id[member.instance_id]
        if merged.has_left:
            peer.status = PeerStatus.GONE
            peer.heard_s = now_s
        if not from_log:
            self.spread(merged, now_s)
        return [MemberChanged(merged, peer.status)]

    def spread(self, member, now_s):
        """Relay news of ``member``; an entry also pushes it to other entries."""
        until_s = now_s + NEWS_RETENTION_S
        self.news = [item for item in self.news if item.until_s > now_s]
        self.news.insert(0, NewsItem(member_to_message(member), until_s))
        del self.news[NEWS_COUNT:]
        if self.is_entry:
            self.push(self.entry_ids(), now_s)

    def push(self, instance_ids, now_s, count=PUSH_COUNT):
        """Make heartbeats to some members due until they are answered."""
        for instance_id in instance_ids:
            peer = self.peers_by_id[instance_id]
            peer.pushes = count
            peer.push_s = now_s
            peer.due_s = min(peer.due_s, now_s)

    def set_status(self, instance_id, status):
        """Set the status of a member and return effects."""
        peer = self.peers_by_id[instance_id]
        if peer.status is status:
            return []
        peer.status = status
        return [MemberChanged(self.members_by_id[instance_id], status)]

    def heard(self, instance_id, now_s):
        """Note that a member answered and return effects."""
        peer = self.peers_by_id[instance_id]
        member = self.members_by_id[instance_id]
        peer.misses = 0
        peer.heard_s = now_s
        if member.role == "entry":
            self.entry_heard_s = now_s
        if member.has_left:
            return []
        return self.set_status(instance_id, PeerStatus.LIVE)

    def answered(self, instance_id):
        """Note that the heartbeat in flight has reached a member."""
        peer = self.peers_by_id[instance_id]
        if peer.sent_s is None:
            return
        if peer.sent_s >= peer.push_s:
            peer.pushes = 0
        if peer.is_introducing:
            peer.introduced_s = peer.sent_s
        peer.sent_s = None

    def missed(self, instance_id, now_s):
        """Note that a member did not answer and return effects."""
        peer = self.peers_by_id[instance_id]
        peer.sent_s = None
        peer.misses += 1
        is_gone = peer.misses >= GONE_AFTER_MISSES
        status = PeerStatus.GONE if is_gone else PeerStatus.SUSPECT
        peer.due_s = min(peer.due_s, now_s + PROBE_INTERVAL_S)
        return self.set_status(instance_id, status)

    def beat(self, instance_id, now_s):
        """Return the effect that sends a member its heartbeat."""
        peer = self.peers_by_id[instance_id]
        is_introduction = now_s - peer.introduced_s > INTRODUCTION_MAX_AGE_S
        peer.sent_s = now_s
        peer.is_introducing = is_introduction
        peer.due_s = now_s + self._interval_s(peer)
        if peer.pushes:
            peer.pushes -= 1
        address = self.members_by_id[instance_id].announced.peer_address
        return SendHeartbeat(instance_id, address, self.message(is_introduction, now_s))

    def message(self, is_introduction, now_s):
        """Return the heartbeat to send."""
        sender = member_to_message(self.own)
        if not is_introduction:
            sender = ttypes.Member(
                instance_id=self.own.instance_id,
                incarnation=self.own.incarnation,
                draining=self.own.is_draining or None,
            )
        news = self.fresh_news(now_s) or None
        return ttypes.Heartbeat(sender, self.version, news)

    def fresh_news(self, now_s):
        """Return the messages of the members that peers may not know yet."""
        return [item.member_message for item in self.news if item.until_s > now_s]

    def forget(self, now_s):
        """Remove long-silent members that have left or are not in the stream."""
        for instance_id, member in list(self.members_by_id.items()):
            is_kept = instance_id in self.logged_ids and not member.has_left
            peer = self.peers_by_id[instance_id]
            if not is_kept and now_s - peer.heard_s > MEMBER_RETENTION_S:
                del self.members_by_id[instance_id]
                del self.peers_by_id[instance_id]

    def restart(self, instance_id, incarnation, now_s):
        """Note that a member answers under a new incarnation; return effects."""
        member = self.members_by_id[instance_id]
        announced = _with_incarnation(member.announced, incarnation)
        restarted = replace(member, announced=announced, is_draining=False)
        return self.learn(replace(restarted, has_left=False), now_s)

    def _interval_s(self, peer):
        if peer.pushes or peer.status is PeerStatus.SUSPECT:
            return PROBE_INTERVAL_S
        interval_s = heartbeat_interval_s(len(self.target_ids()))
        if not self.is_entry:
            interval_s = max(interval_s, WATCH_INTERVAL_S)
        if peer.status is PeerStatus.GONE:
            interval_s = max(interval_s, GONE_INTERVAL_S)
        return interval_s * self.rng.uniform(1 - JITTER_RATIO, 1 + JITTER_RATIO)


def _with_incarnation(announced, incarnation):
    fields = {name: getattr(announced, name) for name in announced.__struct_fields__}
    return type(announced)(**fields | {"incarnation": incarnation})
