"""Leases that calls to an earlier incarnation give to a worker that restarts."""

import asyncio

import pytest

from tests.builders_fleet import kill_leader, make_job, make_step, run_scenario

#: Longest lease of the workers, which is longer than any that a leader grants.
MAX_LEASE_MS = 10_000
#: Time in which a worker is down, and longer than any lease.
RESTART_S, CUT_S = 0.6, 14.0
#: Delay of a start that is executed late.
LATE_START_S = 0.9
#: End of a lease on the clock of an earlier incarnation.
EARLIER_LEASE_END_MS = 1_000_000_000
#: The first seeds, and those in which five workers crash under a long task.
SEEDS = [*range(8), 18, 85, 87]
#: Runs of this job outlast every lease.
LONG_JOB = make_job(1, (make_step(count=6),))
LONG_RUN_S = 30.0


async def restart_busy_worker(fleet, has_late_call=False):
    """Restart a busy worker under its id; return its agent's process."""
    fleet.durations[LONG_JOB.job_id] = LONG_RUN_S
    await fleet.submit(LONG_JOB)
    # The clock of the worker is well ahead of that of its next incarnation.
    await fleet.settle(12.0)
    agent = next(
        a for a in fleet.agents if a.worker.running and a.worker.is_next_clock_lower
    )
    agent.worker.crash()
    await fleet.settle(RESTART_S)
    agent.worker.begin_incarnation()
    if has_late_call:
        agent.worker._extend(EARLIER_LEASE_END_MS)
    return agent


async def cut_off(fleet, agent):
    """Cut an agent off for longer than any lease."""
    fleet.network.partitioned.add(agent.address)
    await fleet.settle(CUT_S)
    fleet.network.partitioned.discard(agent.address)


@pytest.mark.parametrize("has_late_call", [False, True])
@pytest.mark.parametrize("seed", range(3))
def test_a_lease_meant_for_an_earlier_incarnation_does_not_outlast_its_grant(
    seed, has_late_call
):
    async def scenario(fleet):
        agent = await restart_busy_worker(fleet, has_late_call)
        await fleet.settle(1.5)
        await cut_off(fleet, agent)

    run_scenario(scenario, seed, max_lease_ms=MAX_LEASE_MS)


async def end_term(fleet):
    """End the leader's term; its successor learns that it grants no leases any more."""
    leader = next(e.candidate.leader for e in fleet.entries if e.candidate.leader)
    await leader.resign("planned stop")


async def kill(fleet):
    """Kill the leader."""
    kill_leader(fleet)


@pytest.mark.parametrize("lose_leader", [end_term, kill])
@pytest.mark.parametrize("connected_s", [0.6, 1.5])
@pytest.mark.parametrize("seed", range(2))
def test_a_successor_does_not_start_what_runs_under_an_residual_lease(
    seed, connected_s, lose_leader
):
    async def scenario(fleet):
        agent = await restart_busy_worker(fleet, has_late_call=True)
        await fleet.settle(connected_s)
        await lose_leader(fleet)
        await cut_off(fleet, agent)

    run_scenario(scenario, seed, max_lease_ms=MAX_LEASE_MS)


async def start_late_after_a_restart(fleet, cut_after_s, then=None):
    """Have a start executed by the incarnation after the one it was meant for."""
    fleet.durations[LONG_JOB.job_id] = LONG_RUN_S
    await fleet.settle(12.0)
    agent = next(a for a in fleet.agents if a.worker.is_next_clock_lower)
    agent.worker.next_start_delay_s = LATE_START_S
    await fleet.submit(LONG_JOB)
    while agent.worker.next_start_delay_s is not None:
        await asyncio.sleep(0.0001)
    agent.worker.crash()
    # The agent has not called the later incarnation when the start is executed.
    begin_s = LATE_START_S - 0.00015
    asyncio.get_running_loop().call_later(begin_s, agent.worker.begin_incarnation)
    await fleet.settle(cut_after_s)
    if then is not None:
        then(fleet)
    fleet.network.partitioned.add(agent.address)
    await fleet.settle(CUT_S)
    fleet.network.partitioned.discard(agent.address)
    # The start has been executed, by the later incarnation.
    assert agent.worker.incarnation == 2
    assert any(at_s > agent.worker.born_s for at_s, _ in agent.worker.starts)


@pytest.mark.parametrize("cut_after_s", [0.3, 0.85])
@pytest.mark.parametrize("seed", range(3))
def test_a_run_that_a_later_incarnation_starts_late_is_not_started_elsewhere(
    seed, cut_after_s
):
    async def scenario(fleet):
        await start_late_after_a_restart(fleet, cut_after_s)

    run_scenario(scenario, seed, max_lease_ms=MAX_LEASE_MS)


@pytest.mark.parametrize("cut_after_s", [0.3, 0.85])
@pytest.mark.parametrize("seed", range(3))
def test_a_successor_does_not_start_what_a_later_incarnation_has_started_late(
    seed, cut_after_s
):
    async def scenario(fleet):
        await start_late_after_a_restart(fleet, cut_after_s, then=kill_leader)

    run_scenario(scenario, seed, max_lease_ms=MAX_LEASE_MS)


@pytest.mark.parametrize("seed", SEEDS)
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
        await fleet.expect_completed_or_given_up(90)

    run_scenario(scenario, seed, max_lease_ms=MAX_LEASE_MS)
