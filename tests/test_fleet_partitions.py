"""Partitions of single pairs, and machines lost for good, in the virtual fleet."""

import pytest

from tests.builders_fleet import make_job, make_step, run_scenario


def cut_worker_off(fleet, rng):
    """Cut a worker off from its agent; it may have said that it shuts down."""
    worker = rng.choice(fleet.workers)
    agent = fleet.agents[worker.number].agent
    if worker.is_up and rng.random() < 0.5:
        worker.is_draining = True
        agent.announce(worker.announcement())
        agent.leave(worker.worker_id)
    worker.is_cut_off = True


def cut_pairs(fleet, rng):
    """Cut some connections between processes."""
    everyone = [*fleet.entries, *fleet.agents]
    for _ in range(rng.randint(1, 4)):
        first, second = rng.sample(everyone, 2)
        fleet.cut(first, second)


def split_network(fleet, rng):
    """Part the leader and some processes from the others and from the store."""
    leader = next((e for e in fleet.entries if e.candidate.leader), None)
    if leader is None:
        return
    others = [p for p in (*fleet.entries, *fleet.agents) if p is not leader]
    inner = [leader, *(p for p in others if rng.random() < 0.4)]
    for process in inner:
        fleet.store.mode_by_node[process.address] = "silent"
        for other in others:
            if other not in inner:
                fleet.cut(process, other)


def take_store_down(fleet, rng):
    """Take the store from all processes, or from a single one."""
    node = rng.choice(["*", *(e.address for e in fleet.entries)])
    fleet.store.mode_by_node[node] = rng.choice(["busy", "silent"])


def hinder_calls_to_store(fleet, rng):
    """Have the store fail some entries, most of them in one kind of call only."""
    modes = ["read-only", "silent-appends", "slow-appends", "busy", "silent"]
    for entry in fleet.entries:
        if rng.random() < 0.6:
            fleet.store.mode_by_node[entry.address] = rng.choice(modes)


def cut_leader_from_agents(fleet, rng):
    """Cut the leader, but no other entry, from most agents."""
    leader = next((e for e in fleet.entries if e.candidate.leader), None)
    for agent in fleet.agents:
        if leader is not None and rng.random() < 0.8:
            fleet.cut(leader, agent)


def lose_leader_and_instance(fleet, rng):
    """Cut power from the leader and from an instance with its worker."""
    leader = next((e for e in fleet.entries if e.candidate.leader), None)
    number = rng.randrange(len(fleet.agents))
    if leader is not None:
        fleet.network.powered_off.add(leader.address)
        leader.kill()
    fleet.network.powered_off.add(fleet.agents[number].address)
    fleet.agents[number].kill()
    fleet.workers[number].crash()


def heal(fleet, rng):
    """End all faults."""
    fleet.network.cut_pairs.clear()
    fleet.store.mode_by_node.clear()
    for worker in fleet.workers:
        worker.is_cut_off = worker.is_draining = False
        if not worker.is_up:
            worker.begin_incarnation()
    powered_off = set(fleet.network.powered_off)
    fleet.network.powered_off.clear()
    for process in (*fleet.entries, *fleet.agents):
        if process.address in powered_off:
            process.start()


FAULTS = [
    cut_worker_off,
    cut_pairs,
    split_network,
    split_network,
    take_store_down,
    lose_leader_and_instance,
    heal,
    heal,
]
#: Also faults after which a leader leads on in name only.
LEADER_FAULTS = [
    *FAULTS,
    cut_leader_from_agents,
    hinder_calls_to_store,
    hinder_calls_to_store,
    heal,
]


async def play_faults(fleet, faults=FAULTS):
    """Submit jobs, with a fault before each of them."""
    rng = fleet.rng
    for worker in fleet.workers:
        worker.late_ratio = rng.choice([0.0, 0.1])
    service = make_job(99, (make_step(count=2, is_service=True),))
    fleet.durations[service.job_id] = 1000.0
    await fleet.submit(service)
    for number in range(12):
        job = make_job(number, (make_step(count=rng.randint(1, 4)),))
        fleet.durations[job.job_id] = rng.choice([0.5, 3.0, 10.0])
        await fleet.submit(job, rng.randrange(len(fleet.entries)), 2500)
        rng.choice(faults)(fleet, rng)
        await fleet.settle(rng.choice([0.3, 1.5, 4.0, 9.0]))
    heal(fleet, rng)
    fleet.accepted.discard(service.job_id)
    await fleet.settle(15)
    await fleet.expect_ended(80)
    assert sum(service.job_id in t for w in fleet.workers for t in w.running) == 2


@pytest.mark.parametrize("seed", range(8))
def test_invariants_hold_under_partitions_and_lost_machines(seed):
    run_scenario(play_faults, seed, entries=(1.0, 1.0, 1.0), agents=4)


@pytest.mark.parametrize("seed", range(4))
def test_invariants_hold_while_leaders_lead_in_name_only(seed):
    async def scenario(fleet):
        await play_faults(fleet, LEADER_FAULTS)

    entries = (2.0, 2.0, 0.5, 2.0, 0.5)
    run_scenario(scenario, seed, entries=entries, far_entries=2, agents=4)
