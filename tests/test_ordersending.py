"""Tests of the orders that the leader sends for runs after their commit."""

import asyncio

from dotterelspread.gen.peer.ttypes import OrderReply, OrderResult
from dotterelspread.jobs.cell import Cancelled
from dotterelspread.jobs.handlers import reduce
from dotterelspread.jobs.ordersending import OrderSender
from dotterelspread.jobs.taskrun import RunStopReason
from dotterelspread.resources import Resources
from tests.builders_cell import make_cell, make_worker, submit
from tests.builders_fleet import make_step


class FakeLeader:
    """Leader that records the calls to agents and runs its tasks at once."""

    epoch = 1

    def __init__(self, cell):
        self.cell = cell
        self.links_by_address = {}
        self.pool = self
        self.calls = []
        self.coroutines = []

    async def call(self, address, method, order, timeout_s):
        self.calls.append((method, order.task_id))
        return OrderReply(OrderResult.CONFIRMED, 1000, "")

    def spawn(self, name, run, **fields):
        self.coroutines.append(run())

    def apply(self, event):
        reduce(event, self.cell)


def perform_start(change_worker):
    """Return the calls for a start whose worker changes during its append."""
    cell = make_cell(make_worker(0))
    (start,) = submit(cell, make_step(demand=Resources(4000, 10)))
    change_worker(start.worker)
    leader = FakeLeader(cell)
    OrderSender(leader).perform(start)

    async def run():
        await asyncio.gather(*leader.coroutines)

    asyncio.run(run())
    return leader.calls, start.run


def test_a_start_is_not_sent_to_a_worker_that_shrank_during_the_append():
    calls, run = perform_start(lambda w: w.set_capacity(Resources(2000, 16_000)))
    assert calls == []
    assert not run.is_order_in_flight and not run.is_confirmed


def test_a_start_is_sent_to_a_worker_that_has_kept_its_room():
    calls, run = perform_start(lambda w: w.set_capacity(Resources(4000, 16_000)))
    assert calls == [("start_run", f"{1:016x}.0.0.0")]
    assert run.is_confirmed


def request_stop(worker):
    for run in worker.runs_by_task.values():
        run.stop_reason = RunStopReason.CANCELLED


def test_a_start_whose_stop_is_requested_during_the_append_is_not_sent():
    # The work until the stop would be wasted, and the stop would cost another call.
    calls, run = perform_start(request_stop)
    assert calls == []
    assert not run.is_confirmed


def test_a_run_that_was_never_sent_frees_its_room_when_its_job_is_cancelled():
    cell = make_cell(make_worker(0))
    (start,) = submit(cell, make_step())
    reduce(Cancelled(0.0, start.run.job_id, 0), cell)
    assert start.worker.runs_by_task
    leader = FakeLeader(cell)
    OrderSender(leader).perform(start)
    asyncio.run(leader.coroutines[0])
    assert leader.calls == []
    assert not start.worker.runs_by_task


def test_a_repeated_start_whose_stop_is_requested_keeps_its_room_until_the_stop():
    # An earlier attempt may have reached the worker.
    cell = make_cell(make_worker(0))
    (start,) = submit(cell, make_step())
    start.run.is_repeat = True
    request_stop(start.worker)
    leader = FakeLeader(cell)
    OrderSender(leader).perform(start)
    asyncio.run(leader.coroutines[0])
    assert leader.calls == []
    assert start.task_id in start.worker.runs_by_task
