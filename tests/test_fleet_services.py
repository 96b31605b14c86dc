"""Serving tasks of the virtual fleet run again soon after any mix of faults."""

import asyncio

import pytest

from dotterelspread.jobs import clock
from dotterelspread.jobs.records import CELL_STREAM, PROGRESS_PREFIX
from dotterelspread.processsettings import StoreSettings
from tests.builders_fleet import make_job, make_step, run_scenario

#: Time without faults after which every serving task has to run: a lease and the
#: margins that the leader adds to it.
RECOVERY_S = 6.0
SERVICE_DURATION_S = 1e6


def kill_leader(fleet, rng):
    leading = [e for e in fleet.entries if e.candidate.leader is not None]
    entry = (leading or fleet.entries)[0]
    entry.kill()
    entry.start()


def restart_worker(fleet, rng):
    worker = rng.choice(fleet.workers)
    worker.crash()
    worker.time_of_day_step_s = rng.choice([0.0, 0.0, -60.0])
    worker.begin_incarnation()


def replace_worker(fleet, rng):
    worker = rng.choice(fleet.workers)
    worker.crash()
    worker.worker_id = f"i-{worker.number}-{worker.incarnation}"
    worker.begin_incarnation()


def crash_worker(fleet, rng):
    rng.choice(fleet.workers).crash()


def restart_agent(fleet, rng):
    agent = rng.choice(fleet.agents)
    agent.kill()
    agent.start()


def kill_agent(fleet, rng):
    rng.choice(fleet.agents).kill()


def reboot_instance(fleet, rng):
    agent = rng.choice(fleet.agents)
    agent.kill()
    agent.worker.crash()
    if rng.random() < 0.5:
        agent.worker.worker_id = f"i-{agent.worker.number}-{agent.worker.incarnation}"
    agent.booted_s = clock.now_s() - 1.0
    agent.worker.begin_incarnation()
    agent.start()


def partition(fleet, rng):
    everyone = [p.address for p in (*fleet.entries, *fleet.agents)]
    fleet.network.partitioned.add(rng.choice(everyone))


def heal(fleet, rng):
    fleet.network.partitioned.clear()
    for worker in fleet.workers:
        if not worker.is_up:
            worker.begin_incarnation()


FAULTS = (
    kill_leader,
    restart_worker,
    replace_worker,
    crash_worker,
    restart_agent,
    kill_agent,
    reboot_instance,
    partition,
    heal,
)


@pytest.mark.parametrize("seed", range(24))
def test_serving_tasks_run_again_after_mixed_faults(seed):
    async def scenario(fleet):
        rng = fleet.rng
        fleet.network.loss = rng.choice([0.0, 0.05])
        for worker in fleet.workers:
            worker.late_ratio = rng.choice([0.0, 0.3])
        job = make_job(1, (make_step(count=5, is_service=True, target_ms=100),))
        fleet.durations[job.job_id] = SERVICE_DURATION_S
        await fleet.submit(job)
        for _ in range(4):
            for _ in range(rng.randint(1, 4)):
                rng.choice(FAULTS)(fleet, rng)
                await fleet.settle(rng.choice([0.0, 0.1, 0.7, 2.0]))
            heal(fleet, rng)
            for agent in fleet.agents:
                if agent.address not in fleet.network.handlers_by_address:
                    agent.start()
            await fleet.settle(RECOVERY_S)
            assert len(running_tasks(fleet)) == 5, running_tasks(fleet)
            await fleet.settle(rng.uniform(0.0, 2.0))
            assert len(running_tasks(fleet)) == 5, running_tasks(fleet)

    run_scenario(scenario, seed)


def running_tasks(fleet):
    return {task_id for worker in fleet.workers for task_id in worker.running}


@pytest.mark.parametrize("appends", range(1, 9))
def test_serving_tasks_survive_a_leader_that_dies_between_two_appends(appends):
    async def scenario(fleet):
        for entry in fleet.entries:
            # Each record needs an append of its own.
            entry.settings.store = StoreSettings("store:1", max_request_bytes=2)
        kill_leader(fleet, fleet.rng)
        await fleet.settle(4)
        for number in range(6):
            job = make_job(number, (make_step(is_service=True, target_ms=100),))
            fleet.durations[job.job_id] = SERVICE_DURATION_S
            await fleet.submit(job)
        await fleet.settle(2)
        (worker,) = [worker for worker in fleet.workers if worker.running]
        worker.crash()
        worker.begin_incarnation()
        await kill_after_appends(fleet, appends)
        await fleet.settle(RECOVERY_S + 3)
        assert len(running_tasks(fleet)) == 6, running_tasks(fleet)

    run_scenario(scenario)


async def kill_after_appends(fleet, count):
    """Kill the leader once it has appended this many records, and restart it."""
    leader = next(e for e in fleet.entries if e.candidate.leader is not None)
    records = fleet.store.stream(CELL_STREAM).records
    known = len(records)
    end_s = clock.now_s() + 3
    progress = [r for r in records[known:] if r.key.startswith(PROGRESS_PREFIX)]
    while len(progress) < count and clock.now_s() < end_s:
        await asyncio.sleep(0.0005)
        progress = [r for r in records[known:] if r.key.startswith(PROGRESS_PREFIX)]
    leader.kill()
    await fleet.settle(0.5)
    leader.start()


def test_a_serving_task_leaves_a_worker_that_drains_in_its_next_incarnation():
    async def scenario(fleet):
        job = make_job(1, (make_step(is_service=True, target_ms=100),))
        fleet.durations[job.job_id] = SERVICE_DURATION_S
        await fleet.submit(job)
        await fleet.settle(2)
        (worker,) = [worker for worker in fleet.workers if worker.running]
        worker.crash()
        worker.begin_incarnation()
        worker.is_draining = True
        await fleet.settle(4)
        assert running_tasks(fleet)
        assert not worker.running

    run_scenario(scenario)
