"""Tests of the leader's account of the runs on a worker and of what they reserve."""

from dataclasses import replace

from dotterelspread.jobs.agentreport import EndedRun, RunEnd, RunningTask
from dotterelspread.jobs.cell import Cancelled, CellTick
from dotterelspread.jobs.handlers import reduce
from dotterelspread.resources import Resources
from tests.builders_cell import (
    CAPACITY,
    make_cell,
    make_report,
    make_worker,
    settle_order,
    submit,
)
from tests.builders_fleet import make_step


def refuse(cell, start, now_s):
    return settle_order(cell, start, "refused", now_s, int(now_s * 1000))


def test_a_late_run_of_a_task_that_is_placed_again_leaks_no_reservation():
    cell = make_cell(make_worker(0))
    (first,) = submit(cell, make_step(is_service=True, demand=Resources(2000, 10)))
    refuse(cell, first, 0.1)
    # The refused start runs after all, and the leader has it stopped.
    late = RunningTask(first.task_id, 1, "", 0, 0)
    reduce(make_report(0, 0.3, late), cell)
    reduce(CellTick(0.7, 0), cell)
    end = EndedRun(1, first.task_id, 1, RunEnd.STOPPED, "")
    event = make_report(0, 0.9)
    reduce(replace(event, report=replace(event.report, ended=(end,))), cell)
    reduce(CellTick(1.5, 0), cell)
    worker = cell.workers_by_id["i-0"]
    total = Resources()
    for run in worker.runs_by_task.values():
        total = total + run.reserved
    assert worker.reserved == total
    assert worker.available == CAPACITY - total


def test_a_stopped_run_that_never_ran_is_released_however_late_listings_are():
    cell = make_cell(make_worker(0))
    (start,) = submit(cell, make_step(demand=Resources(8000, 10)))
    settle_order(cell, start, "unknown", 0.1, 0)
    (stop,) = reduce(Cancelled(0.2, start.run.job_id, 0), cell)
    settle_order(cell, stop, "unknown", 0.2, 0)
    # Each listing was requested 0.7 s before it arrives, and stops are retried sooner.
    for tick in range(3, 50):
        now_s = tick / 10
        for stop in reduce(CellTick(now_s, 0), cell):
            settle_order(cell, stop, "confirmed", now_s, tick * 100)
        if tick % 7 == 0:
            reduce(replace(make_report(0, now_s - 0.7), now_s=now_s), cell)
    assert cell.workers_by_id["i-0"].available == CAPACITY
