"""Crashes of workers that fell silent and were given up."""

from dataclasses import replace

import pytest

from dotterelspread.jobs.agentreport import RunningTask
from dotterelspread.jobs.cell import CellTick, Reported
from dotterelspread.jobs.handlers import reduce
from dotterelspread.jobs.reportedeffects import WorkerCrashed, WorkerReturned
from tests.builders_cell import make_cell, make_report, submit
from tests.builders_fleet import make_job, make_step

JOB_ID = make_job(1).job_id
RUNNING = RunningTask(f"{JOB_ID}.0.0.0", 1, "", 10, 0)


def report(now_s, **changes):
    event = make_report(0, now_s)
    return Reported(now_s, replace(event.report, **changes), 0.0, 0)


def make_cell_after_silence():
    """Return a cell that has given up a silent worker with a run."""
    cell = make_cell()
    reduce(make_report(0, 0.0), cell)
    submit(cell, make_step())
    reduce(make_report(0, 0.1, RUNNING), cell)
    reduce(report(1.0, is_reachable=False), cell)
    reduce(CellTick(10.0, 0), cell)
    assert not cell.workers_by_id
    return cell


def crashes_of(cell):
    (task,) = cell.jobs_by_id[JOB_ID].tasks_by_key.values()
    return task.crashes


def test_no_crash_counts_while_the_worker_stays_silent():
    cell = make_cell_after_silence()
    reduce(report(11.0, is_reachable=False), cell)
    assert crashes_of(cell) == 0
    assert cell.silent_losses_by_agent


@pytest.mark.parametrize(
    "changes",
    [
        {"worker_id": "i-new"},
        {"born_ms": 2},
        {"is_reachable": False, "is_gone": True},
    ],
)
def test_a_crash_counts_once_the_worker_is_known_to_be_gone(changes):
    cell = make_cell_after_silence()
    effects = reduce(report(11.0, **changes), cell)
    assert any(isinstance(effect, WorkerCrashed) for effect in effects)
    reduce(report(12.0, **changes), cell)
    assert crashes_of(cell) == 1


@pytest.mark.parametrize(
    "changes", [{}, {"is_reachable": False, "is_gone": True, "has_left": True}]
)
def test_a_worker_that_answers_again_or_has_left_has_not_crashed(changes):
    cell = make_cell_after_silence()
    effects = reduce(report(11.0, **changes), cell)
    assert any(isinstance(effect, WorkerReturned) for effect in effects)
    assert crashes_of(cell) == 0
    assert not cell.silent_losses_by_agent


def test_the_crash_of_a_worker_that_is_gone_counts_when_it_is_given_up():
    cell = make_cell()
    reduce(make_report(0, 0.0), cell)
    submit(cell, make_step())
    reduce(make_report(0, 0.1, RUNNING), cell)
    reduce(report(1.0, is_reachable=False, is_gone=True), cell)
    reduce(CellTick(10.0, 0), cell)
    assert crashes_of(cell) == 1
    assert not cell.silent_losses_by_agent
