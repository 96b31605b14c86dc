"""Tests of which runs are stopped to restart on another worker."""

from dotterelspread.jobs.handlers import reduce
from dotterelspread.jobs.stragglers import FILLER_STALL_TIMEOUT_S, move_stragglers
from dotterelspread.jobs.worker import RunningTask, RunStopReason
from dotterelspread.resources import Resources
from tests.builders_cell import make_cell, make_report, make_worker, submit
from tests.builders_fleet import make_step


def test_a_stalled_filler_moves_to_a_worker_with_idle_processors():
    cell = make_cell(make_worker(0))
    step = make_step(is_filler=True, image="f", demand=Resources(4000, 10))
    (start,) = submit(cell, step)
    run = start.run
    run.is_order_in_flight = False
    run.is_confirmed = run.is_listed = True
    elapsed_s = FILLER_STALL_TIMEOUT_S + 1
    assert move_stragglers(cell, elapsed_s) == []
    cell.workers_by_id["i-1"] = make_worker(1)
    (stop,) = move_stragglers(cell, elapsed_s)
    assert stop.run is run


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
    run.is_order_in_flight = False
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
