"""Earlier leaders: how long a successor waits for runs on agents it cannot reach."""

import asyncio

import pytest

from dotterelspread.jobs.earlierleaders import EarlierLeaders
from dotterelspread.jobs.records import CELL_STREAM, LeaderRecord
from dotterelspread.jobs.worker import LeaseGrants
from tests.builders_fleet import (
    kill_leader,
    make_job,
    make_step,
    run_scenario,
    worker_that_runs,
)

#: Longest time that an accepted serving task may be without a run while nothing else
#: fails and workers have room.
MAX_WAIT_S = 11.0
LONG_S = 1000.0
SERVING_JOB = make_job(1, [make_step(is_service=True)])
TASK_ID = f"{SERVING_JOB.job_id}.0.0.0"


async def lose_instance(fleet):
    """Submit a serving job and lose the worker that runs it with its agent."""
    fleet.durations[SERVING_JOB.job_id] = LONG_S
    entry = next(i for i, e in enumerate(fleet.entries) if e.candidate.leader)
    await fleet.submit(SERVING_JOB, entry)
    await fleet.settle(2)
    worker = worker_that_runs(fleet, TASK_ID)
    worker.crash()
    fleet.agents[worker.number].kill()
    return worker


@pytest.mark.parametrize("has_power", [True, False])
def test_a_task_of_a_lost_instance_is_not_stranded_by_a_leader_change(has_power):
    async def scenario(fleet):
        await lose_instance(fleet)
        await fleet.settle(2)
        leader = kill_leader(fleet)
        if not has_power:
            fleet.network.powered_off.add(leader.address)
        await fleet.settle(0.5 if has_power else 3.0)
        fleet.network.powered_off.clear()
        leader.start()
        await fleet.settle(MAX_WAIT_S)
        assert worker_that_runs(fleet, TASK_ID) is not None

    run_scenario(scenario)


def test_a_task_of_an_instance_lost_before_its_leader_is_not_stranded():
    async def scenario(fleet):
        await lose_instance(fleet)
        await fleet.settle(3)
        leader = kill_leader(fleet)
        fleet.network.powered_off.add(leader.address)
        await fleet.settle(MAX_WAIT_S)
        assert worker_that_runs(fleet, TASK_ID) is not None

    run_scenario(scenario)


def test_grants_are_suspended_although_an_earlier_leader_never_replied():
    async def scenario(fleet):
        leader = kill_leader(fleet)
        fleet.network.powered_off.add(leader.address)
        await fleet.settle(14)
        await lose_instance(fleet)
        await fleet.settle(3)
        (successor,) = [e for e in fleet.entries if e.candidate.leader]
        workers = successor.candidate.leader.cell.workers_by_id.values()
        assert [w.grants for w in workers].count(LeaseGrants.SUSPENDED) == 1

    run_scenario(scenario)


@pytest.mark.parametrize("max_lease_ms", [4000, 6000, 10_000])
def test_a_task_of_an_instance_lost_together_with_its_leader_is_not_stranded(
    max_lease_ms,
):
    async def scenario(fleet):
        await lose_instance(fleet)
        leader = kill_leader(fleet)
        fleet.network.powered_off.add(leader.address)
        await fleet.settle(MAX_WAIT_S)
        assert worker_that_runs(fleet, TASK_ID) is not None

    run_scenario(scenario, max_lease_ms=max_lease_ms)


def test_a_task_of_a_lost_instance_is_not_stranded_by_a_long_lease():
    async def scenario(fleet):
        await lose_instance(fleet)
        await fleet.settle(9.0)
        assert worker_that_runs(fleet, TASK_ID) is not None

    run_scenario(scenario, max_lease_ms=10_000)


async def restart_leader(fleet, is_planned):
    """Stop or kill the entry that leads, and start it again."""
    leader = next(e for e in fleet.entries if e.candidate.leader)
    if is_planned:
        await leader.candidate.resign()
    leader.kill()
    await fleet.settle(1.0)
    leader.start()


@pytest.mark.parametrize("is_planned", [True, False])
@pytest.mark.parametrize("seed", range(3))
def test_the_wait_for_a_lost_instance_does_not_start_anew_with_each_leader(
    seed, is_planned
):
    async def scenario(fleet):
        await lose_instance(fleet)
        for _ in range(3):
            await fleet.settle(3.0)
            await restart_leader(fleet, is_planned)
        # Less than one lease after the latest restart.
        await fleet.settle(1.0)
        assert worker_that_runs(fleet, TASK_ID) is not None

    run_scenario(scenario, seed, max_lease_ms=6000)


@pytest.mark.parametrize("seed", range(3))
def test_a_task_of_a_silent_worker_does_not_wait_for_a_leader_that_never_replies(seed):
    """Guards against later reports of the agent starting the wait anew."""

    async def scenario(fleet):
        fleet.durations[SERVING_JOB.job_id] = LONG_S
        await fleet.submit(SERVING_JOB)
        await fleet.settle(2)
        worker_that_runs(fleet, TASK_ID).is_cut_off = True
        await fleet.settle(4.0)
        leader = kill_leader(fleet)
        fleet.network.powered_off.add(leader.address)
        # Shorter than the time in which that leader might have granted leases.
        await fleet.settle(6.0)
        assert worker_that_runs(fleet, TASK_ID) is not None

    run_scenario(scenario, seed, max_lease_ms=6000)


@pytest.mark.parametrize("seed", range(4))
def test_a_task_of_a_cut_off_worker_is_not_started_twice_by_a_series_of_leaders(seed):
    async def scenario(fleet):
        fleet.durations[SERVING_JOB.job_id] = LONG_S
        entry = next(i for i, e in enumerate(fleet.entries) if e.candidate.leader)
        await fleet.submit(SERVING_JOB, entry)
        await fleet.settle(2)
        agent = fleet.agents[worker_that_runs(fleet, TASK_ID).number]
        for cut_s in (1.2, 2.0, 2.8, 3.6):
            for other in fleet.entries:
                fleet.cut(other, agent)
            await fleet.settle(cut_s)
            await restart_leader(fleet, seed % 2 == 0)
            # The agent gets a grant of the successor, and is silent again.
            fleet.network.cut_pairs.clear()
            await fleet.settle(0.3 * (seed + 1))
        for other in fleet.entries:
            fleet.cut(other, agent)
        for _ in range(3):
            await fleet.settle(2.5)
            await restart_leader(fleet, seed % 2 == 0)
        await fleet.settle(MAX_WAIT_S)
        # The checker of the fleet fails on two runs at a time.
        assert worker_that_runs(fleet, TASK_ID) is not None

    run_scenario(scenario, seed, max_lease_ms=6000)


async def wait_confirmed(fleet):
    """Return just after the store has confirmed the leader."""
    leader = next(e.candidate.leader for e in fleet.entries if e.candidate.leader)
    while leader.committer.unconfirmed_s > 0.05:
        await fleet.settle(0.05)


async def cut_off_leader(fleet, agent, successor):
    """Leave the leader with one agent, which its successor does not reach."""
    leader = next(e for e in fleet.entries if e.candidate.leader)
    fleet.store.mode_by_node[leader.address] = "silent"
    fleet.cut(successor, leader)
    fleet.cut(successor, agent)
    for reachable in set(fleet.agents) - {agent}:
        fleet.cut(leader, reachable)


@pytest.mark.parametrize("silence_s", [0, 3])
def test_a_task_is_not_started_twice_while_an_unreachable_leader_may_grant_leases(
    silence_s,
):
    async def scenario(fleet):
        fleet.durations[SERVING_JOB.job_id] = LONG_S
        await fleet.submit(SERVING_JOB)
        await fleet.settle(2)
        worker = worker_that_runs(fleet, TASK_ID)
        agent = fleet.agents[worker.number]
        fleet.network.partitioned.add(agent.address)
        await fleet.settle(silence_s)
        fleet.network.partitioned.clear()
        await fleet.settle(1.5)
        successor = next(e for e in fleet.entries if not e.candidate.leader)
        await wait_confirmed(fleet)
        await cut_off_leader(fleet, agent, successor)
        # The leader grants for 2 s without the store and an answer of the successor.
        await fleet.settle(5)
        assert successor.candidate.leader is not None
        assert worker_that_runs(fleet, TASK_ID) is worker
        await fleet.settle(4)
        assert worker_that_runs(fleet, TASK_ID) not in (None, worker)

    run_scenario(scenario)


def cut_off_other_entries(fleet, successor):
    """Cut off the leader and the other entries from the successor and the store."""
    for entry in fleet.entries:
        if entry is not successor:
            fleet.cut(successor, entry)
            fleet.store.mode_by_node[entry.address] = "silent"


def test_a_task_is_not_started_twice_by_an_entry_that_the_leader_does_not_know():
    async def scenario(fleet):
        newcomer = fleet.entries[2]
        fleet.durations[SERVING_JOB.job_id] = LONG_S
        await fleet.submit(SERVING_JOB)
        await fleet.settle(2)
        worker = worker_that_runs(fleet, TASK_ID)
        cut_off_other_entries(fleet, newcomer)
        await cut_off_leader(fleet, fleet.agents[worker.number], newcomer)
        # A read of the new nodes may be under way.
        await fleet.settle(2.5)
        newcomer.start()
        await fleet.settle(8.5)
        # The other entries answer the leader, which grants for 10 s.
        assert newcomer.candidate.leader is not None
        assert worker_that_runs(fleet, TASK_ID) is worker
        await fleet.settle(20)
        assert worker_that_runs(fleet, TASK_ID) not in (None, worker)

    run_scenario(scenario, entries=(1.0, 1.0, 1.0), late_entries=1)


def test_a_task_of_an_instance_lost_with_its_leader_is_not_stranded_by_a_newcomer():
    # Guards against a wait of 10 s by a successor that has just started and has heard
    # no notice of the leader, though an entry that has tells it so.
    async def scenario(fleet):
        await lose_instance(fleet)
        leader = kill_leader(fleet)
        fleet.network.powered_off.add(leader.address)
        (other,) = [e for e in fleet.entries[:2] if e is not leader]
        fleet.store.mode_by_node[other.address] = "silent"
        newcomer = fleet.entries[-1]
        newcomer.start()
        await fleet.settle(MAX_WAIT_S)
        assert newcomer.candidate.leader is not None
        assert worker_that_runs(fleet, TASK_ID) is not None

    run_scenario(scenario, entries=(1.0, 1.0, 1.0), late_entries=1)


@pytest.mark.parametrize("is_restarted", [False, True])
def test_a_task_is_not_started_twice_while_a_leader_has_lost_the_entry_that_bound_it(
    is_restarted,
):
    # The next process of that entry answers the leader as if it had no successor.
    async def scenario(fleet):
        newcomer = fleet.entries[-1]
        fleet.durations[SERVING_JOB.job_id] = LONG_S
        await fleet.submit(SERVING_JOB)
        await fleet.settle(2)
        worker = worker_that_runs(fleet, TASK_ID)
        leader = next(e for e in fleet.entries if e.candidate.leader)
        (other,) = [e for e in fleet.entries[:2] if e is not leader]
        await wait_confirmed(fleet)
        await cut_off_leader(fleet, fleet.agents[worker.number], newcomer)
        fleet.store.mode_by_node[other.address] = "silent"
        # A read of the new nodes may be under way.
        await fleet.settle(2.5)
        newcomer.start()
        while newcomer.candidate.leader is None:
            await asyncio.sleep(0.01)
        fleet.cut(leader, other)
        await fleet.settle(0.7)
        fleet.cut(newcomer, other)
        if is_restarted:
            other.kill()
            other.start()
        fleet.network.cut_pairs.discard(frozenset({leader.address, other.address}))
        # The fleet's checker fails on two runs at a time.
        await fleet.settle(20)
        assert worker_that_runs(fleet, TASK_ID) not in (None, worker)

    run_scenario(scenario, entries=(1.0, 1.0, 1.0), late_entries=1)


async def wait_followed(leader, agent):
    """Wait until an agent follows a leader and its worker has reported to that."""
    while agent.agent.epoch != leader.epoch:
        await asyncio.sleep(0.001)
    worker_id = agent.worker.worker_id
    while not (
        worker_id in leader.cell.workers_by_id
        and leader.cell.workers_by_id[worker_id].has_reported
    ):
        await asyncio.sleep(0.001)


@pytest.mark.parametrize("followed_s", [0.0, 0.6])
def test_a_task_is_not_started_twice_after_its_agent_has_forgotten_the_later_leader(
    followed_s,
):
    # The worker takes the calls of the agent's next process, whichever leader it
    # follows: that process must not extend a lease for longer than the later leader,
    # which it does not reach, counts on.
    async def scenario(fleet):
        newcomer = fleet.entries[2]
        fleet.durations[SERVING_JOB.job_id] = LONG_S
        await fleet.submit(SERVING_JOB)
        await fleet.settle(2)
        worker = worker_that_runs(fleet, TASK_ID)
        agent = fleet.agents[worker.number]
        first = next(e for e in fleet.entries if e.candidate.leader)
        cut_off_other_entries(fleet, newcomer)
        fleet.store.mode_by_node[first.address] = "silent"
        for unreachable in set(fleet.agents) - {agent}:
            fleet.cut(first, unreachable)
        # A read of the new nodes may be under way.
        await fleet.settle(2.5)
        newcomer.start()
        while newcomer.candidate.leader is None:
            await asyncio.sleep(0.0005)
        fleet.cut(first, agent)
        await wait_followed(newcomer.candidate.leader, agent)
        # In the longer time the worker is called under the token of a later session.
        await fleet.settle(followed_s)
        fleet.cut(newcomer, agent)
        agent.kill()
        # The earlier leader's poll of the agent's earlier process is over.
        await fleet.settle(1)
        agent.start()
        fleet.network.cut_pairs.discard(frozenset({first.address, agent.address}))
        await fleet.settle(2)
        # The other entries answer the earlier leader, which grants for 10 s.
        assert agent.agent.epoch == first.candidate.leader.epoch
        assert worker_that_runs(fleet, TASK_ID) is worker
        await fleet.settle(20)
        assert worker_that_runs(fleet, TASK_ID) not in (None, worker)

    run_scenario(scenario, entries=(1.0, 1.0, 1.0), late_entries=1)


def test_a_task_is_not_started_twice_by_an_entry_whose_answers_are_waived():
    async def scenario(fleet):
        leader = next(e for e in fleet.entries if e.candidate.leader)
        successor = next(e for e in fleet.entries if not e.candidate.leader)
        fleet.durations[SERVING_JOB.job_id] = LONG_S
        await fleet.submit(SERVING_JOB)
        fleet.cut(successor, leader)
        await fleet.settle(14)
        worker = worker_that_runs(fleet, TASK_ID)
        if successor.candidate.leader is not None:
            leader, successor = successor, leader
        cut_off_other_entries(fleet, successor)
        await cut_off_leader(fleet, fleet.agents[worker.number], successor)
        await fleet.settle(11)
        assert successor.candidate.leader is not None
        assert worker_that_runs(fleet, TASK_ID) is worker
        await fleet.settle(20)
        assert worker_that_runs(fleet, TASK_ID) not in (None, worker)

    run_scenario(scenario, entries=(1.0, 1.0, 1.0))


@pytest.mark.parametrize("is_one_lost", [False, True])
def test_tasks_run_on_through_an_outage_of_the_store(is_one_lost):
    async def scenario(fleet):
        fleet.durations[SERVING_JOB.job_id] = LONG_S
        await fleet.submit(SERVING_JOB)
        if is_one_lost:
            lost = next(e for e in fleet.entries if not e.candidate.leader)
            lost.kill()
            fleet.network.powered_off.add(lost.address)
            # Its answers are waived after a while.
            await fleet.settle(14)
        await fleet.settle(2)
        worker = worker_that_runs(fleet, TASK_ID)
        fleet.store.mode_by_node["*"] = "silent"
        await fleet.settle(11)
        assert worker_that_runs(fleet, TASK_ID) is worker
        fleet.store.mode_by_node.clear()
        await fleet.settle(5)
        assert worker_that_runs(fleet, TASK_ID) is worker
        assert fleet.checker.runs == 1

    run_scenario(scenario, entries=(1.0, 1.0, 1.0))


def test_an_earlier_leader_is_not_forgotten_early_after_a_slow_claim():
    async def scenario(fleet):
        first = next(e for e in fleet.entries if e.candidate.leader)
        second = fleet.entries[1 - fleet.entries.index(first)]
        term = first.candidate.leader
        append = second.candidate.journal.append

        async def append_late(stream, *args, **changes):
            if stream == CELL_STREAM and second.candidate.leader is None:
                await asyncio.sleep(1.4)
                term.committer.request_confirmation()
                await asyncio.sleep(0.02)
                fleet.store.mode_by_node[first.address] = "silent"
            return await append(stream, *args, **changes)

        second.candidate.journal.append = append_late
        for process in (second, *fleet.agents):
            fleet.cut(first, process)
        fleet.store.holder = second.settings.instance_id
        while term.may_grant:
            await fleet.settle(0.05)
            successor = second.candidate.leader
            was_forgotten = (
                successor and successor.grant_authority.earlier_leaders.have_all_ended
            )
            assert not (was_forgotten and term.may_grant)

    run_scenario(scenario)


def test_a_leader_ends_its_term_before_it_replies_to_its_successor():
    async def scenario(fleet):
        leader = next(e for e in fleet.entries if e.candidate.leader)
        term = leader.candidate.leader
        notice = fleet.make_notice(term.epoch + 1, "other:1")
        reply = await fleet.network.handlers_by_address[leader.address]["lead"](notice)
        assert reply.has_ended_terms
        assert term.is_deposed
        assert not term.may_grant

    run_scenario(scenario)


def make_record(earlier_addresses):
    return LeaderRecord(3, "leader:1", "instance", earlier_addresses)


def test_all_have_ended_once_each_earlier_leader_has_replied():
    earlier = EarlierLeaders.from_record(make_record(["first:1"]), "own:1")
    assert sorted(earlier.addresses) == ["first:1", "leader:1"]
    assert earlier.end("leader:1")
    assert not earlier.have_all_ended
    assert not earlier.end("leader:1")
    assert earlier.end("first:1")
    assert earlier.have_all_ended


def test_the_own_earlier_term_has_ended():
    earlier = EarlierLeaders.from_record(make_record([]), "leader:1")
    assert earlier.have_all_ended


def test_a_record_that_names_no_earlier_leaders_leaves_them_unknown():
    earlier = EarlierLeaders.from_record(make_record(None), "own:1")
    assert earlier.end("leader:1")
    assert not earlier.have_all_ended
    assert earlier.to_record() is None


def test_the_first_leader_has_no_earlier_ones():
    assert EarlierLeaders.from_record(None, "own:1", is_first=True).have_all_ended


def test_an_unreadable_record_leaves_the_earlier_leaders_unknown():
    assert not EarlierLeaders.from_record(None, "own:1").have_all_ended
