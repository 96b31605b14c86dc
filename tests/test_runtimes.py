"""Learned run times: error beside the declared ones, drift, and what is not learned."""

import random
from dataclasses import replace
from math import exp, log
from statistics import median

import pytest

from dotterelspread.jobs.agentreport import EndedRun, RunEnd, RunningTask
from dotterelspread.jobs.cell import OrderSettled
from dotterelspread.jobs.handlers import reduce
from dotterelspread.jobs.placementpolicy import PlacementPolicy
from dotterelspread.jobs.runtimes import MAX_KINDS, RunTimes, measure_run_s
from dotterelspread.jobs.taskrun import TaskRun
from dotterelspread.resources import Resources
from tests.builders_cell import make_cell, make_report, make_worker, submit
from tests.builders_fleet import QUEUE, make_step

#: Ratio of actual to declared run time: off by 0.9.
OFF_RATIO = 1.9


def large_step(declared_ms=4000):
    return make_step(estimate_ms=declared_ms, demand=Resources(3000, 100), image="f")


def series(rng, count, ratio=OFF_RATIO, slowed_share=0.0):
    """Yield declared and actual run times; a share of the runs takes 4 times longer."""
    for _ in range(count):
        declared_s = rng.uniform(3.8, 4.0)
        slowed = 4.0 if rng.random() < slowed_share else 1.0
        yield declared_s, declared_s * ratio * exp(rng.gauss(0, 0.1)) * slowed


def errors_after(count, seed, ratio=OFF_RATIO, slowed_share=0.0, run_times=None):
    """Return the errors of learned and declared run times, as logarithms."""
    rng = random.Random(seed)
    run_times = run_times or RunTimes()
    for declared_s, actual_s in series(rng, count, ratio, slowed_share):
        run_times.learn("q", large_step(int(1000 * declared_s)), actual_s)
    learned, declared = [], []
    for declared_s, actual_s in series(rng, 50, ratio):
        expected = run_times.expect("q", large_step(int(1000 * declared_s)))
        learned.append(abs(log(expected.seconds / actual_s)))
        declared.append(abs(log(declared_s / actual_s)))
    return median(learned), median(declared)


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize("ratio", [0.55, OFF_RATIO])
@pytest.mark.parametrize(("count", "max_share"), [(5, 0.5), (20, 0.3), (100, 0.25)])
def test_the_error_falls_with_each_end(seed, ratio, count, max_share):
    # Guards against estimates that stay with the declared run time.
    learned, declared = errors_after(count, seed, ratio)
    assert learned <= max_share * declared


@pytest.mark.parametrize("seed", range(20))
def test_slowed_instances_do_not_shift_the_run_time(seed):
    # Guards against a mean, which one stalled instance would shift for minutes.
    learned, declared = errors_after(100, seed, slowed_share=0.15)
    assert learned <= 0.3 * declared


@pytest.mark.parametrize("seed", range(20))
def test_a_drift_is_followed(seed):
    # Guards against old samples that count forever.
    run_times = RunTimes()
    errors_after(200, seed, 0.6, run_times=run_times)
    learned, declared = errors_after(40, seed + 1, OFF_RATIO, run_times=run_times)
    assert learned <= 0.3 * declared


def test_right_declared_run_times_are_kept():
    learned, _ = errors_after(5, 1, ratio=1.0)
    assert learned < 0.15


def test_without_samples_the_declared_run_time_and_a_wide_spread_hold():
    expected = RunTimes().expect("q", large_step())
    assert expected.seconds == 4.0
    assert expected.upper_s(1) == pytest.approx(4.0 * exp(0.5))


def test_the_spread_narrows_as_the_run_times_agree():
    run_times = RunTimes()
    for _ in range(30):
        run_times.learn("q", large_step(), 8.0)
    assert run_times.expect("q", large_step()).spread < 0.1


def test_kinds_of_a_queue_without_samples_get_the_ratio_of_the_queue():
    run_times = RunTimes()
    for _ in range(30):
        run_times.learn("q", large_step(), 8.0)
    other = make_step(estimate_ms=1000, image="g")
    assert run_times.expect("q", other).seconds > 1.5
    assert run_times.expect("other queue", other).seconds == 1.0


def test_memory_is_bounded():
    run_times = RunTimes()
    for number in range(3 * MAX_KINDS):
        run_times.learn("q", make_step(image=f"i{number}"), 1.0)
    assert len(run_times) == MAX_KINDS


def make_run(**changes):
    values = {"confirmed_ms": 1000, "is_listed": True}
    run = TaskRun("j", (0, 0, 0), 1, Resources(), 1000, 0)
    for name, value in (values | changes).items():
        setattr(run, name, value)
    return run


def test_paced_time_counts_in_proportion():
    # 2 s at half of full speed and 1 s more at the smoothed pace.
    run = make_run(observed_s=2.0, work_done_s=1.0, recent_pace_ratio=0.5)
    assert measure_run_s(run, False, 0.0, 4000) == pytest.approx(1.5)


def test_a_run_that_was_never_listed_counts_from_its_confirmation():
    run = make_run(is_listed=False)
    assert measure_run_s(run, False, 0.0, 1400) == pytest.approx(0.4)


def test_a_resumed_run_counts_its_own_part():
    run = make_run(
        observed_s=1.0, work_done_s=1.0, first_listed_percent=50, first_listed_s=10.0
    )
    assert measure_run_s(run, True, 11.5, 0) == pytest.approx(3.0)
    run.first_listed_percent = 80
    assert measure_run_s(run, True, 11.5, 0) == 0.0


def test_a_silence_of_the_worker_teaches_nothing():
    run = make_run(observed_s=1.0, work_done_s=1.0)
    assert measure_run_s(run, False, 0.0, 60_000) == 0.0


def end_run(cell, step, how):
    """Start a run, let it end after 2 s, and report that."""
    [start] = submit(cell, step)
    settled = OrderSettled(0.0, "i-0", 1, start.task_id, 1, "confirmed", 100)
    reduce(settled, cell)
    reduce(make_report(0, 0.5, RunningTask(start.task_id, 1, "", 25, 1000)), cell)
    event = make_report(0, 2.0)
    end = EndedRun(1, start.task_id, 1, how, "")
    reduce(replace(event, report=replace(event.report, ended=(end,))), cell)


@pytest.mark.parametrize("how", [RunEnd.COMPLETED, RunEnd.FAILED, RunEnd.STOPPED])
def test_only_completed_runs_are_learned(how):
    cell = make_cell(make_worker(0))
    cell.placement_policy = PlacementPolicy(reserved_jobs=1)
    step = make_step()
    end_run(cell, step, how)
    is_learned = len(cell.run_times) > 0
    assert is_learned == (how == RunEnd.COMPLETED)
    assert (cell.run_times.expect(QUEUE.name, step).seconds > 0.6) == is_learned


@pytest.mark.parametrize("policy", [PlacementPolicy(), PlacementPolicy(0, True)])
def test_without_reservations_nothing_is_learned(policy):
    # Guards against memory and time for run times that nobody uses.
    cell = make_cell(make_worker(0))
    cell.placement_policy = policy
    end_run(cell, make_step(), RunEnd.COMPLETED)
    assert len(cell.run_times) == 0
