"""An agent and the heartbeats of its worker, of successors and of strangers."""

import asyncio
from dataclasses import replace

import pytest

from dotterelspread.gen.peer.ttypes import OrderResult
from dotterelspread.jobs.agentpart import Agent
from dotterelspread.jobs.agentreport import EndedRun, RunEnd
from dotterelspread.jobs.departure import (
    LATE_START_RETRY_INTERVAL_S,
    RETRY_INTERVAL_S,
)
from dotterelspread.jobs.orderhandler import OrderHandler
from dotterelspread.jobs.workerpolling import LISTING_POLL_TIMEOUT_MS
from dotterelspread.jobs.workersession import WorkerSession
from dotterelspread.resources import Resources
from tests.builders_agent import (
    HEARTBEAT,
    AnsweringWorker,
    clock_ms,
    make_query,
    make_start,
    run_agent,
)
from tests.virtualloop import run_virtually

LAST_END = EndedRun(3, "t", 1, RunEnd.COMPLETED, "")
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
        assert not agent.ended.by_number

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


def test_no_task_starts_on_an_incarnation_that_has_not_told_its_kind():
    # Guards against starts by the labels of an earlier incarnation under the same id.
    async def scenario(agent, worker):
        agent.announce(HEARTBEAT)
        await asyncio.sleep(2)
        worker.begin_incarnation(2000)
        await asyncio.sleep(2)
        agent.confirm_session(agent.session.report())
        order = make_start(clock_ms() + 2000, born_ms=2000, session=None)
        reply = await OrderHandler(agent).start_run(order)
        assert (reply.result, reply.detail) == (OrderResult.REFUSED, "not announced")
        agent.announce(replace(HEARTBEAT, born_ms=2000))
        reply = await OrderHandler(agent).start_run(order)
        assert reply.result == OrderResult.CONFIRMED

    run_agent(scenario)


def test_tasks_start_after_a_heartbeat_without_a_start_time():
    async def scenario(agent, worker):
        agent.announce(replace(HEARTBEAT, born_ms=0))
        await asyncio.sleep(2)
        agent.confirm_session(agent.session.report())
        order = make_start(clock_ms() + 2000, born_ms=worker.born_ms, session=None)
        reply = await OrderHandler(agent).start_run(order)
        assert reply.result == OrderResult.CONFIRMED

    run_agent(scenario)


def test_a_room_that_shrinks_with_each_heartbeat_is_followed():
    # Guards against starts on a worker whose room is known as it was long ago.
    async def scenario(agent, worker):
        agent.announce(HEARTBEAT)
        await asyncio.sleep(2)
        for number in range(1, 7):
            capacity = Resources(8000 - 1000 * number, 16_000, 0)
            agent.announce(replace(HEARTBEAT, sequence=1 + number, capacity=capacity))
            known = agent.announcement.capacity.millicores
            assert known - capacity.millicores <= 1000

    run_agent(scenario)


def test_a_single_heartbeat_with_another_room_has_no_effect():
    # Guards against one message of another writer that takes the worker's room away.
    async def scenario(agent, worker):
        agent.announce(HEARTBEAT)
        await asyncio.sleep(2)
        for number in range(2, 8, 2):
            shrunk = replace(HEARTBEAT, sequence=number, capacity=Resources())
            agent.announce(shrunk)
            assert agent.announcement.capacity == HEARTBEAT.capacity
            agent.announce(replace(HEARTBEAT, sequence=number + 1))
            assert agent.announcement.capacity == HEARTBEAT.capacity

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
        assert agent.departure.has_left

    run_agent(scenario)


async def begin_confirmed_session(agent):
    """Announce the worker, and poll the agent until its session is confirmed."""
    agent.announce(HEARTBEAT)
    await agent.watch(make_query(0))
    await agent.watch(make_query(agent.session.number))
    await asyncio.sleep(2)
    assert agent.is_in_session


def test_calls_to_an_earlier_incarnation_are_refused_from_the_first_lists_on():
    async def scenario(agent, worker):
        await begin_confirmed_session(agent)
        worker.begin_incarnation(5000)
        await asyncio.sleep(1.2)
        first, second = worker.holds_of(5000)[:2]
        assert second.token > first.token
        assert second.wait_ms == 0
        listed_s = first.arrived_s + LISTING_POLL_TIMEOUT_MS / 1000
        assert second.arrived_s == pytest.approx(listed_s, abs=0.01)
        assert agent.residual_lease.is_bounded

    run_agent(scenario)


def test_residual_leases_are_not_bounded_by_a_call_under_an_earlier_token():
    async def scenario(agent, worker):
        await begin_confirmed_session(agent)
        worker.begin_incarnation(5000)
        worker.reply_delay_s = 0.1
        while agent.born_ms != 5000:
            await asyncio.sleep(0.01)
        # The call under the token of the session is under way.
        assert not agent.residual_lease.is_bounded
        await asyncio.sleep(0.2)
        assert agent.residual_lease.is_bounded

    run_agent(scenario)


@pytest.mark.parametrize(
    ("has_heard", "is_confirmed"),
    [((False,), False), ((False, False), False), ((False, True), True)],
)
def test_no_lease_and_no_acknowledgement_goes_out_in_an_unconfirmed_session(
    has_heard, is_confirmed
):
    async def scenario(agent, worker):
        worker.ended = (LAST_END,)
        agent.announce(HEARTBEAT)
        await asyncio.sleep(1)
        for leader_has_heard in has_heard:
            until_ms = clock_ms() + 4000
            session = agent.session.number if leader_has_heard else 0
            query = make_query(session, 1, agent.born_ms, 3, until_ms)
            await agent.watch(query)
        worker.holds.clear()
        await asyncio.sleep(2)
        assert len(worker.holds) > 2
        given = {(call.seen, call.until_ms) for call in worker.holds}
        assert given == ({(3, until_ms)} if is_confirmed else {(0, 0)})

    run_agent(scenario)


def test_a_late_call_acknowledges_no_ends_that_the_worker_has_discarded():
    async def scenario(agent, worker):
        worker.ended = (LAST_END,)
        await begin_confirmed_session(agent)
        query = make_query(agent.session.number, 1, agent.born_ms, LAST_END.number)
        await agent.watch(query)
        await asyncio.sleep(1)
        assert worker.holds[-1].seen == LAST_END.number
        worker.ended = ()
        await asyncio.sleep(2)
        assert worker.holds[-1].seen == 0

    run_agent(scenario)


def test_no_lease_end_that_is_over_goes_out():
    async def scenario(agent, worker):
        await begin_confirmed_session(agent)
        until_ms = clock_ms() + 1500
        await agent.watch(make_query(agent.session.number, grant_until_ms=until_ms))
        await asyncio.sleep(1)
        assert worker.holds[-1].until_ms == until_ms
        await asyncio.sleep(2)
        assert worker.holds[-1].until_ms == 0

    run_agent(scenario)


def test_no_lease_of_an_earlier_incarnation_goes_out_to_a_later_one():
    async def scenario(agent, worker):
        await begin_confirmed_session(agent)
        session, until_ms = agent.session.number, clock_ms() + 4000
        await agent.watch(make_query(session, 1, agent.born_ms, 3, until_ms))
        await asyncio.sleep(1)
        assert worker.holds[-1].until_ms == until_ms
        worker.begin_incarnation(5000)
        await asyncio.sleep(1.2)
        # The first call left before the agent had heard of the incarnation.
        later = worker.holds_of(5000)[1:]
        assert later
        assert {(call.seen, call.until_ms) for call in later} == {(0, 0)}
        await agent.watch(make_query(agent.session.report()))
        await asyncio.sleep(1)
        assert (worker.holds[-1].seen, worker.holds[-1].until_ms) == (0, until_ms)

    run_agent(scenario)


@pytest.mark.parametrize("earlier_sessions", [1, 4, 1000, 60_000])
def test_a_restarted_agent_does_not_stay_under_a_token_that_its_worker_refuses(
    earlier_sessions,
):
    async def scenario(agent, worker):
        agent.announce(HEARTBEAT)
        await agent.watch(make_query(0))
        # No leader has heard of the sessions of the earlier process.
        worker.token = agent.session.token + earlier_sessions
        # Each refusal passes twice as many.
        refusals = earlier_sessions.bit_length()
        for _ in range(2 + refusals):
            await asyncio.sleep(2 * RETRY_INTERVAL_S)
            await agent.watch(make_query(0))
        assert agent.is_reachable
        assert agent.session.token >= worker.token
        session = (await agent.watch(make_query(0))).session
        assert session >= worker.token
        assert not agent.is_in_session
        await agent.watch(make_query(session))
        assert agent.is_in_session

    run_agent(scenario)


def test_an_agent_calls_its_worker_under_a_later_token_before_a_leader_polls_it():
    async def scenario(agent, worker):
        await asyncio.sleep(0.1)
        earlier = agent.session.token
        worker.begin_incarnation(5000)
        later = Agent(worker, 4000, clock_ms, lambda: earlier + 1)
        loop = asyncio.ensure_future(later.run())
        await asyncio.sleep(0.1)
        assert worker.token > earlier
        assert later.residual_lease.is_bounded
        loop.cancel()

    run_agent(scenario)


def test_a_lease_may_last_on_if_an_earlier_process_had_a_later_token():
    # The time of day was set back before the agent's process started again.
    async def scenario(agent, worker):
        agent.announce(HEARTBEAT)
        await asyncio.sleep(1)
        assert agent.residual_lease.is_bounded
        bounded_ms = agent.residual_lease.remaining_ms()
        await agent.watch(make_query(agent.session.number + 8000))
        await asyncio.sleep(0.1)
        assert agent.residual_lease.remaining_ms() > bounded_ms

    run_agent(scenario)


def test_a_lease_may_last_on_if_a_later_leader_has_heard_of_a_later_token():
    # A leader that had not heard of the earlier process has polled this one first.
    async def scenario(agent, worker):
        await begin_confirmed_session(agent)
        bounded_ms = agent.residual_lease.remaining_ms()
        await agent.watch(make_query(agent.session.number + 8000, epoch=2))
        await asyncio.sleep(0.1)
        assert agent.residual_lease.remaining_ms() > bounded_ms

    run_agent(scenario)


def test_a_lease_may_last_on_if_the_worker_has_taken_later_calls():
    async def scenario(agent, worker):
        await begin_confirmed_session(agent)
        bounded_ms = agent.residual_lease.remaining_ms()
        worker.token = agent.session.token + 1
        for _ in range(4):
            await asyncio.sleep(RETRY_INTERVAL_S)
            await agent.watch(make_query(0))
        assert agent.session.token >= worker.token
        assert agent.residual_lease.remaining_ms() > bounded_ms

    run_agent(scenario)


def test_a_new_process_expects_late_starts_of_an_earlier_one():
    async def scenario(agent, worker):
        worker.is_up = False
        await asyncio.sleep(1)
        assert agent.retry_interval_s() == LATE_START_RETRY_INTERVAL_S

    run_agent(scenario)


@pytest.mark.parametrize("uptime_ms", [3_600_000, 30 * 24 * 3_600_000])
def test_an_agent_is_not_refused_for_long_after_a_call_of_another_process(uptime_ms):
    # Without lease renewals, everything that the worker runs would end.
    async def run():
        worker = AnsweringWorker()
        earlier = Agent(worker, 4000, clock_ms, lambda: clock_ms() + uptime_ms)
        earlier.session = WorkerSession(clock_ms())
        loop = asyncio.ensure_future(earlier.run())
        await begin_confirmed_session(earlier)
        worker.token = clock_ms() + uptime_ms
        await earlier.watch(make_query(earlier.session.number))
        for _ in range(4):
            await asyncio.sleep(RETRY_INTERVAL_S)
            reply = await earlier.watch(make_query(0))
            await earlier.watch(make_query(reply.session))
        assert earlier.is_in_session
        assert earlier.session.token >= worker.token
        # A process that starts later has a later token still.
        assert earlier.session.token <= clock_ms() + uptime_ms
        loop.cancel()

    run_virtually(run())


def test_an_agent_that_no_leader_polls_does_not_fence_another_process_of_it():
    async def scenario(agent, worker):
        await begin_confirmed_session(agent)
        worker.token = agent.session.token + 1
        await asyncio.sleep(60)
        assert agent.session.token <= worker.token

    run_agent(scenario)


def test_a_reply_to_an_order_of_an_earlier_incarnation_does_not_set_the_clock():
    async def scenario(agent, worker):
        await begin_confirmed_session(agent)
        offset_ms = agent.worker_clock.offset_ms
        # The reply arrives while no list is due.
        worker.start_delay_s, worker.start_clock_ms = 1.2, clock_ms() + 3_600_000
        order = make_start(clock_ms() + 4000)
        starting = asyncio.ensure_future(OrderHandler(agent).start_run(order))
        await asyncio.sleep(0.1)
        worker.begin_incarnation(5000)
        await starting
        assert agent.born_ms == 5000
        assert agent.worker_clock.offset_ms == offset_ms

    run_agent(scenario)
