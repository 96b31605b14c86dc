"""Members, and a network of processes with heartbeats on virtual time."""

import heapq
import itertools
import random

from dotterelspread import heartbeat  # noqa: F401 (registers its handlers)
from dotterelspread.gen.peer import ttypes
from dotterelspread.heartbeatevents import (
    AnswerHeartbeat,
    HeartbeatMissed,
    HeartbeatReceived,
    HeartbeatSeen,
    HeartbeatTick,
    MemberChanged,
    MemberLearned,
    NewerVersionSeen,
    SendHeartbeat,
    SubsetChanged,
    VersionChanged,
)
from dotterelspread.liveness import HEARTBEAT_TIMEOUT_S, Liveness
from dotterelspread.membership import Member
from dotterelspread.record import InstanceAnnounced
from dotterelspread.reducer import reduce
from dotterelspread.snapshot import AppendRecord

BALANCER = "balancer"
DELAY_S = 0.02
TICK_S = 0.1


def announced(instance_id, incarnation=1, role="agent", address=None):
    return InstanceAnnounced(
        instance_id, incarnation, role, address or f"{instance_id}:1", "dc", "region"
    )


class Process:
    """One process of the network."""

    def __init__(self, network, member):
        self.network = network
        seed = network.starts = network.starts + 1
        self.liveness = Liveness(member, BALANCER, random.Random(seed))
        self.is_frozen = False
        self.changes = []

    @property
    def instance_id(self):
        return self.liveness.own.instance_id

    def known(self, instance_id):
        return self.liveness.members_by_id.get(instance_id)

    def status(self, instance_id):
        return self.liveness.peers_by_id[instance_id].status

    def apply(self, event):
        answer = None
        for effect in reduce(event, self.liveness):
            match effect:
                case SendHeartbeat():
                    self.network.send(self, effect)
                case AnswerHeartbeat(reply=reply):
                    own = self.liveness.own
                    reply.load = ttypes.Load(
                        draining=own.is_draining, incarnation=own.incarnation
                    )
                    answer = reply
                case MemberChanged():
                    self.changes.append(effect)
                case NewerVersionSeen(peer_address=address):
                    self.network.fetch_version(self, address)
                case AppendRecord():
                    pass
        return answer


class Network:
    """Processes, the delays and partitions between them, and an optional log."""

    def __init__(self):
        self.now_s = 0.0
        self.starts = 0
        self.by_id = {}
        self.cuts = set()
        self.is_log_up = True
        self.is_balancer_up = True
        self.heartbeats = 0
        self._events = []
        self._order = itertools.count()
        self._rng = random.Random(5)

    def at(self, delay_s, action, *args):
        item = (self.now_s + delay_s, next(self._order), action, args)
        heapq.heappush(self._events, item)

    def start(self, instance_id, role="agent", incarnation=1, address=None):
        member = Member(announced(instance_id, incarnation, role, address))
        process = Process(self, member)
        self.by_id[instance_id] = process
        self.at(self._rng.random() * TICK_S, self.tick, process)
        if self.is_log_up:
            self.log(member)
            for other in list(self.by_id.values()):
                process.apply(MemberLearned(self.now_s, other.liveness.own))
        return process

    def log(self, member):
        for other in list(self.by_id.values()):
            other.apply(MemberLearned(self.now_s, member))

    def watch(self, entry_id, instance_ids):
        event = SubsetChanged(self.now_s, frozenset(instance_ids))
        self.by_id[entry_id].apply(event)

    def tick(self, process):
        if self.by_id.get(process.instance_id) is not process:
            return
        if not process.is_frozen:
            process.apply(HeartbeatTick(self.now_s))
        self.at(TICK_S, self.tick, process)

    def run(self, seconds):
        until_s = self.now_s + seconds
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, action, args = heapq.heappop(self._events)
            action(*args)
        self.now_s = until_s

    def find(self, address):
        if address == BALANCER:
            entries = [p for p in self.by_id.values() if p.liveness.is_entry]
            return self._rng.choice(entries) if self.is_balancer_up else None
        for process in self.by_id.values():
            if process.liveness.own.announced.peer_address == address:
                return process
        return None

    def can_pass(self, sender, receiver):
        if receiver is None or receiver.is_frozen:
            return False
        return (sender.instance_id, receiver.instance_id) not in self.cuts

    def send(self, sender, effect):
        self.heartbeats += 1
        self.at(DELAY_S, self.receive, sender, effect)

    def receive(self, sender, effect):
        receiver = self.find(effect.peer_address)
        if self.can_pass(sender, receiver):
            event = HeartbeatReceived(self.now_s, effect.message)
            reply = receiver.apply(event)
            if reply is not None and self.can_pass(receiver, sender):
                event = (HeartbeatSeen, effect.instance_id, reply)
                self.at(DELAY_S, self.finish, sender, *event)
                return
        event = (HeartbeatMissed, effect.instance_id)
        self.at(HEARTBEAT_TIMEOUT_S, self.finish, sender, *event)

    def finish(self, process, event_type, *fields):
        if not process.is_frozen:
            process.apply(event_type(self.now_s, *fields))

    def fetch_version(self, process, address):
        peer = self.find(address)
        if self.can_pass(process, peer) and self.can_pass(peer, process):
            version = peer.liveness.version
            self.at(2 * DELAY_S, self.finish, process, VersionChanged, version)
