"""Which runs are stopped so that they go on elsewhere."""

from dotterelspread.jobs.handlers import reduce
from dotterelspread.jobs.stragglers import FILLER_STALL_TIMEOUT_S, move_stragglers
from dotterelspread.jobs.worker import RunningTask, RunStopReason
from dotterelspread.resources import Resources
from tests.builders_cell import make_cell, make_report, make_worker, submit
from tests.builders_fleet import make_step


def test_a_filler_that_stands_still_goes_to_a_worker_where_it_would_run():
    cell = make_cell(make_worker(0))
    step = make_step(is_filler=True, image="f", demand=Resources(4000, 10))
    (start,) = submit(cell, step)
    run = start.run
    run.is_order_in_flight = False
    run.is_confirmed = run.is_listed = True
    late_s = FILLER_STALL_TIMEOUT_S + 1
    assert move_stragglers(cell, late_s) == []
    cell.workers_by_id["i-1"] = make_worker(1)
    (stop,) = move_stragglers(cell, late_s)
    assert stop.run is run


def play_filler(cell, whole_s, pace_at, worked_s=0.0):
    """Report a filler's progress twice a second until it is moved or done.

    Parameters
    ----------
    cell : Cell
        With one worker; a free one comes with the first report.
    whole_s : float
        How long the filler takes at full speed.
    pace_at : callable
        Returns the percent of its speed that it works at after so many seconds.
    worked_s : float
        What of that it has done when it is first reported.

    Returns
    -------
    late_s : float
    stops : list of StopRun
    """
    step = make_step(is_filler=True, image="f", demand=Resources(2000, 100))
    (start,) = submit(cell, step)
    run = start.run
    run.is_order_in_flight = False
    cell.workers_by_id["i-1"] = make_worker(1)
    late_s = 0.0
    while worked_s < whole_s:
        pace = pace_at(late_s)
        percent = int(100 * worked_s / whole_s)
        row = RunningTask(start.task_id, run.run, "", percent, 20 * pace, pace)
        reduce(make_report(0, late_s, row), cell)
        stops = move_stragglers(cell, late_s)
        if stops:
            return late_s, stops
        worked_s += 0.5 * pace / 100
        late_s += 0.5
    return late_s, []


def test_a_filler_that_crawls_for_long_goes_where_it_runs_at_full_speed():
    cell = make_cell(make_worker(0))
    # It gets a little all the time, so it never stands still.
    late_s, (stop,) = play_filler(cell, 5.0, lambda late_s: 10)
    assert stop.run.stop_reason == RunStopReason.STRAGGLER
    assert 8 <= late_s <= 9


def test_a_filler_that_has_come_to_a_crawl_goes_where_it_runs_at_full_speed():
    cell = make_cell(make_worker(0))
    late_s, (stop,) = play_filler(cell, 20.0, lambda late_s: 100 if late_s < 6 else 5)
    assert stop.run.stop_reason == RunStopReason.STRAGGLER
    assert 8 <= late_s <= 16


def test_a_starved_filler_is_moved_also_by_a_leader_that_did_not_see_it_begin():
    cell = make_cell(make_worker(0))
    late_s, (stop,) = play_filler(cell, 20.0, lambda late_s: 10, worked_s=10.0)
    assert stop.run.stop_reason == RunStopReason.STRAGGLER
    assert 8 <= late_s <= 9


def test_a_filler_that_has_much_to_do_and_does_it_stays():
    cell = make_cell(make_worker(0))
    assert play_filler(cell, 30.0, lambda late_s: 100)[1] == []


def test_a_filler_that_waited_first_and_works_now_stays():
    cell = make_cell(make_worker(0))
    assert play_filler(cell, 20.0, lambda late_s: 0 if late_s < 3 else 100)[1] == []


def test_a_filler_that_is_slow_but_soon_done_stays():
    cell = make_cell(make_worker(0))
    assert play_filler(cell, 4.0, lambda late_s: 100 if late_s < 2 else 25)[1] == []
