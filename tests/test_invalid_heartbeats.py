"""Late, forged and invalid heartbeats and deregistrations of an agent's worker."""

import asyncio
from dataclasses import replace

import pytest

from dotterelspread.jobs.watchreply import build_watch_reply
from dotterelspread.resources import Resources
from tests.builders_agent import HEARTBEAT, run_agent

STRANGER = replace(HEARTBEAT, worker_id="i-9", born_ms=9000, service="other")
INTERVAL_S = 1.5
INVALID = {
    "huge sequence": {"sequence": 2**53},
    "huge start": {"born_ms": 2**53},
    "later start": {"born_ms": 1001},
    "no start": {"born_ms": 0, "sequence": 2**40},
    "huge sequence and start": {"born_ms": 2**53, "sequence": 2**53},
    "earlier start": {"born_ms": 1, "sequence": 2**53},
    "unknown service": {"service": "other", "sequence": 3},
    "unknown service and huge sequence": {"service": "other", "sequence": 2**53},
    "other data centre": {"data_centre": "dc-9", "sequence": 3},
    "other labels": {"labels": frozenset({"z"}), "rack": "", "sequence": 3},
    "no capacity": {"capacity": Resources(), "sequence": 3},
    "too much capacity": {"capacity": Resources(2**31 - 1, 2**31 - 1, 9)},
    "draining of a later start": {"born_ms": 5000, "is_draining": True},
    "draining with a huge sequence": {"is_draining": True, "sequence": 2**53},
}


async def send(agent, *sequences, **changes):
    """Send heartbeats of the true worker."""
    for sequence in sequences:
        agent.announce(replace(HEARTBEAT, sequence=sequence, **changes))
        await asyncio.sleep(INTERVAL_S)


def reported(agent):
    """Return what a leader learns of the worker."""
    reply = build_watch_reply(agent)
    return (
        reply.known,
        reply.reachable,
        reply.worker_id,
        reply.born_ms,
        reply.service_name,
        reply.millicores,
        reply.draining,
        reply.left,
    )


TRUE_REPORT = (True, True, "i-1", 1000, "svc", 8000, False, False)
DRAINING_REPORT = (True, True, "i-1", 1000, "svc", 8000, True, False)


@pytest.mark.parametrize("name", INVALID)
def test_an_invalid_heartbeat_of_the_current_worker_does_not_take_effect(name):
    async def scenario(agent, worker):
        await send(agent, 1, 2)
        agent.announce(replace(HEARTBEAT, **INVALID[name]))
        await asyncio.sleep(0.1)
        assert reported(agent) == TRUE_REPORT
        await send(agent, 4, 5)
        assert reported(agent) == TRUE_REPORT

    run_agent(scenario)


@pytest.mark.parametrize("name", INVALID)
def test_an_invalid_heartbeat_does_not_hide_that_the_worker_drains(name):
    async def scenario(agent, worker):
        await send(agent, 1, 2)
        agent.announce(replace(HEARTBEAT, **INVALID[name]))
        await send(agent, 4, is_draining=True)
        assert reported(agent) == DRAINING_REPORT

    run_agent(scenario)


@pytest.mark.parametrize("name", INVALID)
def test_an_invalid_heartbeat_does_not_hide_the_next_start_of_the_worker(name):
    async def scenario(agent, worker):
        await send(agent, 1, 2)
        agent.announce(replace(HEARTBEAT, **INVALID[name]))
        await asyncio.sleep(1)
        worker.is_up = False
        await asyncio.sleep(1)
        worker.is_up = True
        worker.born_ms = 6000
        large = Resources(32_000, 64_000, 0)
        await send(agent, 1, 2, born_ms=6000, service="svc-2", capacity=large)
        assert reported(agent) == (True, True, "i-1", 6000, "svc-2", 32_000, 0, 0)

    run_agent(scenario)


@pytest.mark.parametrize("name", INVALID)
def test_an_invalid_heartbeat_that_comes_first_is_displaced_by_the_true_ones(name):
    async def scenario(agent, worker):
        agent.announce(replace(HEARTBEAT, **INVALID[name]))
        await asyncio.sleep(INTERVAL_S)
        await send(agent, 4, 5)
        assert reported(agent) == TRUE_REPORT
        await send(agent, 6, is_draining=True)
        assert reported(agent) == DRAINING_REPORT

    run_agent(scenario)


def test_late_heartbeats_of_one_incarnation_have_no_effect():
    async def scenario(agent, worker):
        await send(agent, 1, 2, 3)
        await send(agent, 4, is_draining=True)
        await send(agent, 2, 3)
        assert reported(agent) == DRAINING_REPORT

    run_agent(scenario)


def test_late_heartbeats_of_an_earlier_incarnation_have_no_effect():
    async def scenario(agent, worker):
        worker.born_ms = 6000
        await send(agent, 1, 2, born_ms=6000)
        await send(agent, 90, 91, 92, is_draining=True)
        assert reported(agent) == (True, True, "i-1", 6000, "svc", 8000, False, False)

    run_agent(scenario)


def test_heartbeats_that_got_lost_do_not_keep_later_ones_from_effect():
    async def scenario(agent, worker):
        await send(agent, 1, 2)
        await send(agent, 900, 901, is_draining=True)
        assert reported(agent) == DRAINING_REPORT

    run_agent(scenario)


def test_a_new_incarnation_is_known_by_its_own_list_before_its_heartbeat():
    async def scenario(agent, worker):
        await send(agent, 1, 2)
        worker.born_ms = 6000
        await asyncio.sleep(1)
        assert agent.born_ms == 6000

    run_agent(scenario)


def test_a_stranger_is_not_taken_up_after_a_refused_call():
    async def scenario(agent, worker):
        await send(agent, 1, 2)
        agent.announce(STRANGER)
        worker.is_unhealthy = True
        await asyncio.sleep(0.6)
        worker.is_unhealthy = False
        for _ in range(20):
            await asyncio.sleep(0.1)
            assert agent.announcement.worker_id == "i-1"

    run_agent(scenario)


def test_strangers_leave_a_worker_that_was_paused_in_use():
    async def scenario(agent, worker):
        await send(agent, 1, 2)
        worker.is_paused = True
        for sequence in range(3, 7):
            agent.announce(replace(STRANGER, sequence=sequence))
            await asyncio.sleep(INTERVAL_S)
        worker.is_paused = False
        for sequence in range(3, 7):
            agent.announce(replace(STRANGER, sequence=sequence + 10))
            await send(agent, sequence)
        assert reported(agent) == TRUE_REPORT

    run_agent(scenario)


def test_a_stranger_heard_during_the_first_call_does_not_get_its_answer():
    async def scenario(agent, worker):
        await asyncio.sleep(0.1)
        agent.announce(STRANGER)
        await asyncio.sleep(0.45)
        assert not build_watch_reply(agent).known

    run_agent(scenario)


def test_a_deregistration_by_another_writer_takes_no_answering_worker_out_of_use():
    async def scenario(agent, worker):
        await send(agent, 1, 2)
        agent.leave("i-1", 0)
        await asyncio.sleep(5)
        worker.is_unhealthy = True
        await asyncio.sleep(0.6)
        worker.is_unhealthy = False
        for _ in range(30):
            await asyncio.sleep(0.1)
            assert not build_watch_reply(agent).left
        assert reported(agent) == TRUE_REPORT

    run_agent(scenario)


def test_a_deregistration_of_an_earlier_incarnation_is_ignored():
    async def scenario(agent, worker):
        worker.born_ms = 6000
        await send(agent, 1, 2, born_ms=6000)
        agent.leave("i-1", 1000)
        worker.is_up = False
        await asyncio.sleep(0.8)
        assert not agent.departure.has_left

    run_agent(scenario)


def test_a_worker_that_answers_after_it_counted_as_ended_is_in_use_again():
    async def scenario(agent, worker):
        await send(agent, 1, 2)
        agent.leave("i-1", 1000)
        worker.is_up = False
        await asyncio.sleep(1.5)
        assert build_watch_reply(agent).left
        worker.is_up = True
        await asyncio.sleep(1.5)
        assert reported(agent) == TRUE_REPORT

    run_agent(scenario)


@pytest.mark.parametrize("born_ms", [0, 1000])
def test_a_deregistered_worker_that_is_gone_has_left_at_once(born_ms):
    async def scenario(agent, worker):
        await send(agent, 1, 2)
        agent.leave("i-1", born_ms)
        worker.is_up = False
        await asyncio.sleep(1)
        assert build_watch_reply(agent).left

    run_agent(scenario)


def test_a_deregistered_worker_that_is_silent_has_left_only_once_it_is_gone():
    async def scenario(agent, worker):
        await send(agent, 1, 2)
        agent.leave("i-1", 1000)
        worker.is_paused = True
        for _ in range(50):
            await asyncio.sleep(0.1)
            assert not build_watch_reply(agent).left
        assert not agent.is_reachable
        worker.is_up = False
        await asyncio.sleep(1.5)
        assert build_watch_reply(agent).left

    run_agent(scenario)


def test_the_end_of_a_deregistered_worker_is_known_at_once_after_a_lost_call():
    async def scenario(agent, worker):
        await send(agent, 1, 2)
        agent.leave("i-1", 1000)
        worker.is_unhealthy = True
        while not worker.refused_calls:
            await asyncio.sleep(0.005)
        worker.is_unhealthy = False
        worker.is_up = False
        await asyncio.sleep(0.1)
        assert agent.departure.has_left

    run_agent(scenario)
