"""Builders of what the agent of a worker receives, and an agent with a worker."""

import asyncio

from dotterelspread.jobs import clock
from dotterelspread.jobs.agentpart import Agent
from dotterelspread.jobs.workeradapter import (
    Announcement,
    Listing,
    WorkerAdapter,
    WorkerGoneError,
    WorkerReplyError,
)
from dotterelspread.resources import Resources
from tests.virtualloop import run_virtually

__all__ = ["HEARTBEAT", "AnsweringWorker", "run_agent"]

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

    async def hold(self, worker_id, token, seen, until_ms, wait_ms):
        self._check(worker_id)
        # The reply may arrive after the worker has begun its next incarnation.
        born_ms, ended = self.born_ms, self.ended
        await asyncio.sleep(wait_ms / 1000)
        if self.is_paused:
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise WorkerReplyError("no reply")
        self._check(worker_id)
        return Listing(born_ms, int(clock.now_s() * 1000), self.running, ended)

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
        agent = Agent(worker, 4000, lambda: int(clock.now_s() * 1000))
        loop = asyncio.ensure_future(agent.run())
        await scenario(agent, worker)
        loop.cancel()

    run_virtually(run())
