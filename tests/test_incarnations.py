"""Tasks of workers that start again under their id, and of those that move."""

from dataclasses import replace

import pytest

from dotterelspread.jobs.agentreport import EndedRun, RunEnd, RunningTask
from dotterelspread.jobs.cell import OrderSettled, StartRun, StopRun
from dotterelspread.jobs.handlers import reduce
from dotterelspread.jobs.incarnations import adopt_assigned
from dotterelspread.jobs.spec import task_id_of
from tests.builders_cell import make_cell, make_report, make_worker, submit
from tests.builders_fleet import make_job, make_step
from tests.cellchecker import find_violations

SERVICE = make_step(is_service=True, target_ms=100, image="s")
TASK_ID = task_id_of(make_job(1).job_id, (0, 0, 0))
RUNNING = RunningTask(TASK_ID, 1, "", 10, 0)


def report(now_s, *running, **changes):
    event = make_report(0, now_s, *running)
    return replace(event, report=replace(event.report, **changes))


def settle(cell, now_s, result="confirmed", born_ms=1):
    event = OrderSettled(now_s, "i-0", born_ms, TASK_ID, 1, result, int(now_s * 1000))
    return reduce(event, cell)


def test_a_run_whose_order_is_under_way_is_not_started_twice_in_an_incarnation():
    cell = make_cell(make_worker(0))
    submit(cell, SERVICE)
    reduce(make_report(1, 0.5), cell)
    # A first attempt has started the run; the agent may repeat it in the new life.
    reduce(report(1.0, RUNNING), cell)
    effects = reduce(report(2.0, born_ms=2), cell)
    assert not [e for e in effects if isinstance(e, StartRun)]
    assert not find_violations(cell)


def test_a_worker_whose_clock_was_set_back_is_heard_in_its_new_incarnation():
    cell = make_cell()
    reduce(report(0.0, born_ms=9), cell)
    submit(cell, SERVICE)
    reduce(report(1.0, RUNNING, born_ms=9), cell)
    settle(cell, 1.0, born_ms=9)
    reduce(report(2.0, born_ms=5), cell)
    assert cell.workers_by_id["i-0"].born_ms == 5
    assert not find_violations(cell)


def test_a_report_of_an_earlier_incarnation_at_another_address_is_ignored():
    cell = make_cell()
    reduce(report(0.0, born_ms=9), cell)
    submit(cell, SERVICE)
    reduce(report(2.0, born_ms=5, agent_address="agent9:1"), cell)
    assert cell.workers_by_id["i-0"].born_ms == 9
    assert cell.workers_by_id["i-0"].agent_address == "agent0:1"


def test_tasks_recorded_in_two_incarnations_of_a_worker_are_all_adopted():
    cell = make_cell(make_worker(0))
    submit(cell, SERVICE, number=1)
    submit(cell, SERVICE, number=2)
    # An append held only one of the two jobs when its leader died.
    first, second = cell.jobs_by_id.values()
    first.tasks_by_key[0, 0, 0].born_ms = 2
    cell.workers_by_id.clear()
    for job in (first, second):
        adopt_assigned(cell, job, {}, lambda worker_id: 20.0, 0.0)
    assert not find_violations(cell)


@pytest.mark.parametrize("recorded_first", [True, False])
def test_a_crash_that_only_some_records_tell_of_counts_no_more_than_once(
    recorded_first,
):
    cell = make_cell(make_worker(0))
    submit(cell, make_step(), number=1)
    submit(cell, make_step(), number=2)
    # The leader died after the first of two appends of the new incarnation.
    jobs = list(cell.jobs_by_id.values())
    tasks = [job.tasks_by_key[0, 0, 0] for job in jobs]
    recorded = tasks[0 if recorded_first else 1]
    recorded.born_ms, recorded.crashes = 2, 1
    cell.workers_by_id.clear()
    for job in jobs:
        adopt_assigned(cell, job, {}, lambda worker_id: 20.0, 0.0)
    reduce(report(1.0, born_ms=2), cell)
    # Tasks whose records do not tell of it may be left out.
    assert recorded.crashes == 1
    assert max(task.crashes for task in tasks) == 1
    assert not find_violations(cell)


def test_a_worker_that_moves_is_recorded_at_its_new_address():
    cell = make_cell(make_worker(0))
    cell.dirty_worker_ids.clear()
    reduce(report(1.0, agent_address="agent9:1"), cell)
    assert cell.dirty_worker_ids == {"i-0"}


def test_a_task_with_a_stale_run_starts_only_after_the_end_of_that():
    cell = make_cell(make_worker(0))
    cell.workers_by_id["i-0"].is_reachable = False
    submit(cell, SERVICE)
    # A late start of a run that the leader gave up is executed in a new life.
    effects = reduce(report(1.0, RUNNING), cell)
    assert [type(effect) for effect in effects] == [StopRun]
    assert reduce(make_report(1, 1.5), cell) == []
    assert not find_violations(cell)
    end = EndedRun(1, TASK_ID, 1, RunEnd.STOPPED, "")
    effects = reduce(report(2.0, ended=(end,)), cell)
    assert StartRun in [type(effect) for effect in effects]
    assert not find_violations(cell)


def test_a_stale_run_in_the_last_lists_of_a_silent_worker_delays_no_start():
    cell = make_cell()
    submit(cell, SERVICE)
    reduce(report(1.0, RUNNING, is_reachable=False), cell)
    effects = reduce(make_report(1, 1.5), cell)
    assert [type(effect) for effect in effects] == [StartRun]
    assert not find_violations(cell)
