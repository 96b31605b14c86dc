"""Workers that are cut off from their agents while their runs go on."""

from tests.builders_fleet import make_job, make_step, run_scenario

LONG_JOB = make_job(1, (make_step(count=9),))


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
