"""Simulated log store on virtual time with configurable failures."""

import asyncio
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass, field

from dotterelspread.jobs import clock
from dotterelspread.jobs.journal import (
    Journal,
    JournalError,
    JournalFencedError,
    JournalMovedError,
    JournalRejectedError,
    JournalTruncatedError,
    JournalUnavailableError,
    JournalUncertainError,
    Membership,
    StreamSnapshot,
    Tail,
)

__all__ = ["MAX_RECORD_BYTES", "SLOW_APPEND_S", "VirtualStore"]

SLOW_APPEND_S = 2.0
#: Limits of the platform's store on a record, on all of one call, and on a key.
MAX_RECORD_BYTES = 262_144
MAX_REQUEST_BYTES = 2_097_152
MAX_KEY_BYTES = 255
#: Bytes of a record's length, which count in a request but not in the record.
LENGTH_BYTES = 4


@dataclass
class _Stream:
    records: list = field(default_factory=list)
    #: Latest epoch and sequence number, and the replies to appends, by writer.
    epoch_by_writer: dict = field(default_factory=dict)
    sequence_by_writer: dict = field(default_factory=dict)
    replies_by_writer: dict = field(default_factory=dict)


class VirtualStore:
    """Simulated log store; `mode_by_node` sets its failure mode for each process.

    Modes are "busy" (refuses all calls), "silent" (answers no call), "read-only"
    (refuses appends), "silent-appends" (answers no append) and "slow-appends" (executes
    appends after `SLOW_APPEND_S`, which is longer than a call waits).
    """

    def __init__(self, rng):
        self.rng = rng
        self.streams = {}
        self.mode_by_node = {}
        #: Pairs of a node and a stream that the node cannot read.
        self.unreadable = set()
        #: Offset before which the records of a stream were deleted.
        self.first_offset_by_stream = {}
        self.loss = 0.0
        self.delay_s = 0.004
        #: Mean delay of the calls of processes that are not `delay_s` away.
        self.delay_s_by_node = {}
        #: Calls by the process that made them.
        self.calls_by_node = Counter()
        self.members = {}
        self.generation = 1
        self.holder = None
        self.ttl_s = 1.0
        self.appends = 0

    def stream(self, name):
        return self.streams.setdefault(name, _Stream())

    def journal(self, node):
        return _VirtualJournal(self, node)

    def append(self, name, records, writer, expected_end):
        _check_sizes(records)
        stream = self.stream(name)
        if writer is not None:
            reply = self._check_writer(stream, writer)
            if reply is not None:
                return reply
        if expected_end is not None and expected_end != len(stream.records):
            raise JournalMovedError(len(stream.records))
        offset = len(stream.records)
        stream.records.extend(records)
        self.appends += 1
        if writer is not None:
            stream.epoch_by_writer[writer.name] = writer.epoch
            stream.sequence_by_writer[writer.name] = writer.sequence
            replies = stream.replies_by_writer.setdefault(writer.name, {})
            replies[writer.epoch, writer.sequence] = offset
        return offset

    def _check_writer(self, stream, writer):
        epoch = stream.epoch_by_writer.get(writer.name, -1)
        if writer.epoch < epoch:
            raise JournalFencedError("fenced by a later epoch")
        if writer.epoch > epoch:
            return None
        replies = stream.replies_by_writer[writer.name]
        if (writer.epoch, writer.sequence) in replies:
            return replies[writer.epoch, writer.sequence]
        if writer.sequence != stream.sequence_by_writer[writer.name] + 1:
            raise JournalRejectedError("unexpected sequence number")
        return None

    def join(self, member, ttl_s):
        now_s = clock.now_s()
        self.members[member] = now_s + ttl_s
        alive = [m for m, until_s in self.members.items() if until_s > now_s]
        if self.holder not in alive:
            self.holder = sorted(alive)[0]
            self.generation += 1
        return Membership(self.generation, self.holder == member)

    def leave(self, member):
        self.members.pop(member, None)
        if self.holder == member:
            self.holder = None
            self.generation += 1


def _check_sizes(records):
    request_bytes = 0
    for record in records:
        key_bytes = len(record.key.encode())
        record_bytes = 1 + key_bytes + len(record.value)
        if key_bytes > MAX_KEY_BYTES or record_bytes > MAX_RECORD_BYTES:
            raise JournalRejectedError(f"{record.key}: {record_bytes} bytes")
        request_bytes += LENGTH_BYTES + record_bytes
    if request_bytes > MAX_REQUEST_BYTES:
        raise JournalRejectedError(f"request of {request_bytes} bytes")


class _VirtualJournal(Journal):
    def __init__(self, store, node):
        self.store = store
        self.node = node

    async def _simulate_call(self, timeout_s=1.5):
        self.store.calls_by_node[self.node] += 1
        delay_s = self.store.delay_s_by_node.get(self.node, self.store.delay_s)
        await asyncio.sleep(delay_s * (0.5 + self.store.rng.random()))
        mode = self._mode()
        if mode == "busy":
            raise JournalUnavailableError("store busy")
        if mode == "silent":
            await asyncio.sleep(timeout_s)
            raise JournalUncertainError("no reply in time")

    def _mode(self):
        modes = self.store.mode_by_node
        return modes.get(self.node) or modes.get("*")

    async def append(
        self, stream, records, writer=None, expected_end=None, timeout_s=1.5
    ):
        await self._simulate_call(timeout_s)
        if writer is not None:
            writer = type(writer)(writer.name, writer.epoch, writer.sequence)
        arguments = (stream, list(records), writer, expected_end)
        mode = self._mode()
        if mode == "read-only":
            raise JournalUnavailableError("appends refused")
        if mode == "silent-appends":
            await asyncio.sleep(timeout_s)
            raise JournalUncertainError("no reply in time")
        if mode == "slow-appends":
            loop = asyncio.get_running_loop()
            loop.call_later(SLOW_APPEND_S, self._append_late, arguments)
            await asyncio.sleep(timeout_s)
            raise JournalUncertainError("no reply in time")
        if self.store.rng.random() < self.store.loss:
            late_s = self.store.rng.choice([0.0, 0.0, 2.0])
            asyncio.get_running_loop().call_later(late_s, self._append_late, arguments)
            await asyncio.sleep(timeout_s)
            raise JournalUncertainError("reply lost")
        return self.store.append(*arguments)

    def _append_late(self, arguments):
        with suppress(JournalError):
            self.store.append(*arguments)

    async def _simulate_read(self, stream):
        await self._simulate_call()
        await self._check_readable(stream)

    async def _check_readable(self, stream):
        if (self.node, stream) in self.store.unreadable:
            await asyncio.sleep(1.5)
            raise JournalUncertainError("no reply in time")

    async def snapshot(self, stream):
        await self._simulate_read(stream)
        records = self.store.stream(stream).records
        newest = {record.key: record for record in records}
        kept = {key: record for key, record in newest.items() if record.value}
        return StreamSnapshot(kept, len(records))

    async def follow(self, stream, from_offset, wait_s):
        await self._simulate_read(stream)
        if from_offset < self.store.first_offset_by_stream.get(stream, 0):
            raise JournalTruncatedError("the records have expired")
        end_s = clock.now_s() + wait_s
        while True:
            await self._check_readable(stream)
            records = self.store.stream(stream).records[from_offset:]
            if records:
                return Tail(tuple(records), from_offset + len(records))
            if clock.now_s() >= end_s:
                return Tail((), from_offset)
            await asyncio.sleep(0.05)

    async def join(self, group, member, stream, ttl_ms, generation):
        await self._simulate_call()
        return self.store.join(member, ttl_ms / 1000)

    async def leave(self, group, member):
        await self._simulate_call()
        self.store.leave(member)
