"""Evacuated data centres in the leader's decisions, the agent and the follower."""

import asyncio
import random
from dataclasses import replace

import msgspec
import pytest

from dotterelspread.gen.peer.ttypes import OrderResult, StartOrder, WatchQuery
from dotterelspread.jobs import clock
from dotterelspread.jobs.agentpart import Agent
from dotterelspread.jobs.agentreport import RunningTask
from dotterelspread.jobs.cell import (
    CellTick,
    Evacuated,
    StartRun,
    StopRun,
)
from dotterelspread.jobs.configurationfollower import ConfigurationFollower
from dotterelspread.jobs.evacuation import RESTORE_DELAY_S, EvacuatedDataCentres
from dotterelspread.jobs.handlers import reduce
from dotterelspread.jobs.incarnations import adopt_assigned
from dotterelspread.jobs.job import Job
from dotterelspread.jobs.journal import KeyedRecord
from dotterelspread.jobs.orderhandler import OrderHandler
from dotterelspread.jobs.permits import AskPermits
from dotterelspread.jobs.queues import PermitTiming
from dotterelspread.jobs.repeating import ADOPTED_LISTING_DELAY_S
from dotterelspread.jobs.submitting import add_job
from dotterelspread.jobs.workeradapter import Listing, StartAnswer, WorkerAdapter
from dotterelspread.platform.configuration import (
    CONFIGURATION_KEY,
    CONFIGURATION_STREAM,
    ConfigurationFormatError,
    read_configuration,
)
from dotterelspread.platform.evacuations import read_evacuated_data_centre
from dotterelspread.resources import Resources
from tests.builders_agent import HEARTBEAT
from tests.builders_cell import (
    make_cell,
    make_report,
    make_worker,
    settle_order,
    submit,
    workers_of,
)
from tests.builders_fleet import QUEUE, make_job, make_step
from tests.builders_store import VirtualStore
from tests.test_ordersending import FakeLeader, OrderSender
from tests.virtualloop import run_virtually

NORTH, SOUTH = "north", "south"
LEASE_MS = 4000


def make_pair(**changes):
    """Return a cell with one worker in the north and one in the south."""
    return make_cell(
        make_worker(0, data_centre=NORTH), make_worker(1, data_centre=SOUTH, **changes)
    )


def evacuate(cell, *names, now_s=0.0):
    return reduce(Evacuated(now_s, frozenset(names)), cell)


def orders_of(effects):
    return [
        (type(effect), effect.worker.worker_id)
        for effect in effects
        if isinstance(effect, (StartRun, StopRun))
    ]


@pytest.mark.parametrize("is_serving", [False, True])
def test_nothing_is_placed_in_an_evacuated_data_centre(is_serving):
    cell = make_pair()
    evacuate(cell, SOUTH)
    changes = {"is_service": True, "target_ms": 20} if is_serving else {}
    starts = submit(cell, make_step(count=12, **changes))
    assert set(workers_of(starts)) == {"i-0"}
    assert len(starts) == 8


def test_a_worker_that_reports_later_is_evacuated_too():
    cell = make_cell()
    evacuate(cell, SOUTH)
    submit(cell, make_step())
    event = make_report(0, 1.0)
    report = replace(event.report, data_centre=SOUTH)
    assert orders_of(reduce(replace(event, report=report), cell)) == []
    assert cell.workers_by_id["i-0"].is_evacuated
    assert orders_of(reduce(CellTick(2.0, 0), cell)) == []


def test_a_restored_data_centre_is_used_once_its_agents_know():
    cell = make_pair()
    evacuate(cell, SOUTH)
    submit(cell, make_step(count=12))
    assert orders_of(evacuate(cell, now_s=1.0)) == []
    assert orders_of(reduce(CellTick(1.0 + RESTORE_DELAY_S / 2, 0), cell)) == []
    starts = reduce(CellTick(1.0 + RESTORE_DELAY_S, 0), cell)
    assert orders_of(starts) == [(StartRun, "i-1")] * 4


def test_a_start_without_an_answer_is_stopped_and_goes_elsewhere():
    cell = make_pair()
    cell.workers_by_id["i-0"].is_draining = True
    (start,) = submit(cell, make_step())
    settle_order(cell, start, "unknown")
    cell.workers_by_id["i-0"].is_draining = False
    evacuate(cell, SOUTH, now_s=0.2)
    (stop,) = reduce(CellTick(1.0, 0), cell)
    assert orders_of([stop]) == [(StopRun, "i-1")]
    # The worker may still run it until a list without it was requested after the stop.
    assert orders_of(settle_order(cell, stop, "confirmed", 1.1, 1100)) == []
    event = make_report(1, 1.3)
    event = replace(event, report=replace(event.report, data_centre=SOUTH))
    reduce(event, cell)
    assert orders_of(reduce(CellTick(1.4, 0), cell)) == [(StartRun, "i-0")]


def test_a_start_that_was_never_sent_goes_elsewhere_at_once():
    cell = make_pair()
    cell.workers_by_id["i-0"].is_draining = True
    (start,) = submit(cell, make_step())
    cell.workers_by_id["i-0"].is_draining = False
    evacuate(cell, SOUTH)
    assert orders_of(settle_order(cell, start, "unsent")) == [(StartRun, "i-0")]


def test_a_repeated_start_that_is_withheld_is_stopped_first():
    cell = make_pair()
    cell.workers_by_id["i-0"].is_draining = True
    (start,) = submit(cell, make_step())
    settle_order(cell, start, "unknown")
    (again,) = reduce(CellTick(1.0, 0), cell)
    cell.workers_by_id["i-0"].is_draining = False
    evacuate(cell, SOUTH, now_s=1.0)
    assert orders_of(settle_order(cell, again, "unsent", 1.1)) == []
    assert orders_of(reduce(CellTick(2.0, 0), cell)) == [(StopRun, "i-1")]


def test_a_start_is_not_sent_once_the_evacuation_is_known():
    cell = make_cell(make_worker(0, data_centre=SOUTH))
    (start,) = submit(cell, make_step())
    evacuate(cell, SOUTH)
    leader = FakeLeader(cell)
    OrderSender(leader).perform(start)

    async def run():
        await asyncio.gather(*leader.coroutines)

    asyncio.run(run())
    assert leader.calls == []
    assert cell.is_ready(cell.jobs_by_id[start.run.job_id], start.run.key)


def test_a_confirmed_run_is_neither_stopped_nor_moved():
    cell = make_cell(make_worker(0, data_centre=SOUTH))
    (start,) = submit(cell, make_step())
    settle_order(cell, start, "confirmed")
    evacuate(cell, SOUTH)
    for number in range(20):
        assert orders_of(reduce(CellTick(1.0 + 0.1 * number, 0), cell)) == []


def test_an_adopted_run_is_stopped_only_if_newer_lists_omit_it():
    cell = make_cell()
    cell.placing_start_s = 100.0
    evacuate(cell, SOUTH)
    job = Job.from_spec(make_job(1, (make_step(count=2),)), 0.0)
    for key in job.tasks_by_key:
        job.assign(key, make_worker(0), 1)
    add_job(cell, job, 0)
    adopt_assigned(cell, job, {"i-0": "agent0:1"}, lambda worker_id: 200.0, 100.0)

    def report(now_s, *running):
        event = make_report(0, now_s, *running)
        return reduce(
            replace(event, report=replace(event.report, data_centre=SOUTH)), cell
        )

    # This list is older than a start of the earlier leader.
    report(100.1)
    assert orders_of(reduce(CellTick(100.2, 0), cell)) == []
    first = job.task_id((0, 0, 0))
    report(100.8, RunningTask(first, 1, "", 5, 0))
    late_s = 100.0 + ADOPTED_LISTING_DELAY_S
    (stop,) = reduce(CellTick(late_s, 0), cell)
    assert isinstance(stop, StopRun) and stop.task_id != first


def test_a_gang_does_not_straddle_into_an_evacuated_data_centre():
    cell = make_pair()
    evacuate(cell, SOUTH)
    step = make_step(count=10, is_gang=True)
    assert submit(cell, step) == []
    assert len(evacuate(cell, now_s=1.0) + reduce(CellTick(2.0, 0), cell)) == 10


def test_permits_are_not_asked_for_evacuated_workers_nor_used_there():
    timing = PermitTiming(40, 2, 1500)
    queue = msgspec.structs.replace(QUEUE, needs_permits=True, permit_timing=timing)
    cell = make_cell(
        make_worker(0, data_centre=NORTH),
        make_worker(1, data_centre=SOUTH),
        queues=(queue,),
    )
    evacuate(cell, SOUTH)
    (ask,) = submit(cell, make_step(), queue=queue)
    assert isinstance(ask, AskPermits)
    assert set(ask.born_ms_by_worker) == {"i-0"}


def test_jobs_that_only_evacuated_workers_could_run_wait():
    cell = make_pair(capacity=Resources(64_000, 64_000))
    evacuate(cell, SOUTH)
    assert submit(cell, make_step(demand=Resources(32_000, 10))) == []
    evacuate(cell, now_s=1.0)
    starts = reduce(CellTick(2.0, 0), cell)
    assert orders_of(starts) == [(StartRun, "i-1")]


# The agent.


class RecordingWorker(WorkerAdapter):
    """Records orders; replies to starts with the given answers in turn."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.orders = []

    async def start(self, worker_id, token, order, until_ms):
        self.orders.append("start")
        answer = self.answers.pop(0) if self.answers else StartAnswer.RUNNING
        return answer, int(clock.now_s() * 1000)

    async def stop(self, worker_id, token, order):
        self.orders.append("stop")
        return StartAnswer.RUNNING, int(clock.now_s() * 1000)


def make_agent(worker):
    agent = Agent(worker, LEASE_MS, lambda: int(clock.now_s() * 1000))
    agent.announce(HEARTBEAT)
    now_ms = agent.clock_ms()
    agent.apply_listing(Listing(HEARTBEAT.born_ms, now_ms, (), ()), now_ms)
    return agent


def make_order(agent, **changes):
    values = {
        "epoch": 1,
        "worker_id": HEARTBEAT.worker_id,
        "born_ms": HEARTBEAT.born_ms,
        "task_id": "t",
        "run": 1,
        "program": "p",
        "checkpoint": "",
        "grant_until_ms": agent.clock_ms() + LEASE_MS,
        "repeat": False,
    }
    return StartOrder(**(values | changes))


async def watch(agent, evacuated, version=1, epoch=1):
    query = WatchQuery(epoch, version, 0, 0, 0, 0, [], [], evacuated)
    await agent.watch(query)


def run_agent_order(*statements, answers=(), **changes):
    """Return the reply to a start after these statements of the leader, and the orders.

    Parameters
    ----------
    statements : tuple of dict
        Arguments of `watch`.
    """

    async def run():
        worker = RecordingWorker(*answers)
        agent = make_agent(worker)
        for statement in statements:
            await watch(agent, **statement)
        reply = await OrderHandler(agent).start_run(make_order(agent, **changes))
        return reply.result, worker.orders

    return run_virtually(run())


def test_an_agent_refuses_starts_once_it_knows_of_the_evacuation():
    result, orders = run_agent_order({"evacuated": True})
    assert (result, orders) == (OrderResult.REFUSED, [])


def test_an_agent_rules_out_an_earlier_attempt_before_it_refuses():
    result, orders = run_agent_order({"evacuated": True}, repeat=True)
    assert (result, orders) == (OrderResult.CONFIRMED, ["stop"])


def test_an_agent_accepts_starts_after_the_evacuation():
    statements = ({"evacuated": True}, {"evacuated": False})
    assert run_agent_order(*statements)[0] == OrderResult.CONFIRMED


def test_an_agent_keeps_what_it_knows_while_the_leader_does_not_know_its_worker():
    statements = ({"evacuated": True}, {"evacuated": None, "version": 0, "epoch": 2})
    assert run_agent_order(*statements, epoch=2)[0] == OrderResult.REFUSED


def test_an_agent_follows_a_later_leader_that_states_nothing():
    # A leader of an earlier version would get refusals for good otherwise.
    statements = ({"evacuated": True}, {"evacuated": None, "epoch": 2})
    assert run_agent_order(*statements, epoch=2)[0] == OrderResult.CONFIRMED


def test_an_agent_ignores_what_an_earlier_leader_says():
    statements = ({"evacuated": True, "epoch": 3}, {"evacuated": False, "epoch": 2})
    assert run_agent_order(*statements, epoch=3)[0] == OrderResult.REFUSED


def test_an_order_is_not_sent_to_the_worker_after_its_limit():
    async def run():
        worker = RecordingWorker()
        agent = make_agent(worker)
        order = make_order(agent, send_until_ms=agent.clock_ms() + 500)
        await asyncio.sleep(0.6)
        reply = await OrderHandler(agent).start_run(order)
        assert (reply.result, worker.orders) == (OrderResult.UNKNOWN, [])

    run_virtually(run())


def test_an_order_is_not_repeated_on_the_worker_after_the_evacuation():
    async def run():
        agent = make_agent(RecordingWorker())

        async def start(worker_id, token, order, until_ms):
            agent.adapter.orders.append("start")
            await watch(agent, evacuated=True)
            return StartAnswer.EXPIRED, 0

        agent.adapter.start = start
        reply = await OrderHandler(agent).start_run(make_order(agent))
        assert reply.result == OrderResult.REFUSED
        assert agent.adapter.orders == ["start"]

    run_virtually(run())


# The follower of the operators' stream.


@pytest.mark.parametrize(
    ("key", "name"),
    [
        ("evacuate/dc-1", "dc-1"),
        ("evacuate/a/b", "a/b"),
        ("evacuate/", ""),
        ("evacuate/" + "x" * 257, ""),
        ("config", ""),
        ("Evacuate/dc-1", ""),
    ],
)
def test_keys_of_evacuations_are_recognised(key, name):
    assert read_evacuated_data_centre(key) == name


def follow(*batches):
    """Return the changes that a follower announces for batches of (name, value)."""

    async def run():
        store = VirtualStore(random.Random(1))
        records = store.stream(CONFIGURATION_STREAM).records
        changes = []
        evacuations = EvacuatedDataCentres(read_evacuated_data_centre, changes.append)
        follower = ConfigurationFollower(
            store.journal("a"),
            CONFIGURATION_STREAM,
            CONFIGURATION_KEY,
            read_configuration,
            ConfigurationFormatError,
            lambda configuration: None,
            evacuations,
        )
        loop = asyncio.ensure_future(follower.run())
        for batch in batches:
            for key, value in batch:
                records.append(KeyedRecord(key, value))
            await asyncio.sleep(0.3)
            assert evacuations.age_s < 1.0
        await asyncio.sleep(10)
        assert evacuations.age_s < 2.2
        store.mode_by_node["*"] = "silent"
        await asyncio.sleep(10)
        assert evacuations.age_s > 7
        loop.cancel()
        return [sorted(names) for names in changes]

    return run_virtually(run())


def test_the_follower_applies_changes_in_order():
    first, second = f"evacuate/{NORTH}", f"evacuate/{SOUTH}"
    changes = follow(
        [(first, b"{}")],
        [("config", b"not JSON"), ("other/x", b"{}")],
        [(second, b"{}"), (first, b"")],
        [(first, b"{}"), (first, b"")],
        [(second, b"")],
    )
    assert changes == [[NORTH], [SOUTH], []]
