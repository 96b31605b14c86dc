"""Tests of cooldown: workers on which runs failed, stalled or were refused."""

from dataclasses import replace

import pytest

from dotterelspread.jobs.agentreport import EndedRun, RunEnd
from dotterelspread.jobs.cell import CellTick, OrderSettled
from dotterelspread.jobs.handlers import reduce
from dotterelspread.jobs.placement.cooldown import (
    FAILING_WORKER_COOLDOWN_S,
    is_job_at_fault,
    is_worker_at_fault,
    may_cool_down,
)
from dotterelspread.jobs.refusals import REFUSAL_BACKOFF_S
from dotterelspread.resources import Resources
from tests.builders_cell import make_cell, make_report, make_worker, submit, workers_of
from tests.builders_fleet import make_job, make_step, run_scenario

FIRST_JOB_NUMBER = 100


@pytest.mark.parametrize(
    ("worker_count", "failed_count", "is_at_fault"),
    [
        (1, 1, False),
        (3, 3, False),
        (4, 4, True),
        (11, 3, False),
        (11, 4, True),
        (60, 20, False),
        (60, 21, True),
    ],
)
def test_a_job_counts_as_faulty_once_it_fails_on_more_workers_than_may_be_faulty(
    worker_count, failed_count, is_at_fault
):
    assert is_job_at_fault(failed_count, worker_count) is is_at_fault


@pytest.mark.parametrize(("failed_jobs", "is_at_fault"), [(1, False), (2, True)])
def test_failures_of_a_single_job_do_not_make_a_worker_faulty(failed_jobs, is_at_fault):
    assert is_worker_at_fault(failed_jobs) is is_at_fault


@pytest.mark.parametrize(
    ("worker_count", "cooling_count", "may_enter"),
    [
        (0, 0, False),
        (1, 0, False),
        (2, 0, True),
        (2, 1, False),
        (11, 4, True),
        (11, 5, False),
    ],
)
def test_at_most_half_of_the_workers_enter_cooldown(
    worker_count, cooling_count, may_enter
):
    assert may_cool_down(cooling_count, worker_count) is may_enter


def make_cooling(number, **changes):
    """Return a worker that just entered cooldown at time 0."""
    return make_worker(number, cooldown_until_s=FAILING_WORKER_COOLDOWN_S, **changes)


def make_serving(**changes):
    return make_step(is_service=True, target_ms=20, image="s", **changes)


def test_a_serving_task_starts_while_all_workers_cool_down():
    cell = make_cell(make_cooling(0), make_cooling(1))
    assert len(submit(cell, make_serving(count=2))) == 2


def test_a_serving_gang_starts_while_a_worker_cools_down():
    cell = make_cell(make_worker(0), make_cooling(1))
    step = make_serving(count=2, is_gang=True, demand=Resources(6000, 10))
    assert sorted(workers_of(submit(cell, step))) == ["i-0", "i-1"]


def test_a_serving_task_limited_per_worker_uses_a_worker_that_cools_down():
    cell = make_cell(make_worker(0), make_cooling(1))
    effects = submit(cell, make_serving(count=2, max_per_worker=1))
    assert sorted(workers_of(effects)) == ["i-0", "i-1"]


def test_a_serving_task_prefers_a_worker_that_does_not_cool_down():
    packed = make_cooling(0, serving_count=1)
    cell = make_cell(packed, make_worker(1))
    assert workers_of(submit(cell, make_serving())) == ["i-1"]


def test_batch_work_waits_while_all_workers_cool_down():
    cell = make_cell(make_cooling(0), make_cooling(1))
    assert submit(cell, make_step(count=4)) == []
    effects = reduce(CellTick(FAILING_WORKER_COOLDOWN_S, 0), cell)
    assert len(effects) == 4


def test_waiting_batch_work_does_not_hide_the_room_for_a_serving_task():
    cell = make_cell(make_cooling(0))
    submit(cell, make_step(count=4, estimate_ms=1), number=1)
    assert len(submit(cell, make_serving(), number=2)) == 1


def test_a_serving_task_gets_no_draining_or_unreachable_worker():
    cell = make_cell(make_cooling(0, is_draining=True), make_cooling(1))
    cell.workers_by_id["i-1"].is_reachable = False
    assert submit(cell, make_serving()) == []


def test_a_worker_that_refused_a_start_is_not_asked_again_at_once():
    cell = make_cell(make_worker(0))
    (start,) = submit(cell, make_serving())
    refusal = OrderSettled(0.0, "i-0", 1, start.task_id, start.run.run, "refused", 1)
    assert reduce(refusal, cell) == []
    assert reduce(CellTick(REFUSAL_BACKOFF_S / 2, 0), cell) == []
    assert len(reduce(CellTick(REFUSAL_BACKOFF_S, 0), cell)) == 1


def test_failures_during_a_cooldown_do_not_keep_a_serving_task_waiting():
    # A worker enters cooldown only if others take batch work.
    cell = make_cell(make_worker(0), make_worker(1, capacity=Resources()))
    failing = [submit(cell, make_step(), number=n)[0] for n in range(1, 4)]
    (serving,) = submit(cell, make_serving(), number=4)
    for number, start in enumerate([*failing, serving], 1):
        end = EndedRun(number, start.task_id, start.run.run, RunEnd.FAILED, "")
        event = make_report(0, 0.1 * number)
        event = replace(event, report=replace(event.report, ended=(end,)))
        effects = reduce(event, cell)
    assert cell.workers_by_id["i-0"].cools_down(event.now_s)
    task_ids = [e.task_id for e in effects if hasattr(e, "program")]
    assert task_ids == [serving.task_id]


def test_a_serving_task_runs_through_a_wave_of_failing_jobs():
    async def scenario(fleet):
        service = make_job(1, (make_serving(),))
        fleet.durations[service.job_id] = 2.0
        await fleet.submit(service)
        idle_s = longest_idle_s = 0.0
        for number in range(FIRST_JOB_NUMBER, FIRST_JOB_NUMBER + 80):
            job = make_job(number, (make_step(count=3),))
            fleet.poison.add(job.job_id)
            await fleet.submit(job)
            await fleet.settle(0.15)
            running = [t for w in fleet.workers for t in w.running]
            is_running = any(t.startswith(service.job_id) for t in running)
            idle_s = 0.0 if is_running else idle_s + 0.15
            longest_idle_s = max(longest_idle_s, idle_s)
        assert longest_idle_s < 1.0

    run_scenario(scenario)
