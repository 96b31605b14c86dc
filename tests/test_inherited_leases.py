"""Leases that calls to an earlier incarnation give to a worker that restarts."""

import asyncio

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
    agent = next(a for a in fleet.agents if a.worker.running)
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


async def start_late_after_a_restart(fleet, cut_after_s, then=None):
    """Have a start executed by the incarnation after the one it was meant for."""
    fleet.durations[LONG_JOB.job_id] = LONG_RUN_S
    await fleet.settle(12.0)
    agent = fleet.agents[0]
    agent.worker.next_start_delay_s = 0.9
    await fleet.submit(LONG_JOB)
    while agent.worker.next_start_delay_s is not None:
        await asyncio.sleep(0.01)
    agent.worker.crash()
    asyncio.get_running_loop().call_later(0.8, agent.worker.begin_incarnation)
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
