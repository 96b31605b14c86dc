"""Builders of what the agent of a worker receives, and an agent with a worker."""

import asyncio
from dataclasses import dataclass

from dotterelspread.gen.peer.ttypes import StartOrder, WatchQuery
from dotterelspread.jobs import clock
from dotterelspread.jobs.agentpart import Agent
from dotterelspread.jobs.workeradapter import (
    Announcement,
    Listing,
    StartAnswer,
    WorkerAdapter,
    WorkerFencedError,
    WorkerGoneError,
    WorkerReplyError,
)
from dotterelspread.resources import Resources
from tests.virtualloop import run_virtually

__all__ = [
    "HEARTBEAT",
    "AnsweringWorker",
    "HoldCall",
    "clock_ms",
    "make_query",
    "make_start",
    "run_agent",
]

HEARTBEAT = Announcement(
    worker_id="i-1",
    born_ms=1000,
    sequence=1,
    service="svc",
    address="10.0.0.1:1",
    data_centre="dc",
    labels=frozenset({"a", "r1"}),
    rack="r1",
    capacity=Resources(8000, 16_000, 0),
    is_draining=False,
)
#: Time after which the caller of a call that gets no reply times out.
CALL_TIMEOUT_S = 1.0
MAX_LEASE_MS = 4000


def clock_ms():
    """Return milliseconds on the clock of the instance."""
    return int(clock.now_s() * 1000)


def make_query(session, epoch=1, born_ms=0, seen=0, grant_until_ms=0):
    """Return a leader's poll that tells the latest session it has heard of."""
    return WatchQuery(
        epoch=epoch,
        version=0,
        wait_ms=0,
        born_ms=born_ms,
        seen=seen,
        grant_until_ms=grant_until_ms,
        traits=[],
        costs=[],
        session=session,
    )


def make_start(grant_until_ms, **changes):
    values = {
        "epoch": 1,
        "worker_id": HEARTBEAT.worker_id,
        "born_ms": HEARTBEAT.born_ms,
        "task_id": "t",
        "run": 1,
        "program": "p",
        "checkpoint": "",
        "grant_until_ms": grant_until_ms,
        "repeat": False,
    }
    return StartOrder(**(values | changes))


@dataclass(frozen=True)
class HoldCall:
    """A call that has reached the worker."""

    arrived_s: float
    #: Incarnation that was called.
    born_ms: int
    token: int
    seen: int
    until_ms: int
    wait_ms: int


class AnsweringWorker(WorkerAdapter):
    """Answers calls that name the worker that currently runs on the instance."""

    def __init__(self):
        self.worker_id = HEARTBEAT.worker_id
        self.born_ms = HEARTBEAT.born_ms
        self.is_up = True
        self.is_paused = False
        #: Whether calls are refused, as a worker that is unhealthy does.
        self.is_unhealthy = False
        self.refused_calls = 0
        self.running = ()
        self.ended = ()
        #: Highest fencing token that this incarnation has seen.
        self.token = 0
        self.holds = []
        #: Delay of the replies to these calls.
        self.reply_delay_s = 0.0
        #: Delay of the reply to a start, and the worker's clock in it.
        self.start_delay_s = 0.0
        self.start_clock_ms = 0

    def begin_incarnation(self, born_ms):
        self.born_ms = born_ms
        self.token = 0

    def holds_of(self, born_ms):
        """Return the calls that have reached an incarnation."""
        return [call for call in self.holds if call.born_ms == born_ms]

    async def start(self, worker_id, token, order, until_ms):
        await asyncio.sleep(self.start_delay_s)
        return StartAnswer.RUNNING, self.start_clock_ms

    async def hold(self, worker_id, token, seen, until_ms, wait_ms):
        self._check(worker_id)
        call = HoldCall(clock.now_s(), self.born_ms, token, seen, until_ms, wait_ms)
        self.holds.append(call)
        if token < self.token:
            raise WorkerFencedError("fenced")
        self.token = token
        # The reply may arrive after the worker has begun its next incarnation.
        born_ms, ended = self.born_ms, self.ended
        await asyncio.sleep(wait_ms / 1000 + self.reply_delay_s)
        if self.is_paused:
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise WorkerReplyError("no reply")
        self._check(worker_id)
        return Listing(born_ms, clock_ms(), self.running, ended)

    def _check(self, worker_id):
        if self.is_unhealthy:
            self.refused_calls += 1
            raise WorkerReplyError("status 503")
        if not self.is_up:
            raise WorkerGoneError("connection refused")
        if worker_id not in ("", self.worker_id):
            raise WorkerGoneError("another incarnation")


def run_agent(scenario):
    """Run ``scenario(agent, worker)`` on virtual time."""

    async def run():
        worker = AnsweringWorker()
        agent = Agent(worker, MAX_LEASE_MS, clock_ms)
        loop = asyncio.ensure_future(agent.run())
        await scenario(agent, worker)
        loop.cancel()

    run_virtually(run())
