"""What a refused start keeps from its worker, and what it does not."""

import asyncio

import msgspec
import pytest

from dotterelspread.gen.peer.ttypes import OrderReply, OrderResult
from dotterelspread.jobs.cell import CellTick, OrderSettled
from dotterelspread.jobs.handlers import reduce
from dotterelspread.jobs.job import JobState
from dotterelspread.jobs.orderhandler import OrderHandler
from dotterelspread.jobs.ordersending import OrderSender
from dotterelspread.jobs.queues import FleetConfiguration
from dotterelspread.jobs.refusals import REFUSAL_BACKOFF_S, RefusalScope
from dotterelspread.jobs.workeradapter import StartAnswer
from dotterelspread.resources import Resources
from tests.builders_agent import AnsweringWorker, clock_ms, make_start
from tests.builders_cell import make_cell, make_worker, submit
from tests.builders_fleet import QUEUE, make_job, make_step, run_scenario
from tests.test_orderhandler import make_agent
from tests.test_ordersending import FakeLeader
from tests.virtualloop import run_virtually

SMALL = Resources(1000, 10)
LARGE = Resources(4000, 10)
#: The other tasks of the refused step wait for it.
REFUSED_STEP = make_step(count=2, demand=LARGE, max_per_worker=1)


def refuse_start(scope, workers=1):
    """Return a cell after the refusal of a start, and what it starts then."""
    cell = make_cell(*(make_worker(number) for number in range(workers)))
    start, *_ = submit(cell, REFUSED_STEP)
    refusal = OrderSettled(
        *(0.0, start.worker.worker_id, 1, start.task_id, start.run.run, "refused", 1),
        scope,
    )
    return cell, reduce(refusal, cell)


def starts_at(cell, now_s):
    return len(reduce(CellTick(now_s, 0), cell))


@pytest.mark.parametrize(
    ("scope", "demand", "count"),
    [
        (RefusalScope.WORKER, SMALL, 0),
        (RefusalScope.ROOM, SMALL, 1),
        (RefusalScope.ROOM, LARGE, 0),
        (RefusalScope.PERMIT, LARGE, 1),
        (RefusalScope.ORDER, LARGE, 1),
    ],
)
def test_a_refusal_keeps_only_what_it_speaks_of_from_the_worker(scope, demand, count):
    # Guards against a job whose refused starts keep a worker from all other jobs.
    cell, again = refuse_start(scope)
    assert again == []
    assert len(submit(cell, make_step(demand=demand), number=2)) == count
    assert starts_at(cell, REFUSAL_BACKOFF_S) == 1 + (1 - count)


def test_an_invalid_order_is_sent_to_no_other_worker_at_once():
    # Guards against a step that is tried on one worker after the other without pause.
    cell, again = refuse_start(RefusalScope.ORDER, workers=3)
    assert again == []
    assert starts_at(cell, REFUSAL_BACKOFF_S) == 1


@pytest.mark.parametrize("scope", [RefusalScope.ROOM, RefusalScope.PERMIT])
def test_a_task_that_one_worker_refused_starts_on_another_one(scope):
    cell, again = refuse_start(scope, workers=3)
    assert len(again) == 1


def test_a_worker_that_refused_two_demands_gets_tasks_below_both():
    cell, _ = refuse_start(RefusalScope.ROOM)
    start, *_ = submit(cell, make_step(demand=Resources(2000, 20)), number=2)
    identity = (start.worker.worker_id, 1, start.task_id, start.run.run)
    reduce(OrderSettled(0.1, *identity, "refused", 1, RefusalScope.ROOM), cell)
    assert not submit(cell, make_step(demand=Resources(2000, 20)), number=3)
    assert not submit(cell, make_step(demand=Resources(4000, 10)), number=4)
    assert submit(cell, make_step(demand=Resources(3000, 10)), number=5)


class RefusingWorker(AnsweringWorker):
    """Gives each start the same answer."""

    answer = StartAnswer.RUNNING

    async def start(self, worker_id, token, order, until_ms):
        return self.answer, clock_ms()


@pytest.mark.parametrize(
    ("answer", "scope"),
    [
        (StartAnswer.RUNNING, None),
        (StartAnswer.REFUSED, RefusalScope.WORKER),
        (StartAnswer.NO_ROOM, RefusalScope.ROOM),
        (StartAnswer.NOT_PERMITTED, RefusalScope.PERMIT),
        (StartAnswer.INVALID, RefusalScope.ORDER),
    ],
)
def test_an_agent_tells_what_a_refusal_speaks_of(answer, scope):
    # Guards against a reason that does not reach the leader.
    async def run():
        worker = RefusingWorker()
        worker.answer = answer
        order = make_start(clock_ms() + 4000)
        return await OrderHandler(make_agent(worker)).start_run(order)

    reply = run_virtually(run())
    is_refused = reply.result == OrderResult.REFUSED
    assert is_refused == (scope is not None)
    assert reply.refusal == scope


@pytest.mark.parametrize("number", [None, 99, *RefusalScope])
def test_the_leader_applies_what_an_agent_tells(number):
    # Guards against agents of other versions, which tell nothing or something new.
    cell = make_cell(make_worker(0))
    (start,) = submit(cell, make_step(demand=LARGE))
    leader = FakeLeader(cell)

    async def refuse(*order):
        return OrderReply(OrderResult.REFUSED, 1000, "", number)

    leader.call = refuse

    async def run():
        OrderSender(leader).perform(start)
        await asyncio.gather(*leader.coroutines)

    asyncio.run(run())
    is_for_all = number in (None, 99, RefusalScope.WORKER)
    assert bool(submit(cell, make_step(demand=SMALL), number=2)) != is_for_all


def test_a_job_without_valid_permits_does_not_delay_others():
    # Guards against refused permits of one step that keep all workers from other jobs
    # again and again.
    others = msgspec.structs.replace(QUEUE, name="others", path_prefix="/others/")

    async def scenario(fleet):
        policy = fleet.policy
        policy.permits_all = True
        limited = msgspec.structs.replace(
            QUEUE, needs_permits=True, permit_timing=policy.timing
        )
        queues = {"q": limited, "others": others}
        fleet.configuration = FleetConfiguration(2, queues)
        leader = next(e.candidate.leader for e in fleet.entries if e.candidate.leader)
        leader.configure(fleet.configuration)
        policy.accepts = lambda worker, order: order.permit == ""
        await fleet.submit(make_job(1, (make_step(count=12),)))
        await fleet.settle(1.0)
        chain = [make_step(depends_on=(n - 1,) if n else ()) for n in range(8)]
        small = make_job(2, chain, queue=others)
        fleet.durations[small.job_id] = 0.1
        await fleet.submit(small)
        await fleet.settle(2.5)
        assert (await fleet.state(small.job_id, 0)).state == "COMPLETED"

    run_scenario(scenario, agents=3)


def test_a_job_whose_starts_were_all_refused_has_not_begun():
    # Guards against jobs that are missing from the number of those that wait.
    cell, _ = refuse_start(RefusalScope.WORKER)
    [job] = cell.jobs_by_id.values()
    assert job.state is JobState.QUEUED
    [start] = reduce(CellTick(REFUSAL_BACKOFF_S, 0), cell)
    assert job.state is JobState.QUEUED
    identity = (start.worker.worker_id, 1, start.task_id, start.run.run)
    reduce(OrderSettled(0.6, *identity, "confirmed", 1), cell)
    assert job.state is JobState.RUNNING
