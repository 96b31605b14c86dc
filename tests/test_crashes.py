"""Tasks that crash their workers are given up; tasks beside them are not."""

from dataclasses import replace

import pytest

from dotterelspread.jobs.cell import OrderSettled
from dotterelspread.jobs.handlers import reduce
from dotterelspread.jobs.lifecycle import stop_run
from dotterelspread.jobs.taskrun import RunStopReason
from tests.builders_cell import make_cell, make_report, make_worker, submit
from tests.builders_crashes import run_crash_scenario
from tests.builders_fleet import make_job, make_step

#: Bound on the starts of a task that crashes each worker that starts it.
MAX_CRASHING_STARTS = 5
CRASHING_JOB = make_job(1)
CRASHING_TASK = f"{CRASHING_JOB.job_id}.0.0.0"
SOON_S, LATE_S = 0.01, 1.4
#: Longer than the lease of a worker that has crashed.
LONG_OUTAGE_S = 8.0


@pytest.mark.parametrize("keeps_worker_ids", [False, True])
@pytest.mark.parametrize("crash_delay_s", [0.0, SOON_S, LATE_S])
def test_a_task_that_crashes_its_workers_is_not_started_forever(
    crash_delay_s, keeps_worker_ids
):
    async def scenario(fleet):
        fleet.crash_delay_by_task_id[CRASHING_TASK] = crash_delay_s
        fleet.durations[CRASHING_JOB.job_id] = 3.0
        await fleet.submit(CRASHING_JOB)
        await fleet.settle(60)
        assert fleet.starts_by_task_id[CRASHING_TASK] <= MAX_CRASHING_STARTS
        assert await fleet.states() == {CRASHING_JOB.job_id: "FAILED"}

    run_crash_scenario(scenario, keeps_worker_ids=keeps_worker_ids)


@pytest.mark.parametrize("crash_delay_s", [SOON_S, LATE_S])
def test_crashes_count_although_the_workers_are_back_only_after_their_lease(
    crash_delay_s,
):
    async def scenario(fleet):
        fleet.outage_s = LONG_OUTAGE_S
        fleet.crash_delay_by_task_id[CRASHING_TASK] = crash_delay_s
        fleet.durations[CRASHING_JOB.job_id] = 3.0
        await fleet.submit(CRASHING_JOB)
        await fleet.settle(80)
        assert fleet.starts_by_task_id[CRASHING_TASK] <= MAX_CRASHING_STARTS
        assert await fleet.states() == {CRASHING_JOB.job_id: "FAILED"}

    run_crash_scenario(scenario, agents=5)


@pytest.mark.parametrize("keeps_worker_ids", [False, True])
def test_crashes_of_silent_workers_count_once_their_next_incarnation_answers(
    keeps_worker_ids,
):
    async def scenario(fleet):
        fleet.outage_s = LONG_OUTAGE_S
        fleet.are_outages_silent = True
        fleet.crash_delay_by_task_id[CRASHING_TASK] = SOON_S
        await fleet.submit(CRASHING_JOB)
        await fleet.settle(80)
        assert fleet.starts_by_task_id[CRASHING_TASK] <= MAX_CRASHING_STARTS
        assert await fleet.states() == {CRASHING_JOB.job_id: "FAILED"}

    run_crash_scenario(scenario, keeps_worker_ids=keeps_worker_ids, agents=5)


@pytest.mark.parametrize("seconds_after_crash", [0.3, 1.5, 3.2])
@pytest.mark.parametrize("keeps_worker_ids", [False, True])
def test_leaders_that_change_after_each_crash_count_on(
    keeps_worker_ids, seconds_after_crash
):
    async def scenario(fleet):
        fleet.crash_delay_by_task_id[CRASHING_TASK] = SOON_S
        await fleet.submit(CRASHING_JOB)
        for crashes in range(MAX_CRASHING_STARTS + 1):
            if not await fleet.wait_for_crashes(crashes + 1):
                break
            await fleet.settle(seconds_after_crash)
            await fleet.restart_leader()
        assert fleet.starts_by_task_id[CRASHING_TASK] <= MAX_CRASHING_STARTS
        await fleet.expect_ended()
        assert await fleet.states() == {CRASHING_JOB.job_id: "FAILED"}

    run_crash_scenario(scenario, keeps_worker_ids=keeps_worker_ids)


@pytest.mark.parametrize("seed", range(6))
def test_tasks_beside_a_crashing_one_complete(seed):
    async def scenario(fleet):
        crashing_ids = set()
        for number in range(24):
            job = make_job(number, (make_step(count=5),))
            if number in (2, 9):
                crashing_ids.add(job.job_id)
                fleet.crash_delay_by_task_id[f"{job.job_id}.0.0.0"] = SOON_S
            await fleet.submit(job)
            await fleet.settle(0.4)
        await fleet.expect_ended(60)
        states = await fleet.states()
        assert {j for j, state in states.items() if state == "FAILED"} == crashing_ids
        for task_id in fleet.crash_delay_by_task_id:
            assert fleet.starts_by_task_id[task_id] <= MAX_CRASHING_STARTS

    run_crash_scenario(scenario, seed, agents=6)


@pytest.mark.parametrize(
    ("result", "crashes", "early_crashes"),
    [("unsent", 0, 0), ("unknown", 1, 0), ("confirmed", 1, 1)],
)
def test_only_a_start_that_was_confirmed_makes_a_suspect(
    result, crashes, early_crashes
):
    cell = make_cell(make_worker(0))
    submit(cell, make_step())
    reduce(OrderSettled(0.1, "i-0", 1, CRASHING_TASK, 1, result, 100), cell)
    event = make_report(0, 4.0)
    reduce(replace(event, report=replace(event.report, worker_id="i-new")), cell)
    (task,) = cell.jobs_by_id[CRASHING_JOB.job_id].tasks_by_key.values()
    assert (task.crashes, task.early_crashes) == (crashes, early_crashes)


def test_a_start_that_was_stopped_before_it_was_confirmed_makes_no_suspect():
    cell = make_cell(make_worker(0))
    submit(cell, make_step())
    reduce(OrderSettled(0.1, "i-0", 1, CRASHING_TASK, 1, "unknown", 100), cell)
    worker = cell.workers_by_id["i-0"]
    run = worker.runs_by_task[CRASHING_TASK]
    stop_run(worker, run, CRASHING_TASK, RunStopReason.UNSUITABLE)
    reduce(OrderSettled(0.2, "i-0", 1, CRASHING_TASK, 1, "confirmed", 200), cell)
    event = make_report(0, 4.0)
    reduce(replace(event, report=replace(event.report, worker_id="i-new")), cell)
    (task,) = cell.jobs_by_id[CRASHING_JOB.job_id].tasks_by_key.values()
    assert (task.crashes, task.early_crashes) == (1, 0)


def test_restarts_under_a_run_that_was_not_ordered_again_count_no_crashes():
    cell = make_cell(make_worker(0))
    submit(cell, make_step())
    reduce(OrderSettled(0.1, "i-0", 1, CRASHING_TASK, 1, "unknown", 100), cell)
    # Each incarnation is gone before the start is repeated there.
    for born_ms in range(2, 10):
        event = make_report(0, born_ms / 10)
        reduce(replace(event, report=replace(event.report, born_ms=born_ms)), cell)
    (task,) = cell.jobs_by_id[CRASHING_JOB.job_id].tasks_by_key.values()
    assert (task.crashes, task.early_crashes) == (1, 0)
    assert cell.jobs_by_id[CRASHING_JOB.job_id].is_open


def test_an_instance_that_crashes_by_itself_fails_no_job():
    async def scenario(fleet):
        for number in range(30):
            job = make_job(number, (make_step(count=6),))
            fleet.durations[job.job_id] = 1.5
            await fleet.submit(job)
            if number % 4 == 0:
                fleet.workers[0].crash_and_return()
            await fleet.settle(1.0)
        await fleet.expect_completed(40)

    run_crash_scenario(scenario)


def test_a_service_task_survives_crashes_spread_over_time():
    async def scenario(fleet):
        job = make_job(1, (make_step(count=2, is_service=True),))
        fleet.durations[job.job_id] = 1000.0
        await fleet.submit(job)
        for _ in range(8):
            await fleet.settle(6)
            for worker in fleet.workers:
                if worker.running:
                    worker.crash_and_return()
        await fleet.settle(6)
        assert await fleet.states() == {job.job_id: "RUNNING"}
        assert sum(len(worker.running) for worker in fleet.workers) == 2

    run_crash_scenario(scenario, agents=5)


@pytest.mark.parametrize("crash_delay_s", [SOON_S, LATE_S])
def test_a_service_task_that_crashes_its_workers_is_given_up(crash_delay_s):
    # Guards against a service that crashes one worker after the other without end.
    async def scenario(fleet):
        job = make_job(1, (make_step(count=2, is_service=True),))
        fleet.durations[job.job_id] = 1000.0
        fleet.crash_delay_by_task_id[CRASHING_TASK] = crash_delay_s
        await fleet.submit(job)
        await fleet.settle(60)
        assert fleet.starts_by_task_id[CRASHING_TASK] <= MAX_CRASHING_STARTS
        assert await fleet.states() == {job.job_id: "FAILED"}

    run_crash_scenario(scenario)


def test_a_gang_with_a_crashing_member_is_given_up():
    async def scenario(fleet):
        job = make_job(1, (make_step(count=4, is_gang=True),))
        fleet.durations[job.job_id] = 2.0
        fleet.crash_delay_by_task_id[f"{job.job_id}.0.0.2"] = SOON_S
        await fleet.submit(job)
        await fleet.settle(90)
        assert max(fleet.starts_by_task_id.values()) <= MAX_CRASHING_STARTS
        assert await fleet.states() == {job.job_id: "FAILED"}

    run_crash_scenario(scenario)


def test_workers_that_leave_are_not_taken_as_crashed():
    async def scenario(fleet):
        fleet.durations[CRASHING_JOB.job_id] = 9.0
        await fleet.submit(CRASHING_JOB)
        for _ in range(8):
            await fleet.settle(4)
            for worker, agent in zip(fleet.workers, fleet.agents, strict=True):
                if worker.running:
                    worker.is_draining = True
                    agent.agent.announce(worker.announcement())
                    agent.agent.leave(worker.worker_id)
                    await fleet.settle(0.5)
                    worker.crash_and_return()
                    worker.is_draining = False
        await fleet.expect_completed(30)

    run_crash_scenario(scenario, agents=4)
