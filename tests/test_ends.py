"""Ends of runs that are not the latest ones of their tasks."""

from dataclasses import replace

import pytest

from dotterelspread.jobs.agentreport import EndedRun, RunEnd, RunningTask
from dotterelspread.jobs.cell import OrderSettled, StartRun, StopRun
from dotterelspread.jobs.handlers import reduce
from dotterelspread.jobs.incarnations import remove_worker
from dotterelspread.jobs.job import JobState, Phase
from dotterelspread.jobs.spec import task_id_of
from tests.builders_cell import make_cell, make_report, make_worker, submit
from tests.builders_fleet import make_job, make_step
from tests.cellchecker import find_violations

JOB_ID = make_job(1).job_id
KEY = (0, 0, 0)
TASK_ID = task_id_of(JOB_ID, KEY)


def report(number, now_s, *running, **changes):
    event = make_report(number, now_s, *running)
    return replace(event, wall_ms=1, report=replace(event.report, **changes))


def make_cell_with_second_run():
    """Return a cell whose task has run 2 on worker 1, since worker 0 was given up."""
    cell = make_cell(make_worker(0))
    submit(cell, make_step())
    remove_worker(cell, cell.workers_by_id["i-0"], 1.0)
    reduce(report(1, 1.5), cell)
    task = cell.jobs_by_id[JOB_ID].tasks_by_key[KEY]
    assert (task.phase, task.run) == (Phase.ASSIGNED, 2)
    return cell


@pytest.mark.parametrize("is_listed", [False, True])
def test_a_task_that_an_earlier_run_completes_is_not_started_again(is_listed):
    # A late start of run 1 is executed on the next incarnation, and ends there.
    cell = make_cell_with_second_run()
    if is_listed:
        reduce(report(0, 2.5, RunningTask(TASK_ID, 1, "", 10, 0), born_ms=2), cell)
    end = EndedRun(1, TASK_ID, 1, RunEnd.COMPLETED, "")
    effects = reduce(report(0, 3.0, born_ms=2, ended=(end,)), cell)
    assert StartRun not in [type(effect) for effect in effects]
    job = cell.jobs_by_id[JOB_ID]
    assert (job.tasks_by_key[KEY].phase, job.is_open) == (Phase.COMPLETED, False)
    # The start of the second run may be under way.
    assert job.state == JobState.RUNNING
    reduce(OrderSettled(3.05, "i-1", 1, TASK_ID, 2, "confirmed", 3050), cell)
    assert job.state == JobState.COMPLETED
    later = RunningTask(TASK_ID, 2, "", 10, 0)
    effects = reduce(report(1, 3.1, later, listed_ms=3100), cell)
    (run,) = cell.workers_by_id["i-1"].runs_by_task.values()
    assert run.is_stop_requested
    assert not find_violations(cell)


def test_a_task_whose_stale_run_completes_before_its_stop_is_not_started_again():
    cell = make_cell(make_worker(0))
    submit(cell, make_step())
    remove_worker(cell, cell.workers_by_id["i-0"], 1.0)
    reduce(report(0, 2.0, RunningTask(TASK_ID, 1, "", 10, 0), born_ms=2), cell)
    end = EndedRun(1, TASK_ID, 1, RunEnd.COMPLETED, "")
    effects = reduce(report(0, 3.0, born_ms=2, ended=(end,)), cell)
    assert StartRun not in [type(effect) for effect in effects]
    assert cell.jobs_by_id[JOB_ID].state == JobState.COMPLETED


@pytest.mark.parametrize(
    ("run", "how"),
    [(1, RunEnd.STOPPED), (1, RunEnd.FAILED), (3, RunEnd.COMPLETED)],
)
def test_other_ends_of_other_runs_do_not_complete_a_task(run, how):
    cell = make_cell_with_second_run()
    end = EndedRun(1, TASK_ID, run, how, "")
    reduce(report(0, 3.0, born_ms=2, ended=(end,)), cell)
    task = cell.jobs_by_id[JOB_ID].tasks_by_key[KEY]
    assert (task.phase, task.run) == (Phase.ASSIGNED, 2)
    assert StopRun not in [type(e) for e in reduce(report(1, 3.1), cell)]
