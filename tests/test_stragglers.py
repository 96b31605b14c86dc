"""Tests of which runs are stopped to restart on another worker."""

import random
import statistics
from dataclasses import replace

import pytest

from dotterelspread.jobs.agentreport import EndedRun, RunEnd, RunningTask
from dotterelspread.jobs.cell import CellTick
from dotterelspread.jobs.handlers import reduce
from dotterelspread.jobs.placement import stragglers
from dotterelspread.jobs.placement.stragglers import (
    FILLER_STALL_TIMEOUT_S,
    STALL_TIMEOUT_S,
    move_stragglers,
)
from dotterelspread.jobs.taskrun import RunStopReason
from dotterelspread.resources import Resources
from tests.builders_cell import make_cell, make_report, make_worker, submit
from tests.builders_fleet import make_step


def start_filler(cell):
    """Start a filler on the only worker of a cell and return its start order."""
    step = make_step(is_filler=True, image="f", demand=Resources(4000, 10))
    (start,) = submit(cell, step)
    start.run.is_start_in_flight = False
    return start


def start_batch_task(cell):
    (start,) = submit(cell, make_step(demand=Resources(4000, 10)))
    start.run.is_start_in_flight = False
    return start


def report_until(cell, start, begin_s, end_s, percent=10):
    """Report twice a second, from the first time on, that a run stands still."""
    now_s = begin_s
    while now_s <= end_s:
        row = RunningTask(start.task_id, start.run.run, "", percent, 0)
        reduce(make_report(0, now_s, row), cell)
        now_s += 0.5


def test_a_stalled_filler_moves_to_a_worker_with_idle_processors():
    cell = make_cell(make_worker(0))
    start = start_filler(cell)
    elapsed_s = FILLER_STALL_TIMEOUT_S + 1
    report_until(cell, start, 0.0, elapsed_s)
    assert move_stragglers(cell, elapsed_s) == []
    cell.workers_by_id["i-1"] = make_worker(1)
    (stop,) = move_stragglers(cell, elapsed_s)
    assert stop.run is start.run


def test_a_long_task_whose_percentage_changes_rarely_stays():
    cell = make_cell(make_worker(0))
    (start,) = submit(cell, make_step(demand=Resources(4000, 10), estimate_ms=900_000))
    start.run.is_start_in_flight = False
    cell.workers_by_id["i-1"] = make_worker(1)
    report_until(cell, start, 0.0, 9.0)
    assert move_stragglers(cell, 9.0) == []
    report_until(cell, start, 9.5, 50.0)
    assert len(move_stragglers(cell, 50.0)) == 1


@pytest.mark.parametrize("start_task", [start_filler, start_batch_task])
def test_a_run_stays_when_the_leader_was_paused(start_task):
    cell = make_cell(make_worker(0))
    start = start_task(cell)
    cell.workers_by_id["i-1"] = make_worker(1)
    report_until(cell, start, 0.0, 1.0)
    # The first tick after a pause comes before the reports that wait meanwhile.
    for now_s in (9.0, 9.1):
        assert reduce(CellTick(now_s, 0), cell) == []
    # A report from the time of the pause that shows the same percentage.
    row = RunningTask(start.task_id, start.run.run, "", 10, 0)
    late = replace(make_report(0, 1.5, row), now_s=9.2, lease_end_s=13.0)
    reduce(late, cell)
    assert move_stragglers(cell, 9.3) == []


@pytest.mark.parametrize("start_task", [start_filler, start_batch_task])
def test_a_run_stays_when_its_worker_was_silent(start_task):
    cell = make_cell(make_worker(0))
    start = start_task(cell)
    cell.workers_by_id["i-1"] = make_worker(1)
    report_until(cell, start, 0.0, 1.0)
    # Worker and agent stood still together, so the run made no progress either.
    report_until(cell, start, 9.0, 9.5)
    assert move_stragglers(cell, 9.5) == []
    report_until(cell, start, 10.0, 16.0)
    (stop,) = move_stragglers(cell, 16.0)
    assert stop.run.stop_reason == RunStopReason.STALLED


def test_a_run_is_no_straggler_for_the_time_of_a_pause():
    cell = make_cell(make_worker(0))
    starts = submit(cell, make_step(count=3))
    for start in starts:
        start.run.is_start_in_flight = False
    job = cell.jobs_by_id[starts[0].run.job_id]
    job.durations_by_step[0, 0] = [1.0, 1.0]
    rows = [RunningTask(start.task_id, 1, "", 20, 0) for start in starts]
    reduce(make_report(0, 0.0, *rows), cell)
    rows = [replace(row, percent=40) for row in rows]
    reduce(make_report(0, 0.3, *rows), cell)
    cell.workers_by_id["i-1"] = make_worker(1)
    assert reduce(CellTick(6.0, 0), cell) == []


def test_stalled_runs_of_one_job_do_not_keep_batch_work_from_all_other_workers():
    cell = make_cell(*(make_worker(number) for number in range(3)))
    starts = submit(cell, make_step(count=3, demand=Resources(5000, 10)))
    for start in starts:
        start.run.is_start_in_flight = False
    cell.workers_by_id["i-3"] = make_worker(3)
    now_s = 0.0
    while now_s <= STALL_TIMEOUT_S + 1:
        for start in starts:
            row = RunningTask(start.task_id, 1, "", 10, 0)
            number = int(start.worker.worker_id.removeprefix("i-"))
            reduce(make_report(number, now_s, row), cell)
        now_s += 0.5
    assert len(move_stragglers(cell, now_s)) == 3
    cooling = [w.cools_down(now_s) for w in cell.workers_by_id.values()]
    assert sum(cooling) == 2


def simulate_filler(cell, full_run_s, pace_at, worked_s=0.0):
    """Report a filler's progress twice a second until it is moved or completes.

    Parameters
    ----------
    cell : Cell
        With one worker; an idle one is added before the first report.
    full_run_s : float
        Run time of the filler at full speed.
    pace_at : callable
        Returns the pace in percent at a time in seconds.
    worked_s : float
        Seconds of that run time already done at the first report.

    Returns
    -------
    elapsed_s : float
    stops : list of StopRun
    """
    step = make_step(is_filler=True, image="f", demand=Resources(2000, 100))
    (start,) = submit(cell, step)
    run = start.run
    run.is_start_in_flight = False
    cell.workers_by_id["i-1"] = make_worker(1)
    elapsed_s = 0.0
    while worked_s < full_run_s:
        pace = pace_at(elapsed_s)
        percent = int(100 * worked_s / full_run_s)
        row = RunningTask(start.task_id, run.run, "", percent, 20 * pace, pace)
        reduce(make_report(0, elapsed_s, row), cell)
        stops = move_stragglers(cell, elapsed_s)
        if stops:
            return elapsed_s, stops
        worked_s += 0.5 * pace / 100
        elapsed_s += 0.5
    return elapsed_s, []


def test_a_filler_that_crawls_for_long_goes_where_it_runs_at_full_speed():
    cell = make_cell(make_worker(0))
    # It makes a little progress all the time, so it never counts as stalled.
    elapsed_s, (stop,) = simulate_filler(cell, 5.0, lambda elapsed_s: 10)
    assert stop.run.stop_reason == RunStopReason.STRAGGLER
    assert 8 <= elapsed_s <= 9


def test_a_filler_that_slows_down_moves_to_an_idle_worker():
    cell = make_cell(make_worker(0))
    elapsed_s, (stop,) = simulate_filler(
        cell, 20.0, lambda elapsed_s: 100 if elapsed_s < 6 else 5
    )
    assert stop.run.stop_reason == RunStopReason.STRAGGLER
    assert 8 <= elapsed_s <= 16


def test_a_new_leader_moves_a_starved_filler_that_started_before_its_term():
    cell = make_cell(make_worker(0))
    elapsed_s, (stop,) = simulate_filler(
        cell, 20.0, lambda elapsed_s: 10, worked_s=10.0
    )
    assert stop.run.stop_reason == RunStopReason.STRAGGLER
    assert 8 <= elapsed_s <= 9


def test_a_filler_that_has_much_to_do_and_does_it_stays():
    cell = make_cell(make_worker(0))
    assert simulate_filler(cell, 30.0, lambda elapsed_s: 100)[1] == []


def test_a_filler_that_was_paused_and_now_runs_stays():
    cell = make_cell(make_worker(0))
    assert (
        simulate_filler(cell, 20.0, lambda elapsed_s: 0 if elapsed_s < 3 else 100)[1]
        == []
    )


def test_a_slow_filler_that_is_almost_done_stays():
    cell = make_cell(make_worker(0))
    assert (
        simulate_filler(cell, 4.0, lambda elapsed_s: 100 if elapsed_s < 2 else 25)[1]
        == []
    )


class CountingList(list):
    """A list that counts how often all its items are looked at."""

    looks = 0

    def __iter__(self):
        self.looks += 1
        return super().__iter__()


def test_a_tick_does_not_look_at_all_run_times_for_each_run():
    # Guards against ticks whose time grows with the running tasks of a step times the
    # completed ones.
    cell = make_cell(make_worker(0))
    starts = submit(cell, make_step(count=8))
    for start in starts:
        start.run.is_start_in_flight = False
    rows = [RunningTask(start.task_id, 1, "", 20, 0) for start in starts]
    reduce(make_report(0, 0.0, *rows), cell)
    [job] = cell.jobs_by_id.values()
    durations = job.durations_by_step[0, 0] = CountingList([0.1, 0.2, 0.3])
    assert move_stragglers(cell, 0.1) == []
    assert durations.looks == 0


def complete_after(cell, starts, run_times_s):
    """Report completions after some run times in seconds."""
    rows = [RunningTask(start.task_id, 1, "", 20, 0) for start in starts]
    reduce(make_report(0, 0.0, *rows), cell)
    for number, (start, run_s) in enumerate(zip(starts, run_times_s, strict=True), 1):
        end = EndedRun(number, start.task_id, 1, RunEnd.COMPLETED, "")
        event = make_report(0, run_s)
        reduce(replace(event, report=replace(event.report, ended=(end,))), cell)


def test_run_times_that_do_not_come_in_order_are_kept_in_order():
    # Guards against a wrong usual run time, by which sound runs would be stopped.
    cell = make_cell(make_worker(0))
    starts = submit(cell, make_step(count=6))
    complete_after(cell, starts[:5], [0.4, 0.1, 0.5, 0.3, 0.2])
    [job] = cell.jobs_by_id.values()
    assert job.durations_by_step[0, 0] == [0.1, 0.2, 0.3, 0.4, 0.5]


@pytest.mark.parametrize("length", [2, 3, 4, 7])
def test_the_usual_run_time_is_the_median(length):
    ordered = sorted(random.Random(length).random() for _ in range(length))
    assert stragglers._median(ordered) == statistics.median(ordered)


def test_few_searches_are_made_for_stalled_runs_that_can_go_nowhere(monkeypatch):
    # Guards against ticks that seek another worker for each of thousands of runs.
    cell = make_cell(make_worker(0, capacity=Resources(32_000, 16_000)))
    starts = submit(cell, make_step(count=300, demand=Resources(100, 10)))
    for start in starts:
        start.run.is_start_in_flight = False
    rows = [RunningTask(start.task_id, 1, "", 20, 0) for start in starts]
    for half_seconds in range(8):
        reduce(make_report(0, half_seconds / 2, *rows), cell)
    searches = []
    choose_worker = stragglers.choose_worker

    def note_search(cell, job, key, *rest):
        searches.append(key)
        return choose_worker(cell, job, key, *rest)

    monkeypatch.setattr(stragglers, "choose_worker", note_search)
    assert move_stragglers(cell, 3.5) == []
    assert len(searches) == stragglers.MAX_FAILED_SEARCHES
    cell.workers_by_id["i-1"] = make_worker(1)
    assert len(move_stragglers(cell, 3.5)) == stragglers.MAX_MOVES_PER_TICK
