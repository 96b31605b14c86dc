"""Leases that calls to an earlier incarnation give to a worker that restarts."""

import pytest

from tests.builders_fleet import kill_leader, make_job, make_step, run_scenario

#: Longest lease of the workers, which is longer than any that a leader grants.
MAX_LEASE_MS = 10_000
#: Longer than any lease.
CUT_S = 14.0
#: Runs of this job outlast every lease.
LONG_JOB = make_job(1, (make_step(count=6),))
LONG_RUN_S = 30.0


async def restart_and_cut_off(fleet, connected_s=1.5, then=None):
    """Restart a busy worker under its id, and cut its agent off soon after."""
    fleet.durations[LONG_JOB.job_id] = LONG_RUN_S
    await fleet.submit(LONG_JOB)
    # The clock of the worker is well ahead of that of its next incarnation.
    await fleet.settle(12.0)
    agent = next(
        a for a in fleet.agents if a.worker.running and a.worker.is_next_clock_lower
    )
    agent.worker.crash()
    await fleet.settle(0.6)
    agent.worker.begin_incarnation()
    await fleet.settle(connected_s)
    if then is not None:
        then(fleet)
    fleet.network.partitioned.add(agent.address)
    await fleet.settle(CUT_S)
    fleet.network.partitioned.discard(agent.address)
    return agent


@pytest.mark.parametrize("seed", range(3))
def test_a_lease_meant_for_an_earlier_incarnation_does_not_outlast_its_grant(seed):
    run_scenario(restart_and_cut_off, seed, max_lease_ms=MAX_LEASE_MS)


@pytest.mark.parametrize("seed", range(3))
def test_a_successor_does_not_start_what_runs_under_such_a_lease(seed):
    async def scenario(fleet):
        await restart_and_cut_off(fleet, then=kill_leader)

    run_scenario(scenario, seed, max_lease_ms=MAX_LEASE_MS)


@pytest.mark.parametrize("seed", range(8))
def test_calls_to_earlier_incarnations_start_no_task_twice(seed):
    """Guards against calls that are late, on clocks that rise and fall at restarts."""

    async def scenario(fleet):
        rng = fleet.rng
        for worker in fleet.workers:
            worker.late_ratio = 0.3
        for number in range(1, 9):
            job = make_job(number, (make_step(count=4),))
            fleet.durations[job.job_id] = rng.choice([0.5, 3.0, 12.0])
            await fleet.submit(job, rng.randrange(2), 2500)
            await fleet.settle(rng.choice([0.3, 1.5]))
            agent = rng.choice(fleet.agents)
            agent.worker.crash()
            await fleet.settle(rng.choice([0.0, 0.6]))
            agent.worker.begin_incarnation()
            await fleet.settle(rng.uniform(0.2, 3.0))
            fleet.network.partitioned.add(agent.address)
            await fleet.settle(rng.choice([2.0, 8.0, CUT_S]))
            fleet.network.partitioned.discard(agent.address)
        await fleet.expect_completed(90)

    run_scenario(scenario, seed, max_lease_ms=MAX_LEASE_MS)
