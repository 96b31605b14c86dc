"""An agent and the heartbeats of its worker, of successors and of strangers."""

import asyncio
from dataclasses import replace

from dotterelspread.jobs.departure import RETRY_INTERVAL_S
from dotterelspread.jobs.worker import EndedRun, RunEnd
from tests.builders_agent import HEARTBEAT, run_agent

STRANGER = replace(HEARTBEAT, worker_id="i-9", born_ms=9000, service="other")


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


def test_the_last_reply_of_an_earlier_incarnation_is_discarded():
    async def scenario(agent, worker):
        worker.ended = (EndedRun(1, "earlier", 1, RunEnd.COMPLETED, ""),)
        agent.announce(HEARTBEAT)
        await asyncio.sleep(1.0)
        # The agent reads the heartbeat before the reply, which arrived earlier.
        agent.announce(replace(HEARTBEAT, born_ms=5000))
        worker.born_ms, worker.ended = 5000, ()
        await asyncio.sleep(2)
        assert agent.born_ms == 5000
        assert agent.is_reachable
        assert not agent.ended_by_number

    run_agent(scenario)


def test_a_worker_whose_clock_was_set_back_is_followed_into_its_new_incarnation():
    async def scenario(agent, worker):
        agent.announce(replace(HEARTBEAT, sequence=40))
        await asyncio.sleep(2)
        worker.born_ms = 500
        heartbeat = replace(HEARTBEAT, born_ms=500, is_draining=True)
        agent.announce(heartbeat)
        await asyncio.sleep(2)
        assert agent.born_ms == 500
        assert agent.is_reachable
        agent.announce(replace(heartbeat, sequence=5))
        assert agent.announcement.is_draining

    run_agent(scenario)


def test_a_successor_whose_clock_was_set_back_is_taken_up_after_the_worker():
    async def scenario(agent, worker):
        agent.announce(HEARTBEAT)
        await asyncio.sleep(2)
        worker.worker_id, worker.born_ms = "i-2", 500
        await asyncio.sleep(2)
        assert not agent.is_reachable
        successor = replace(HEARTBEAT, worker_id="i-2", born_ms=500)
        # A single heartbeat may be a late one of an earlier worker.
        agent.announce(successor)
        assert agent.announcement.worker_id == "i-1"
        agent.announce(successor)
        assert agent.announcement.worker_id == "i-1"
        agent.announce(replace(successor, sequence=2))
        await asyncio.sleep(1)
        assert agent.announcement.worker_id == "i-2"
        assert agent.is_reachable

    run_agent(scenario)


def test_a_new_worker_is_known_without_waiting_for_an_end():
    async def scenario(agent, worker):
        await asyncio.sleep(1)
        agent.announce(HEARTBEAT)
        # A hold without a worker's id may have just failed and wait for its retry.
        await asyncio.sleep(RETRY_INTERVAL_S + 0.05)
        assert agent.is_reachable

    run_agent(scenario)


def test_a_deregistration_with_a_start_time_counts_while_none_is_known():
    async def scenario(agent, worker):
        worker.born_ms = 0
        agent.announce(replace(HEARTBEAT, born_ms=0))
        await asyncio.sleep(1)
        agent.leave(HEARTBEAT.worker_id, 1000)
        worker.is_up = False
        await asyncio.sleep(0.8)
        assert agent.has_left

    run_agent(scenario)
