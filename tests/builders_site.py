"""Processes that maintain a replica of one stream, on virtual time."""

import random

from dotterelspread.log import TruncatedError
from dotterelspread.record import Envelope, encode_record
from dotterelspread.reducer import reduce
from dotterelspread.snapshot import (
    AppendRecord,
    Replica,
    ReplicaRead,
    ReplicaStarted,
    ReplicaTicked,
    ReplicaTruncated,
    StateOffered,
    decode_state,
    encode_state,
)
from dotterelspread.stream import ReadReplied, StreamReader
from tests.builders_log import VirtualLog

RETENTION_S = 60.0
READ_COUNT = 5


class Follower:
    """One process with a replica; `effects` holds those its state returned."""

    def __init__(self, site, number, incarnation):
        self.site = site
        self.number = number
        self.incarnation = incarnation
        self.sequence = 0
        self.is_cut = False
        rng = random.Random(incarnation)
        self.replica = Replica("s", site.make_state, RETENTION_S, rng)
        self.effects = []
        self.apply(ReplicaStarted(site.now_s))

    def apply(self, event):
        is_stale = self.replica.is_stale
        for effect in reduce(event, self.replica):
            if isinstance(effect, AppendRecord):
                self.site.has_recovered |= is_stale
                self.append(effect.record)
            else:
                self.effects.append(effect)

    def append(self, record):
        """Append now, or after the outage or partition ends; return the offset."""
        self.sequence += 1
        data = encode_record((Envelope(self.incarnation, self.sequence, record),))
        return self.site.append(data)

    def append_snapshot(self):
        snapshot = self.replica.to_snapshot()
        if snapshot is not None:
            self.append(snapshot)

    def read(self):
        if self.is_cut or self.site.is_out:
            return
        replica = self.replica
        position = replica.next_offset
        reader = StreamReader("s", position, random.Random(1), replica.sequences)
        now_s = self.site.now_s
        try:
            reply = self.site.log.read(position, READ_COUNT)
        except TruncatedError as error:
            self.apply(ReplicaTruncated(now_s, error.oldest))
            return
        delivered, _ = reduce(ReadReplied(now_s, now_s, reply), reader)
        self.apply(ReplicaRead(now_s, delivered.batch))

    def tick(self):
        if not self.is_cut and not self.site.is_out:
            self.apply(ReplicaTicked(self.site.now_s))

    def ask_state(self, other):
        snapshot = other.replica.to_snapshot()
        if snapshot is not None and not self.is_cut and not other.is_cut:
            snapshot = decode_state(encode_state(snapshot))
            self.apply(StateOffered(self.site.now_s, snapshot))


class Site:
    """A log with retention and outages, and the processes that follow it."""

    def __init__(self, make_state, count):
        self.make_state = make_state
        self.log = VirtualLog()
        self.written_s = []
        self.now_s = 1000.0
        self.is_out = False
        self.starts = 0
        #: True once a replica continued without records that no process had read.
        self.has_recovered = False
        self.followers = [self.start(number) for number in range(count)]

    def start(self, number):
        self.starts += 1
        return Follower(self, number, self.starts)

    def restart(self, number):
        self.followers[number] = self.start(number)

    def append(self, data):
        if self.is_out:
            return None
        offset = self.log.append(data).first
        self.written_s.append(self.now_s)
        self.log.show()
        return offset

    def advance(self, seconds):
        for _ in range(seconds):
            self.now_s += 1.0
            while self.log.first < len(self.written_s):
                if self.written_s[self.log.first] > self.now_s - RETENTION_S:
                    break
                self.log.first += 1
            for follower in self.followers:
                follower.read()
            for follower in self.followers:
                follower.tick()

    def oracle(self, until):
        """Return the state after all records ever written before."""
        state = self.make_state()
        reader = StreamReader("s", 0, random.Random(1))
        for entry in reader.take(self.log.written[:until]):
            state.apply(entry.offset, entry.envelope.record, 0.0)
        return state, reader.sequences

    def check_complete(self):
        """Every complete replica equals the oracle at its offset."""
        if self.has_recovered:
            return
        for follower in self.followers:
            replica = follower.replica
            if replica.is_complete:
                state, sequences = self.oracle(replica.next_offset)
                expected = state.to_snapshot(replica.next_offset, sequences.to_items())
                assert replica.to_snapshot() == expected
