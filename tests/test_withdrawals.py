"""Starts on their way when an end arrives that forbids them."""

from dataclasses import replace

import pytest

from dotterelspread.jobs.agentreport import EndedRun, RunEnd
from dotterelspread.jobs.cell import (
    AcknowledgeEnds,
    Cancelled,
    CellTick,
    OrderSettled,
    StopRun,
)
from dotterelspread.jobs.handlers import reduce
from dotterelspread.jobs.incarnations import remove_worker
from dotterelspread.jobs.job import JobState
from dotterelspread.jobs.reportedeffects import StartWithdrawn
from dotterelspread.jobs.spec import task_id_of
from dotterelspread.jobs.withdrawals import MAX_ORDER_AGE_S
from tests.builders_cell import make_cell, make_report, make_worker, submit
from tests.builders_fleet import make_job, make_step

JOB_ID = make_job(1).job_id
END_S = 3.0


def task_id(index=0):
    return task_id_of(JOB_ID, (0, 0, index))


def report_end(cell, now_s, index=0):
    """Report the end of run 1 of a task on the returned worker 0."""
    end = EndedRun(1, task_id(index), 1, RunEnd.COMPLETED, "")
    event = make_report(0, now_s)
    report = replace(event.report, born_ms=2, ended=(end,))
    return reduce(replace(event, wall_ms=1, report=report), cell)


def settle(cell, result, clock_ms=0, is_stop=False, now_s=END_S + 0.2):
    event = OrderSettled(
        now_s, "i-1", 1, task_id(), 2, result, clock_ms, is_stop=is_stop
    )
    return reduce(event, cell)


def acknowledged(effects):
    return [e.number for e in effects if isinstance(e, AcknowledgeEnds)]


def make_cell_with_start_under_way(**changes):
    """Return a cell whose tasks have run 2 ordered on worker 1; run 1 was lost."""
    cell = make_cell(make_worker(0))
    submit(cell, make_step(**changes))
    remove_worker(cell, cell.workers_by_id["i-0"], 1.0)
    reduce(make_report(1, 1.5), cell)
    assert cell.workers_by_id["i-1"].runs_by_task[task_id()].is_start_in_flight
    return cell


def test_an_end_stops_the_other_run_though_its_start_is_not_answered():
    # Guards against a start over a second after the end of an earlier run was noted:
    # its agent went on with its attempts, since no stop was sent before they were over.
    effects = report_end(make_cell_with_start_under_way(), END_S)
    assert [e.run.run for e in effects if isinstance(e, StopRun)] == [2]
    assert StartWithdrawn in [type(effect) for effect in effects]


@pytest.mark.parametrize(
    ("result", "clock_ms", "is_stop"),
    [
        ("confirmed", 3100, False),
        ("refused", 3100, False),
        ("unsent", 0, False),
        ("unknown", 3100, False),
        ("confirmed", 3100, True),
        ("gone", 3100, True),
    ],
)
def test_an_end_waits_until_an_answer_rules_out_the_start(result, clock_ms, is_stop):
    # Guards against a job that is shown as complete while a task of it may yet start.
    cell = make_cell_with_start_under_way()
    job = cell.jobs_by_id[JOB_ID]
    assert acknowledged(report_end(cell, END_S)) == [0]
    assert (job.state, job.is_open) == (JobState.RUNNING, False)
    cell.dirty_job_ids.clear()
    settle(cell, result, clock_ms, is_stop)
    assert job.state == JobState.COMPLETED
    assert JOB_ID in cell.dirty_job_ids
    assert acknowledged(report_end(cell, END_S + 0.3)) == [1]


@pytest.mark.parametrize("is_stop", [False, True])
def test_an_end_waits_no_longer_than_an_order_is_valid(is_stop):
    # An agent that is paused or cut off answers neither the start nor the stop.
    cell = make_cell_with_start_under_way()
    job = cell.jobs_by_id[JOB_ID]
    report_end(cell, END_S)
    settle(cell, "unknown", is_stop=is_stop)
    over_s = END_S + MAX_ORDER_AGE_S
    reduce(CellTick(over_s - 0.1, 1), cell)
    assert job.state == JobState.RUNNING
    assert acknowledged(report_end(cell, over_s - 0.1)) == [0]
    reduce(CellTick(over_s, 1), cell)
    assert job.state == JobState.COMPLETED
    assert acknowledged(report_end(cell, over_s)) == [1]


def test_an_end_waits_for_a_start_whose_order_was_lost():
    # The connection to the agent was lost, but the order may have reached it.
    cell = make_cell_with_start_under_way()
    settle(cell, "unknown", now_s=END_S - 0.1)
    assert acknowledged(report_end(cell, END_S)) == [0]
    assert cell.jobs_by_id[JOB_ID].state == JobState.RUNNING


def test_the_end_of_one_member_waits_for_the_starts_of_the_whole_gang():
    cell = make_cell_with_start_under_way(count=2, is_gang=True)
    report_end(cell, END_S, index=1)
    settle(cell, "confirmed", 3100, is_stop=True)
    job = cell.jobs_by_id[JOB_ID]
    assert [w.run.key[2] for w in job.withdrawals] == [1]
    assert job.state == JobState.RUNNING


def test_an_end_does_not_wait_if_no_start_is_under_way():
    cell = make_cell_with_start_under_way()
    settle(cell, "confirmed", 2000, now_s=2.0)
    assert acknowledged(report_end(cell, END_S)) == [1]
    assert cell.jobs_by_id[JOB_ID].state == JobState.COMPLETED


def test_a_cancel_stops_a_run_though_its_start_is_not_answered():
    # Guards against tasks of a cancelled job that start seconds later.
    cell = make_cell_with_start_under_way()
    effects = reduce(Cancelled(END_S, JOB_ID, 1), cell)
    assert [e.run.run for e in effects if isinstance(e, StopRun)] == [2]
