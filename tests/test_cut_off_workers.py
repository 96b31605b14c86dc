"""Workers that are cut off from their agents while their runs go on."""

import pytest

from dotterelspread.jobs.crashes import MAX_CRASHES
from dotterelspread.jobs.spec import task_id_of
from tests.builders_fleet import make_job, make_step, run_scenario, worker_that_runs

LONG_JOB = make_job(1, (make_step(count=9),))
#: The only task of a job of one task.
ONLY_TASK = task_id_of(make_job(1).job_id, (0, 0, 0))
LATE_JOB = make_job(1)
#: Delay of a start, until a worker that was cut off for `CUT_S` is in use again.
LATE_START_S = 8.0
#: Length of a cut, longer than the lease of a worker.
CUT_S = 6.0


def test_tasks_of_a_deregistered_worker_that_is_cut_off_do_not_run_twice():
    async def scenario(fleet):
        fleet.durations[LONG_JOB.job_id] = 8.0
        await fleet.submit(LONG_JOB)
        await fleet.settle(0.5)
        worker, agent = fleet.workers[0], fleet.agents[0].agent
        worker.is_draining = True
        agent.announce(worker.announcement())
        worker.is_cut_off = True
        agent.leave(worker.worker_id)
        await fleet.settle(2.5)
        # The runs go on until their leases expire.
        assert worker.running
        await fleet.expect_completed(25)

    run_scenario(scenario)


def test_a_job_whose_workers_are_cut_off_in_turn_does_not_fail():
    async def scenario(fleet):
        job = make_job(1)
        fleet.durations[job.job_id] = 14.0
        await fleet.submit(job)
        for _ in range(MAX_CRASHES + 1):
            await fleet.settle(1.5)
            worker = worker_that_runs(fleet, ONLY_TASK)
            worker.is_cut_off = True
            await fleet.settle(CUT_S)
            worker.is_cut_off = False
        await fleet.expect_completed(20)

    run_scenario(scenario)


def test_a_job_whose_workers_are_all_cut_off_for_long_does_not_fail():
    async def scenario(fleet):
        job = make_job(1)
        fleet.durations[job.job_id] = 14.0
        await fleet.submit(job)
        for _ in range(MAX_CRASHES + 1):
            await fleet.settle(CUT_S)
            worker_that_runs(fleet, ONLY_TASK).is_cut_off = True
        await fleet.settle(CUT_S)
        for worker in fleet.workers:
            worker.is_cut_off = False
        await fleet.expect_completed(20)

    run_scenario(scenario, agents=MAX_CRASHES + 2)


@pytest.mark.parametrize("seed", range(3))
def test_a_late_start_on_a_worker_that_was_given_up_does_not_run_a_task_twice(seed):
    async def scenario(fleet):
        fleet.durations[LATE_JOB.job_id] = 30.0
        for worker in fleet.workers:
            worker.next_start_delay_s = LATE_START_S
        await fleet.submit(LATE_JOB)
        await fleet.settle(0.2)
        (worker,) = [w for w in fleet.workers if w.next_start_delay_s is None]
        worker.is_cut_off = True
        for other in fleet.workers:
            other.next_start_delay_s = None
        await fleet.settle(CUT_S)
        assert worker_that_runs(fleet, ONLY_TASK)
        worker.is_cut_off = False
        # It is granted leases again by the time of the late start.
        await fleet.settle(LATE_START_S)
        assert not worker.running

    run_scenario(scenario, seed)
