"""Processes that follow the evacuated data centres, with a log on virtual time."""

import asyncio
import random
from types import SimpleNamespace

from dotterelspread.evacuationpart import AGENT_READ_WAIT_S, EvacuationPart
from dotterelspread.log import Log, LogUnavailableError, LogUncertainError
from dotterelspread.logclient import LogClient
from dotterelspread.logs.memory import MemoryStreams
from dotterelspread.node import Node
from dotterelspread.peer import PeerTimeoutError
from dotterelspread.reducer import reduce
from dotterelspread.statepart import StatePart

__all__ = ["Process", "Site"]

RETENTION_S = 86_400.0
CALL_TIME_S = 0.005
POLL_INTERVAL_S = 0.01


def now_s():
    return asyncio.get_running_loop().time()


class VirtualLog(Log):
    """One process's access to the site's streams; `is_up` cuts it off."""

    def __init__(self, streams):
        self.streams = streams
        self.is_up = True
        self.loses_replies = False

    async def append(self, stream, records):
        await asyncio.sleep(CALL_TIME_S)
        if not self.is_up:
            raise LogUnavailableError("down")
        extent = self.streams.append(stream, records, now_s())
        if self.loses_replies:
            raise LogUncertainError("reply lost")
        return extent

    async def read(self, stream, from_offset, wait_s, max_bytes):
        await asyncio.sleep(CALL_TIME_S)
        until_s = now_s() + wait_s
        while True:
            if not self.is_up:
                raise LogUnavailableError("down")
            reply = self.streams.read(stream, from_offset, max_bytes, now_s())
            if reply.records or now_s() >= until_s:
                return reply
            await asyncio.sleep(POLL_INTERVAL_S)

    async def extent(self, stream):
        return self.streams.extent(stream, now_s())


class VirtualNode(Node):
    """A node on the time of the running event loop."""

    def now_s(self):
        return now_s()


class Process:
    """One process with an `EvacuationPart`; its peers are reached by number."""

    def __init__(self, site, number, incarnation):
        self.log = VirtualLog(site.streams)
        client = LogClient(
            self.log, incarnation, random.Random(incarnation), clock=now_s
        )
        settings = SimpleNamespace(log_retention_s=RETENTION_S)
        telemetry = SimpleNamespace(count=lambda name: None)
        self.node = VirtualNode(settings, incarnation, client, site, telemetry, reduce)
        self.part = EvacuationPart(self.node, AGENT_READ_WAIT_S)
        self.part.find_addresses = lambda: site.peers_of(number)
        self.part.replica.find_addresses = self.part.find_addresses
        states = StatePart(self.node, (self.part.replica,))
        self.node.parts = [self.part, self.part.replica, states]
        self.task = asyncio.ensure_future(self.node.run())


class Site:
    """Processes that share a log; also their pool of peer connections."""

    def __init__(self, count=2):
        self.streams = MemoryStreams()
        self.starts = 0
        self.silent_numbers = set()
        self.processes = [self.start(number) for number in range(count)]

    def start(self, number):
        self.starts += 1
        return Process(self, number, self.starts)

    def restart(self, number):
        """Kill a process and start it anew."""
        self.processes[number].task.cancel()
        self.processes[number] = self.start(number)
        return self.processes[number]

    def peers_of(self, number):
        others = [n for n in range(len(self.processes)) if n != number]
        random.Random(number + now_s()).shuffle(others)
        return others

    async def call(self, address, method, query, timeout_s):
        await asyncio.sleep(CALL_TIME_S)
        if address in self.silent_numbers:
            await asyncio.sleep(timeout_s)
            raise PeerTimeoutError(f"{address}: no reply")
        return await self.processes[address].node.handlers_by_method()[method](query)
