"""Orders of a leader that an agent executes late."""

import asyncio

import pytest

from dotterelspread.gen.peer.ttypes import OrderResult, StopOrder, WatchQuery
from dotterelspread.jobs.agentpart import Agent
from dotterelspread.jobs.orderhandler import OrderHandler
from dotterelspread.jobs.workeradapter import (
    Listing,
    StartAnswer,
    WorkerAdapter,
    WorkerReplyError,
    WorkerUnsentError,
)
from tests.builders_agent import HEARTBEAT, clock_ms, make_query, make_start
from tests.virtualloop import run_virtually

LEASE_MS = 4000
#: Time after which an attempt counts as unanswered.
ATTEMPT_S = 0.7


class PausedWorker(WorkerAdapter):
    """Leaves the first start without a reply, while its agent is paused."""

    def __init__(self, pause_s):
        self.pause_s = pause_s
        self.lease_ends_ms = []

    async def start(self, worker_id, token, order, until_ms):
        self.lease_ends_ms.append(until_ms)
        if len(self.lease_ends_ms) == 1:
            await asyncio.sleep(self.pause_s)
            raise WorkerReplyError("no reply")
        return StartAnswer.RUNNING, clock_ms()


def make_agent(worker):
    """Return an agent whose worker has announced itself and listed its runs."""
    agent = Agent(worker, LEASE_MS, clock_ms)
    agent.announce(HEARTBEAT)
    agent.apply_listing(Listing(HEARTBEAT.born_ms, clock_ms(), (), ()), clock_ms())
    return agent


def start_with_pause(pause_s):
    """Return the order of a start before a pause, the reply and the worker."""

    async def run():
        worker = PausedWorker(pause_s)
        agent = make_agent(worker)
        order = make_start(clock_ms() + LEASE_MS)
        starting = asyncio.ensure_future(OrderHandler(agent).start_run(order))
        await asyncio.sleep(pause_s - 0.01)
        # The leader has given up the run, but grants the worker's lease anew.
        query = WatchQuery(1, 0, 0, 0, 0, clock_ms() + LEASE_MS, [], [])
        await agent.watch(query)
        return order, await starting, worker

    return run_virtually(run())


def test_a_start_is_repeated_while_its_order_is_valid():
    _, reply, worker = start_with_pause(LEASE_MS / 1000 - 1)
    assert reply.result == OrderResult.CONFIRMED
    assert len(worker.lease_ends_ms) == 2


def test_a_start_is_not_repeated_after_its_order_has_expired():
    _, reply, worker = start_with_pause(LEASE_MS / 1000 + 1)
    assert reply.result == OrderResult.UNKNOWN
    assert len(worker.lease_ends_ms) == 1


def test_a_start_carries_the_end_of_its_own_order():
    order, _, worker = start_with_pause(LEASE_MS / 1000 - 1)
    # A start that the worker executes later than this is refused there.
    assert worker.lease_ends_ms == [order.grant_until_ms] * 2


def start_with_grant(ahead_ms):
    """Return the reply to a start, and the agent; the grant ends ``ahead_ms`` from now.

    The agent's instance has just booted, so its clock is near zero.
    """

    async def run():
        worker = PausedWorker(0.0)
        agent = make_agent(worker)
        order = make_start(clock_ms() + ahead_ms)
        return await OrderHandler(agent).start_run(order), agent

    return run_virtually(run())


def test_a_start_with_a_grant_on_an_earlier_boots_clock_is_not_executed():
    reply, agent = start_with_grant(3_600_000)
    assert reply.result == OrderResult.UNKNOWN
    assert agent.adapter.lease_ends_ms == []
    assert agent.grant.until_ms == 0


def test_a_start_with_a_grant_on_the_present_clock_is_executed():
    reply, agent = start_with_grant(LEASE_MS)
    assert reply.result == OrderResult.CONFIRMED
    assert agent.grant.until_ms > 0


def test_a_poll_with_a_grant_on_an_earlier_boots_clock_extends_no_lease():
    async def run():
        agent = make_agent(PausedWorker(0.0))
        await agent.watch(WatchQuery(1, 0, 0, 0, 0, clock_ms() + 3_600_000, [], []))
        assert agent.lease_until_ms() == 0
        until_ms = clock_ms() + LEASE_MS
        await agent.watch(WatchQuery(1, 0, 0, 0, 0, until_ms, [], []))
        assert agent.lease_until_ms() == until_ms

    run_virtually(run())


class UnreachableWorker(WorkerAdapter):
    """Gets no start, except those of the given attempts, which have no reply."""

    def __init__(self, *attempts):
        self.attempts = attempts
        self.count = 0

    async def start(self, worker_id, token, order, until_ms):
        self.count += 1
        if self.count in self.attempts:
            raise WorkerReplyError("no reply")
        raise WorkerUnsentError("connection refused")


@pytest.mark.parametrize(
    ("attempts", "result"),
    [((), OrderResult.NOT_SENT), ((1,), OrderResult.UNKNOWN)],
)
def test_a_start_counts_as_not_sent_only_if_no_attempt_was_sent(attempts, result):
    async def run():
        handler = OrderHandler(make_agent(UnreachableWorker(*attempts)))
        reply = await handler.start_run(make_start(clock_ms() + LEASE_MS))
        assert reply.result == result

    run_virtually(run())


class FencingWorker(WorkerAdapter):
    """Refuses each order for its token; the agent may begin a session meanwhile."""

    def __init__(self):
        self.agent = None
        self.count = 0
        self.has_later_session = False

    async def start(self, worker_id, token, order, until_ms):
        self.count += 1
        if self.has_later_session:
            self.agent.session.begin_next()
        return StartAnswer.FENCED, clock_ms()

    async def stop(self, worker_id, token, order):
        return await self.start(worker_id, token, order, 0)


def make_stop(**changes):
    values = {
        "epoch": 1,
        "worker_id": HEARTBEAT.worker_id,
        "born_ms": HEARTBEAT.born_ms,
        "task_id": "t",
        "run": 1,
    }
    return StopOrder(**(values | changes))


async def send_order(handler, method, **changes):
    """Send a start or a stop to an agent, and return the result."""
    if method == "start_run":
        order = make_start(clock_ms() + LEASE_MS, **changes)
    else:
        order = make_stop(**changes)
    return (await getattr(handler, method)(order)).result


@pytest.mark.parametrize(
    ("method", "result"),
    [("start_run", OrderResult.NOT_SENT), ("stop_run", OrderResult.UNKNOWN)],
)
@pytest.mark.parametrize("is_known", [False, True])
def test_an_order_is_not_passed_on_before_the_leader_has_heard_of_the_session(
    method, result, is_known
):
    async def run():
        worker = FencingWorker()
        agent = make_agent(worker)
        handler = OrderHandler(agent)
        # The latest session that the leader knows is one of an earlier process.
        session = agent.session.number + 6 if is_known else 0
        assert await send_order(handler, method, session=session) == result
        assert not worker.count
        assert agent.session.report() > session
        await send_order(handler, method, session=agent.session.number)
        assert worker.count == 1

    run_virtually(run())


@pytest.mark.parametrize("method", ["start_run", "stop_run"])
@pytest.mark.parametrize(
    ("has_later_session", "result"),
    [(True, OrderResult.GONE), (False, OrderResult.UNKNOWN)],
)
def test_a_leader_does_not_resign_for_an_order_that_a_later_session_has_fenced(
    method, has_later_session, result
):
    async def run():
        worker = FencingWorker()
        worker.has_later_session = has_later_session
        worker.agent = make_agent(worker)
        handler = OrderHandler(worker.agent)
        assert await send_order(handler, method, session=None) == result
        assert worker.count == 1
        assert not worker.agent.is_in_session


@pytest.mark.parametrize("method", ["start_run", "stop_run"])
def test_a_leader_of_an_earlier_epoch_resigns(method):
    async def run():
        agent = make_agent(FencingWorker())
        agent.accepts(2)
        result = await send_order(OrderHandler(agent), method, session=None)
        assert result == OrderResult.FENCED

    run_virtually(run())


def test_a_start_of_which_an_attempt_was_sent_does_not_count_as_not_sent():
    class LosingWorker(FencingWorker):
        async def start(self, *arguments):
            await super().start(*arguments)
            raise WorkerReplyError("no reply")

    async def run():
        worker = LosingWorker()
        worker.has_later_session = True
        worker.agent = make_agent(worker)
        handler = OrderHandler(worker.agent)
        result = await send_order(handler, "start_run", session=None)
        assert result == OrderResult.UNKNOWN
        assert worker.count == 1

    run_virtually(run())


class SilentWorker(WorkerAdapter):
    """Leaves each start without a reply, and carries out stops."""

    def __init__(self):
        self.starts = 0
        self.stops = 0

    async def start(self, worker_id, token, order, until_ms):
        self.starts += 1
        await asyncio.sleep(ATTEMPT_S)
        raise WorkerReplyError("no reply")

    async def stop(self, worker_id, token, order):
        self.stops += 1
        return StartAnswer.RUNNING, clock_ms()


def start_and(change, run=1, valid_s=LEASE_MS / 1000):
    """Return the worker and the result of a start, with a change in its first attempt.

    ``change(handler, agent)`` is called half-way through the attempt.
    """

    async def scenario():
        worker = SilentWorker()
        agent = make_agent(worker)
        handler = OrderHandler(agent)
        order = make_start(
            clock_ms() + LEASE_MS,
            run=run,
            send_until_ms=clock_ms() + int(valid_s * 1000),
        )
        starting = asyncio.ensure_future(handler.start_run(order))
        await asyncio.sleep(ATTEMPT_S / 2)
        await change(handler, agent)
        return worker, (await starting).result

    return run_virtually(scenario())


async def stop_first_run(handler, agent):
    reply = await handler.stop_run(make_stop())
    assert reply.result == OrderResult.CONFIRMED


@pytest.mark.parametrize(("run", "attempts"), [(1, 1), (2, 3)])
def test_a_stop_ends_the_attempts_of_a_start(run, attempts):
    # Guards against a start after the leader has noted an end that forbids it.
    worker, result = start_and(stop_first_run, run=run)
    assert (worker.starts, worker.stops) == (attempts, 1)
    assert result == OrderResult.UNKNOWN


def test_a_start_is_not_attempted_after_the_time_that_its_order_names():
    # Guards against attempts by an agent that no stop reaches any more.
    async def do_nothing(handler, agent):
        """Leave all as it is."""

    worker, _ = start_and(do_nothing, valid_s=1.5 * ATTEMPT_S)
    assert worker.starts == 2


def test_a_start_is_not_attempted_for_a_leader_that_was_replaced():
    # Guards against attempts for an order that the successor knows nothing of, once it
    # has confirmed the session with the worker.
    async def follow_successor(handler, agent):
        for _ in range(2):
            await agent.watch(make_query(agent.session.number, epoch=2))
            agent.session.report()
        assert agent.is_in_session

    worker, result = start_and(follow_successor)
    assert worker.starts == 1
    assert result == OrderResult.FENCED


class ForgettingWorker(SilentWorker):
    """Gives its answer to the second attempt of a start."""

    def __init__(self, answer):
        super().__init__()
        self.answer = answer

    async def start(self, worker_id, token, order, until_ms):
        if self.starts:
            return self.answer, clock_ms()
        return await super().start(worker_id, token, order, until_ms)


@pytest.mark.parametrize(
    ("answer", "has_begun"),
    [
        (StartAnswer.RUNNING, True),
        (StartAnswer.NO_ROOM, False),
        (StartAnswer.OUTDATED, False),
    ],
)
def test_the_reply_tells_whether_the_worker_says_that_it_runs(answer, has_begun):
    # A start that is refused after an unanswered attempt is ruled out by a stop.
    async def scenario():
        handler = OrderHandler(make_agent(ForgettingWorker(answer)))
        reply = await handler.start_run(make_start(clock_ms() + LEASE_MS))
        assert reply.result == OrderResult.CONFIRMED
        assert reply.has_begun == has_begun

    run_virtually(scenario())
