"""Mixed faults of the virtual fleet: whatever happens, no promise is broken."""

import pytest

from tests.builders_fleet import make_job, make_step, run_scenario

#: Seeds of the mixed faults: the first ones, and each that ever broke a promise.
#: 1089: a start after a long store outage extended a lease that was not counted.
MIXED_SEEDS = [*range(12), 1089]


@pytest.mark.parametrize("seed", MIXED_SEEDS)
def test_invariants_hold_under_mixed_faults(seed):
    async def scenario(fleet):
        rng = fleet.rng
        fleet.store.loss = rng.choice([0.0, 0.2])
        fleet.network.loss = rng.choice([0.0, 0.02])
        for worker in fleet.workers:
            worker.late_ratio = rng.choice([0.0, 0.2])
        for number in range(14):
            count = rng.randint(1, 6)
            steps = (make_step(count=count), make_step(count=2, depends_on=(0,)))
            fleet.durations[f"{number:016x}"] = rng.choice([0.3, 1.0, 3.0])
            await fleet.submit(make_job(number, steps), rng.randrange(2), 2500)
            await inject_fault(fleet, rng)
            await fleet.settle(rng.uniform(0.1, 1.5))
        clear_faults(fleet)
        await fleet.settle(15)
        await fleet.expect_completed_or_given_up(60)

    run_scenario(scenario, seed)


@pytest.mark.parametrize("seed", range(8))
def test_invariants_hold_under_long_and_slow_faults(seed):
    async def scenario(fleet):
        rng = fleet.rng
        fleet.store.loss = rng.choice([0.0, 0.2])
        for worker in fleet.workers:
            worker.late_ratio = rng.choice([0.0, 0.2])
        for number in range(10):
            first = make_step(count=rng.randint(1, 4), is_filler=rng.random() < 0.5)
            steps = (first, make_step(count=2, depends_on=(0,)))
            fleet.durations[f"{number:016x}"] = rng.choice([0.3, 1.0, 4.0])
            await fleet.submit(make_job(number, steps), rng.randrange(2), 2500)
            await inject_fault(fleet, rng)
            inject_slowness(fleet, rng)
            await fleet.settle(rng.choice([0.3, 1.5, 6.0, 13.0]))
        clear_faults(fleet)
        for worker in fleet.workers:
            worker.slowness = 1.0
            worker.is_failing = worker.is_draining = False
        await fleet.settle(15)
        await fleet.expect_ended(90)

    run_scenario(scenario, seed)


def inject_slowness(fleet, rng):
    """Change how a worker runs tasks, or whether it takes any."""
    worker = rng.choice(fleet.workers)
    worker.slowness = rng.choice([1.0, 1.0, 6.0])
    worker.is_failing = rng.random() < 0.1
    worker.is_draining = rng.random() < 0.1


async def inject_fault(fleet, rng):
    fault = rng.choice(
        [
            "none",
            "kill entry",
            "kill agent",
            "crash",
            "restart",
            "partition",
            "store",
            "heal",
        ]
    )
    if fault == "kill entry":
        entry = rng.choice(fleet.entries)
        entry.kill()
        entry.start()
    elif fault == "kill agent":
        agent = rng.choice(fleet.agents)
        agent.kill()
        agent.start()
    elif fault == "crash":
        worker = rng.choice(fleet.workers)
        if worker.is_up:
            worker.crash()
    elif fault == "restart":
        worker = rng.choice(fleet.workers)
        if worker.is_up:
            worker.crash()
        worker.begin_incarnation()
    elif fault == "partition":
        everyone = [p.address for p in (*fleet.entries, *fleet.agents)]
        fleet.network.partitioned.add(rng.choice(everyone))
    elif fault == "store":
        node = rng.choice(["*", *(e.address for e in fleet.entries)])
        fleet.store.mode_by_node[node] = rng.choice(["busy", "silent"])
    elif fault == "heal":
        clear_faults(fleet)


def clear_faults(fleet):
    fleet.network.partitioned.clear()
    fleet.store.mode_by_node.clear()
    for worker in fleet.workers:
        if not worker.is_up:
            worker.begin_incarnation()
