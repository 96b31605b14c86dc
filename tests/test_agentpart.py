"""An agent and the heartbeats of its worker, of successors and of strangers."""

import asyncio
from dataclasses import replace

from dotterelspread.jobs import clock
from dotterelspread.jobs.agentpart import HOLD_RETRY_INTERVAL_S, Agent
from dotterelspread.jobs.workeradapter import (
    Listing,
    WorkerAdapter,
    WorkerReplyError,
)
from tests.builders_agent import HEARTBEAT
from tests.virtualloop import run_virtually

STRANGER = replace(HEARTBEAT, worker_id="i-9", born_ms=9000, service="other")


class AnsweringWorker(WorkerAdapter):
    """Answers calls that name the worker that currently runs on the instance."""

    def __init__(self):
        self.worker_id = HEARTBEAT.worker_id
        self.born_ms = HEARTBEAT.born_ms

    async def hold(self, worker_id, epoch, seen, until_ms, wait_ms):
        await asyncio.sleep(wait_ms / 1000)
        if worker_id != self.worker_id:
            raise WorkerReplyError("another incarnation")
        return Listing(self.born_ms, int(clock.now_s() * 1000), (), ())


def run_agent(scenario):
    async def run():
        worker = AnsweringWorker()
        agent = Agent(worker, 4000, lambda: int(clock.now_s() * 1000))
        loop = asyncio.ensure_future(agent.run())
        await scenario(agent, worker)
        loop.cancel()

    run_virtually(run())


def test_a_stranger_does_not_displace_a_worker_that_answers():
    async def scenario(agent, worker):
        agent.announce(HEARTBEAT)
        await asyncio.sleep(2)
        for sequence in range(2, 6):
            agent.announce(replace(STRANGER, sequence=sequence))
            await asyncio.sleep(1)
            agent.announce(replace(HEARTBEAT, sequence=sequence))
            assert agent.announcement.worker_id == "i-1"
            assert agent.is_reachable

    run_agent(scenario)


def test_a_worker_is_found_after_a_stranger_was_heard_first():
    async def scenario(agent, worker):
        agent.announce(STRANGER)
        await asyncio.sleep(2)
        assert not agent.is_reachable
        agent.announce(HEARTBEAT)
        await asyncio.sleep(1)
        assert agent.announcement.worker_id == "i-1"
        assert agent.is_reachable

    run_agent(scenario)


def test_the_successor_of_a_worker_is_taken_up_once_the_worker_fails():
    async def scenario(agent, worker):
        agent.announce(HEARTBEAT)
        await asyncio.sleep(2)
        successor = replace(HEARTBEAT, worker_id="i-2", born_ms=5000)
        worker.worker_id, worker.born_ms = "i-2", 5000
        agent.announce(successor)
        await asyncio.sleep(1.5)
        assert agent.announcement.worker_id == "i-2"
        assert agent.is_reachable

    run_agent(scenario)


def test_a_late_heartbeat_of_an_earlier_worker_is_ignored():
    async def scenario(agent, worker):
        worker.worker_id = "i-2"
        agent.announce(replace(HEARTBEAT, worker_id="i-2", born_ms=5000))
        await asyncio.sleep(2)
        agent.announce(replace(HEARTBEAT, sequence=99))
        await asyncio.sleep(2)
        assert agent.announcement.worker_id == "i-2"
        assert agent.is_reachable

    run_agent(scenario)


def test_a_new_worker_is_known_without_waiting_for_an_end():
    async def scenario(agent, worker):
        await asyncio.sleep(1)
        agent.announce(HEARTBEAT)
        # A hold without a worker's id may have just failed and wait for its retry.
        await asyncio.sleep(HOLD_RETRY_INTERVAL_S + 0.05)
        assert agent.is_reachable

    run_agent(scenario)
