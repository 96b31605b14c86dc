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


async def cut_off_leader(fleet, agent):
    """Leave the leader with one agent, which no other entry reaches."""
    leader = next(e for e in fleet.entries if e.candidate.leader)
    other = fleet.entries[1 - fleet.entries.index(leader)]
    fleet.store.mode_by_node[leader.address] = "silent"
    fleet.cut(other, leader)
    fleet.cut(other, agent)
    for reachable in set(fleet.agents) - {agent}:
        fleet.cut(leader, reachable)
    return other


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
        successor = await cut_off_leader(fleet, agent)
        await fleet.settle(9)
        assert successor.candidate.leader is not None
        assert worker_that_runs(fleet, TASK_ID) is worker
        await fleet.settle(20)
        assert worker_that_runs(fleet, TASK_ID) not in (None, worker)

    run_scenario(scenario)


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
            was_forgotten = successor and successor.earlier_leaders.have_all_ended
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
