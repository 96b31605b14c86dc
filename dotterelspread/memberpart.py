"""Announces the process to its peers and tracks the other members."""

import asyncio
import random
from functools import singledispatchmethod

from .entryevents import EntriesCounted, LoadReported, MemberGone, MemberSeen
from .gen.peer.ttypes import Load
from .heartbeat import Liveness
from .heartbeatevents import (
    AnswerHeartbeat,
    DrainStarted,
    HeartbeatMissed,
    HeartbeatReceived,
    HeartbeatSeen,
    HeartbeatTick,
    MemberChanged,
    MemberForgotten,
    MemberLearned,
    NewerVersionSeen,
    PeerStatus,
    SendHeartbeat,
    SubsetChanged,
    VersionChanged,
)
from .liveness import HEARTBEAT_TIMEOUT_S
from .logclient import AppendError
from .membership import (
    STREAM,
    Member,
    MemberAged,
    MemberRead,
    MembershipAged,
    MembershipState,
)
from .node import Part
from .peer import PeerError
from .record import InstanceLeft
from .replicapart import ReplicaPart, append_until_written
from .snapshot import AppendRecord
from .subset import monitored_ids
from .wire import load_from_message

__all__ = ["MemberPart"]

#: Seconds between two checks for due heartbeats.
TICK_INTERVAL_S = 0.2
#: Maximum random delay in seconds before a process announces itself again, so that not
#: all do it at once.
MAX_REANNOUNCE_DELAY_S = 30.0
#: Timeout in seconds for appending the last record of a process.
LEAVE_TIMEOUT_S = 1.0


class MemberPart(Part):
    """Tracks the members by the stream and by heartbeats.

    Parameters
    ----------
    node : Node
    announced : InstanceAnnounced
        Of this process.
    read_load : callable
        Returns the `Load` that heartbeats are answered with.
    """

    def __init__(self, node, announced, read_load):
        super().__init__(node)
        self.announced = announced
        self._read_load = read_load
        self._rng = random.Random(node.incarnation)
        self._reply = None
        self._event_listeners = []
        self._version_listeners = []
        self._drain = None
        balancer = node.settings.balancer_address
        self.state = Liveness(
            Member(announced), str(balancer) if balancer else "", self._rng
        )
        self.replica = ReplicaPart(
            node, STREAM, MembershipState, self._take_stream_effect
        )
        self.replica.find_addresses = self.peer_addresses

    def on_event(self, listener):
        """Call ``listener`` with each event of `entryevents` on an instance."""
        self._event_listeners.append(listener)

    def on_newer_version(self, listener):
        """Call ``listener`` with the address of a peer that has a later version."""
        self._version_listeners.append(listener)

    def on_drain(self, drain):
        """Await ``drain()`` when an operator drains this process."""
        self._drain = drain

    def handlers_by_method(self):
        """Return the handlers of calls on members."""
        return {"heartbeat": self._heartbeat, "drain": self._drain_requested}

    async def run(self):
        """Announce this process and exchange heartbeats until cancelled."""
        self.node.spawn(append_until_written(self.node, STREAM, self.announced))
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            self.dispatch(HeartbeatTick(self.node.now_s()))

    def start_drain(self):
        """Announce that this process takes no new work."""
        self.dispatch(DrainStarted(self.node.now_s()))

    async def leave(self):
        """Record in the log that this process has left; best effort with a timeout."""
        record = InstanceLeft(self.announced.instance_id, self.announced.incarnation)
        try:
            await self.node.log_client.append(STREAM, record, LEAVE_TIMEOUT_S)
        except AppendError:
            self.node.telemetry.count("leaves_unwritten")

    def note_version(self, number):
        """Tell peers that a later configuration is in force here."""
        self.dispatch(VersionChanged(self.node.now_s(), number))

    def members(self):
        """Return the members that have not left."""
        known = self.state.members_by_id.values()
        return [member for member in known if not member.has_left]

    def status(self, instance_id):
        """Return the `PeerStatus` of a member."""
        return self.state.peers_by_id[instance_id].status

    def address(self, instance_id):
        """Return the address of a process, also of one that has left; or None."""
        member = self.state.members_by_id.get(instance_id)
        return None if member is None else member.announced.peer_address

    def peer_addresses(self):
        """Return the addresses of the live members, in random order."""
        addresses = [
            member.announced.peer_address
            for member in self.members()
            if self.status(member.instance_id) is PeerStatus.LIVE
        ]
        self._rng.shuffle(addresses)
        if not addresses and self.state.balancer_address:
            return [self.state.balancer_address]
        return addresses

    def agents_of_cell(self, cell):
        """Return the agents' announcements in a cell, live ones first, else random."""
        agents = [
            self._full_announcement(member)
            for member in self.members()
            if member.announced.cell == cell
        ]
        self._rng.shuffle(agents)
        return sorted(
            agents, key=lambda a: self.status(a.instance_id) is not PeerStatus.LIVE
        )

    def _full_announcement(self, member):
        """Return the announcement from the log if present; peers omit some fields."""
        logged = self.replica.state.state.members_by_id.get(member.instance_id)
        if logged is None or logged.incarnation != member.incarnation:
            return member.announced
        return logged.announced

    def count_agents(self, data_centre):
        """Return the number of agents in a data centre that have not left."""
        return len([a for a in self.agents() if a.data_centre == data_centre])

    def agents(self):
        """Return the announcements of the agents that have not left."""
        return [m.announced for m in self.members() if m.role == "agent"]

    def cells(self):
        """Return the names of the cells that have agents."""
        names = {member.announced.cell for member in self.members()}
        return sorted(names - {""})

    @singledispatchmethod
    def perform(self, effect):
        """Perform ``effect``."""
        raise TypeError(f"unsupported effect: {type(effect).__name__}")

    @perform.register
    def _(self, effect: SendHeartbeat):
        self.node.spawn(self._send_heartbeat(effect))

    @perform.register
    def _(self, effect: AnswerHeartbeat):
        self._reply = effect.reply

    @perform.register
    def _(self, effect: AppendRecord):
        self.node.spawn(append_until_written(self.node, effect.stream, effect.record))

    @perform.register
    def _(self, effect: NewerVersionSeen):
        for listener in self._version_listeners:
            listener(effect.peer_address)

    @perform.register
    def _(self, effect: MemberChanged):
        if effect.member.role != "agent":
            self._notify_listeners(
                EntriesCounted(self.node.now_s(), self._count_entries())
            )
            return
        self._update_subset()
        self._notify_listeners(_event_on(effect, self.node.now_s()))

    def _take_stream_effect(self, effect):
        now_s = self.node.now_s()
        if isinstance(effect, MemberRead):
            self.dispatch(MemberLearned(now_s, effect.member))
        elif isinstance(effect, MemberAged):
            self.dispatch(MemberForgotten(now_s, effect.member))
        elif isinstance(effect, MembershipAged):
            self.node.spawn(self._announce_again())

    async def _announce_again(self):
        await asyncio.sleep(self._rng.uniform(0, MAX_REANNOUNCE_DELAY_S))
        await append_until_written(self.node, STREAM, self.announced)

    def _count_entries(self):
        """Return the number of live entries in this region, including this process."""
        others = [
            member
            for member in self.members()
            if member.role == "entry"
            and member.announced.region == self.announced.region
            and self.status(member.instance_id) is PeerStatus.LIVE
        ]
        return 1 + len(others)

    def _update_subset(self):
        """Update the subset of agents that this process monitors."""
        wanted = monitored_ids(self.announced, self.agents(), self.status)
        if wanted != self.state.subset_ids:
            self.dispatch(SubsetChanged(self.node.now_s(), wanted))

    def _notify_listeners(self, event):
        for listener in self._event_listeners:
            listener(event)

    async def _send_heartbeat(self, effect):
        try:
            reply = await self.node.pool.call(
                effect.peer_address, "heartbeat", effect.message, HEARTBEAT_TIMEOUT_S
            )
        except PeerError:
            self.node.telemetry.count("heartbeats_missed")
            self.node.pool.replace_connection(effect.peer_address)
            self.dispatch(HeartbeatMissed(self.node.now_s(), effect.instance_id))
            return
        now_s = self.node.now_s()
        self.dispatch(HeartbeatSeen(now_s, effect.instance_id, reply))
        if effect.instance_id and reply.load is not None:
            load = load_from_message(reply.load)
            self._notify_listeners(LoadReported(now_s, effect.instance_id, load))

    async def _heartbeat(self, message):
        self._reply = None
        self.dispatch(HeartbeatReceived(self.node.now_s(), message))
        if self._reply is None:
            raise ValueError("heartbeat without a sender")
        self._reply.load = self._read_load()
        return self._reply

    async def _drain_requested(self, request):
        if request.instance_id != self.announced.instance_id:
            raise ValueError(f"misdirected drain; this is {self.announced.instance_id}")
        self.node.spawn(self._drain())
        return Load(draining=True)


def _event_on(change, now_s):
    """Return the event that notifies an entry of a changed agent."""
    announced = change.member.announced
    if change.status is PeerStatus.GONE or change.member.has_left:
        return MemberGone(now_s, announced.instance_id, announced.incarnation)
    return MemberSeen(
        now_s,
        announced.instance_id,
        announced.incarnation,
        announced.peer_address,
        announced.data_centre,
        announced.region,
        announced.services,
        announced.slots,
        change.member.is_draining,
    )
