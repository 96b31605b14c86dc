"""Expected ends of runs, and the capacity that they release."""

import pytest

from dotterelspread.jobs.agentreport import RunningTask
from dotterelspread.jobs.cell import OrderSettled, Submitted
from dotterelspread.jobs.handlers import reduce
from dotterelspread.jobs.lifecycle import stop_run
from dotterelspread.jobs.placement.timeline import (
    add,
    expected_end,
    fits,
    free_now,
    need_of,
    releases_of,
    use_of,
)
from dotterelspread.jobs.taskrun import RunStopReason
from dotterelspread.resources import Resources
from tests.builders_cell import make_cell, make_report, make_worker
from tests.builders_fleet import QUEUE, make_job, make_step

#: Leader's clock at the start; 0 would stand for runs whose start is not known.
BEGIN_S = 100.0


def start_run(cell, step, number=1):
    [start] = reduce(Submitted(BEGIN_S, make_job(number, (step,)), 0), cell)
    settled = OrderSettled(BEGIN_S, "i-0", 1, start.task_id, 1, "confirmed", 1)
    reduce(settled, cell)
    return start


def list_run(cell, start, now_s, percent, pace=100, used=1000):
    row = RunningTask(start.task_id, 1, "", percent, used, pace)
    reduce(make_report(0, BEGIN_S + now_s, row), cell)


def end_of(cell, start, now_s):
    job = cell.jobs_by_id[start.run.job_id]
    end_s, margin_s = expected_end(cell, job, start.run, BEGIN_S + now_s)
    return end_s - BEGIN_S, margin_s


@pytest.fixture
def cell():
    return make_cell(make_worker(0))


def test_a_new_run_ends_after_its_expected_run_time(cell):
    start = start_run(cell, make_step(estimate_ms=2000))
    end_s, margin_s = end_of(cell, start, 0.5)
    assert end_s == pytest.approx(2.0)
    assert margin_s > 1.0


def test_learned_run_times_count(cell):
    step = make_step(estimate_ms=2000)
    for _ in range(50):
        cell.run_times.learn(QUEUE.name, step, 4.0)
    start = start_run(cell, step)
    end_s, margin_s = end_of(cell, start, 0.0)
    assert end_s == pytest.approx(4.0, abs=0.2)
    assert margin_s < 0.5


def test_the_percentage_corrects_a_wrong_estimate(cell):
    # Declared 2 s, but half is done after 4 s.
    start = start_run(cell, make_step(estimate_ms=2000))
    for tick in range(9):
        list_run(cell, start, 0.5 * tick, int(12.5 * 0.5 * tick))
    end_s, margin_s = end_of(cell, start, 4.0)
    assert 6.0 < end_s <= 8.0
    assert margin_s < 1.0


def test_a_paced_run_takes_longer(cell):
    start = start_run(cell, make_step(estimate_ms=4000, is_filler=True))
    for tick in range(9):
        list_run(cell, start, 0.5 * tick, 6 * tick, pace=50)
    remaining_s = end_of(cell, start, 4.0)[0] - 4.0
    # About half of the 4 s of work is done; the rest takes more than 2 s.
    assert remaining_s > 2.5


def test_an_overdue_run_ends_soon_but_not_at_once(cell):
    start = start_run(cell, make_step(estimate_ms=2000))
    end_s, margin_s = end_of(cell, start, 5.0)
    assert 5.0 < end_s <= 8.0
    assert margin_s > 0


def test_serving_tasks_release_nothing(cell):
    start_run(cell, make_step(is_service=True, target_ms=20, image="s"))
    worker = cell.workers_by_id["i-0"]
    assert releases_of(cell, worker, BEGIN_S) == []


def test_released_capacity_adds_up_to_that_of_the_worker(cell):
    start_run(cell, make_step(demand=Resources(2000, 1000)), 1)
    filler = make_step(demand=Resources(3000, 500), is_filler=True, image="f")
    start_run(cell, filler, 2)
    worker = cell.workers_by_id["i-0"]
    free = free_now(worker)
    assert free == (6000, 14_500, 1, 3000)
    for release in releases_of(cell, worker, BEGIN_S):
        free = add(free, release.amounts)
    assert free == (8000, 16_000, 1, 8000)


def test_releases_follow_a_change_of_the_runs(cell):
    # Guards against a cached list that outlives the run.
    start_run(cell, make_step())
    worker = cell.workers_by_id["i-0"]
    assert len(releases_of(cell, worker, BEGIN_S)) == 1
    start_run(cell, make_step(), 2)
    assert len(releases_of(cell, worker, BEGIN_S)) == 2
    for task_id in list(worker.runs_by_task):
        worker.remove(task_id)
    assert releases_of(cell, worker, BEGIN_S) == []


def test_stopped_runs_release_their_capacity_soon(cell):
    start = start_run(cell, make_step(estimate_ms=60_000))
    start.run.stop_reason = "job cancelled"
    worker = cell.workers_by_id["i-0"]
    [release] = releases_of(cell, worker, BEGIN_S)
    assert release.at_s < BEGIN_S + 1.0


def test_a_stop_is_in_the_timeline_before_the_next_report(cell):
    # Guards against a cached list with the end that the run had without the stop.
    start = start_run(cell, make_step(estimate_ms=60_000))
    worker = cell.workers_by_id["i-0"]
    assert releases_of(cell, worker, BEGIN_S)[0].at_s > BEGIN_S + 50.0
    stop_run(worker, start.run, start.task_id, RunStopReason.CANCELLED)
    [release] = releases_of(cell, worker, BEGIN_S)
    assert release.at_s < BEGIN_S + 1.0


def test_fillers_need_a_part_of_their_processors_idle_and_others_reserve_theirs():
    filler = make_step(demand=Resources(3000, 500), is_filler=True)
    assert need_of(filler, 0.7) == (0, 500, 0, 2100)
    assert use_of(filler) == (0, 500, 0, 3000)
    batch = make_step(demand=Resources(3000, 500))
    assert need_of(batch, 0.7) == (3000, 500, 0, 0)
    assert use_of(batch) == (3000, 500, 0, 3000)


def test_busy_processors_do_not_stop_tasks_that_reserve_theirs():
    assert fits((3000, 500, 0, 0), (3000, 500, 0, -4000))
    assert not fits((0, 500, 0, 2100), (3000, 500, 0, 2000))
