"""The fleet's promises on virtual time, under the faults of the platform."""

import asyncio

import pytest

from dotterelspread.gen.peer.ttypes import WorkResult
from dotterelspread.jobs import clock
from dotterelspread.jobs.forwarding import Verb
from dotterelspread.jobs.takeover import take_over
from dotterelspread.processsettings import FleetRole
from tests.builders_fleet import (
    make_job,
    make_settings,
    make_step,
    play,
)

TWO_STEPS = (make_step(count=3), make_step(count=2, depends_on=(0,)))


async def expect_completed(fleet, within_s=20):
    for _ in range(int(within_s / 0.5)):
        await fleet.settle(0.5)
        states = [await fleet.state(job_id) for job_id in fleet.accepted]
        if all(reply.state == "COMPLETED" for reply in states):
            return
    raise AssertionError([(s.state, s.reason) for s in states])


def test_a_job_runs_step_by_step_to_its_end():
    async def scenario(fleet):
        reply = await fleet.submit(make_job(1, TWO_STEPS))
        assert reply.result == WorkResult.DONE
        await expect_completed(fleet, 5)
        assert fleet.checker.runs == 5

    play(scenario)


def test_a_repeat_through_another_entry_is_the_same_job():
    async def scenario(fleet):
        job = make_job(1, TWO_STEPS)
        replies = await asyncio.gather(fleet.submit(job, 0), fleet.submit(job, 1))
        assert [reply.result for reply in replies] == [WorkResult.DONE] * 2
        await expect_completed(fleet, 5)
        assert fleet.checker.runs == 5

    play(scenario)


def test_an_unknown_job_is_denied_by_the_leader_only():
    async def scenario(fleet):
        assert (await fleet.state("0" * 16, 0)).result == WorkResult.NOT_FOUND
        assert (await fleet.state("0" * 16, 1)).result == WorkResult.NOT_FOUND
        fleet.store.mode_by_node["*"] = "silent"
        await fleet.settle(4)
        assert (await fleet.state("0" * 16, 0)).result == WorkResult.REFUSED

    play(scenario)


def test_the_next_leader_goes_on_where_a_killed_one_stopped():
    async def scenario(fleet):
        for number in range(6):
            await fleet.submit(make_job(number, TWO_STEPS), number % 2)
        leader = next(e for e in fleet.entries if e.candidate.leader)
        leader.kill()
        await fleet.settle(4)
        leader.start()
        await expect_completed(fleet)
        assert fleet.checker.runs == 30

    play(scenario)


def test_all_entries_killed_at_once_lose_nothing_that_was_accepted():
    async def scenario(fleet):
        fleet.durations[f"{0:016x}"] = 5.0
        for number in range(4):
            await fleet.submit(make_job(number, TWO_STEPS))
        for entry in fleet.entries:
            entry.kill()
        await fleet.settle(1)
        for entry in fleet.entries:
            entry.start()
        await expect_completed(fleet, 30)
        assert fleet.checker.runs == 20

    play(scenario)


def test_a_killed_agent_does_not_cost_the_runs_on_its_worker():
    async def scenario(fleet):
        fleet.durations[f"{1:016x}"] = 4.0
        await fleet.submit(make_job(1, (make_step(count=9),)))
        for agent in fleet.agents:
            agent.kill()
        await fleet.settle(1)
        for agent in fleet.agents:
            agent.start()
        await expect_completed(fleet)
        assert fleet.checker.runs == 9

    play(scenario)


def test_a_crashed_worker_loses_its_runs_to_the_others():
    async def scenario(fleet):
        fleet.durations[f"{1:016x}"] = 3.0
        await fleet.submit(make_job(1, (make_step(count=9),)))
        await fleet.settle(1)
        fleet.workers[0].crash()
        await expect_completed(fleet, 20)

    play(scenario)


def test_a_reborn_worker_holds_nothing_of_before():
    async def scenario(fleet):
        fleet.durations[f"{1:016x}"] = 3.0
        await fleet.submit(make_job(1, (make_step(count=9),)))
        await fleet.settle(1)
        fleet.workers[0].crash()
        fleet.workers[0].begin_incarnation()
        await expect_completed(fleet, 9)

    play(scenario)


def test_a_cut_agent_resumes_or_its_runs_go_elsewhere_never_both():
    async def scenario(fleet):
        fleet.durations[f"{1:016x}"] = 4.0
        await fleet.submit(make_job(1, (make_step(count=9),)))
        await fleet.settle(1)
        fleet.network.cut.add(fleet.agents[0].address)
        await fleet.settle(9)
        fleet.network.cut.clear()
        await expect_completed(fleet, 20)

    play(scenario)


def test_a_failing_job_ends_as_failed_after_its_attempts():
    async def scenario(fleet):
        job = make_job(1, (make_step(count=1),))
        fleet.poison.add(job.job_id)
        await fleet.submit(job)
        await fleet.settle(6)
        assert (await fleet.state(job.job_id)).state == "FAILED"
        assert fleet.checker.runs == 3

    play(scenario)


def test_a_cancelled_job_stops_and_stays_cancelled():
    async def scenario(fleet):
        job = make_job(1, TWO_STEPS)
        fleet.durations[job.job_id] = 30.0
        await fleet.submit(job)
        await fleet.settle(1)
        reply = await fleet.ask(Verb.CANCEL, job.job_id)
        assert reply.result == WorkResult.DONE
        await fleet.settle(1.5)
        assert not any(worker.running for worker in fleet.workers)
        assert (await fleet.state(job.job_id)).state == "CANCELLED"
        for entry in fleet.entries:
            entry.kill()
            entry.start()
        await fleet.settle(5)
        assert (await fleet.state(job.job_id)).state == "CANCELLED"

    play(scenario)


def test_a_service_task_is_restarted_however_it_ends():
    async def scenario(fleet):
        job = make_job(1, (make_step(count=2, is_service=True),))
        fleet.durations[job.job_id] = 1.0
        await fleet.submit(job)
        await fleet.settle(6)
        assert (await fleet.state(job.job_id)).state == "RUNNING"
        assert fleet.checker.runs > 4

    play(scenario)


def test_gang_members_start_under_one_run():
    async def scenario(fleet):
        step = make_step(count=4, is_gang=True)
        await fleet.submit(make_job(1, (step,)))
        await expect_completed(fleet, 5)
        assert fleet.checker.runs == 4

    play(scenario)


def test_repeated_occurrences_start_when_they_are_due(monkeypatch):
    from dotterelspread.jobs import clock

    async def scenario(fleet):
        start_s = clock.now_s()
        monkeypatch.setattr(
            clock, "wall_ms", lambda: int((clock.now_s() - start_s) * 1000)
        )
        spec = make_job(1, first_ms=1000, interval_ms=2000, repeat_count=3)
        await fleet.submit(spec)
        runs = []
        for _ in range(4):
            runs.append(fleet.checker.runs)
            await fleet.settle(2)
        assert runs == [0, 1, 2, 3]
        await expect_completed(fleet, 3)

    play(scenario)


def test_a_submission_is_refused_at_once_while_the_store_is_silent():
    async def scenario(fleet):
        fleet.store.mode_by_node["*"] = "silent"
        first = await fleet.submit(make_job(1), deadline_ms=1500)
        assert first.result == WorkResult.UNKNOWN
        later = await fleet.submit(make_job(2), deadline_ms=3000)
        assert later.result == WorkResult.REFUSED
        fleet.store.mode_by_node.clear()
        await fleet.settle(6)
        assert (await fleet.state(f"{2:016x}")).result == WorkResult.NOT_FOUND

    play(scenario)


def test_no_leader_refuses_at_once_and_says_when_to_come_back():
    async def scenario(fleet):
        for entry in fleet.entries:
            entry.kill()
        await fleet.settle(4)
        reply = await fleet.submit(make_job(1))
        assert reply.result == WorkResult.REFUSED
        assert reply.retry_after_ms > 0

    play(scenario)


@pytest.mark.parametrize("seed", range(12))
def test_promises_hold_under_mixed_faults(seed):
    async def scenario(fleet):
        rng = fleet.rng
        fleet.store.loss = rng.choice([0.0, 0.2])
        fleet.network.loss = rng.choice([0.0, 0.02])
        for worker in fleet.workers:
            worker.late = rng.choice([0.0, 0.2])
        for number in range(14):
            count = rng.randint(1, 6)
            steps = (make_step(count=count), make_step(count=2, depends_on=(0,)))
            fleet.durations[f"{number:016x}"] = rng.choice([0.3, 1.0, 3.0])
            await fleet.submit(make_job(number, steps), rng.randrange(2), 2500)
            await disturb(fleet, rng)
            await fleet.settle(rng.uniform(0.1, 1.5))
        heal(fleet)
        await fleet.settle(15)
        await expect_completed(fleet, 60)

    play(scenario, seed)


async def disturb(fleet, rng):
    trouble = rng.choice(
        ["none", "kill entry", "kill agent", "crash", "reborn", "cut", "store", "heal"]
    )
    if trouble == "kill entry":
        entry = rng.choice(fleet.entries)
        entry.kill()
        entry.start()
    elif trouble == "kill agent":
        agent = rng.choice(fleet.agents)
        agent.kill()
        agent.start()
    elif trouble == "crash":
        worker = rng.choice(fleet.workers)
        if worker.is_up:
            worker.crash()
    elif trouble == "reborn":
        worker = rng.choice(fleet.workers)
        if worker.is_up:
            worker.crash()
        worker.begin_incarnation()
    elif trouble == "cut":
        everyone = [p.address for p in (*fleet.entries, *fleet.agents)]
        fleet.network.cut.add(rng.choice(everyone))
    elif trouble == "store":
        node = rng.choice(["*", *(e.address for e in fleet.entries)])
        fleet.store.mode_by_node[node] = rng.choice(["busy", "silent"])
    elif trouble == "heal":
        heal(fleet)


def heal(fleet):
    fleet.network.cut.clear()
    fleet.store.mode_by_node.clear()
    for worker in fleet.workers:
        if not worker.is_up:
            worker.begin_incarnation()


def test_a_successor_knows_the_worker_that_another_one_replaced():
    async def scenario(fleet):
        fleet.durations[f"{1:016x}"] = 2.0
        await fleet.submit(make_job(1, (make_step(count=9),)))
        await fleet.settle(1)
        processes = (*fleet.entries, *fleet.agents)
        for process in processes:
            process.kill()
        for worker in fleet.workers:
            worker.crash()
        for number, worker in enumerate(fleet.workers):
            worker.worker_id = f"i-new-{number}"
            worker.begin_incarnation()
        for process in processes:
            process.start()
        await expect_completed(fleet, 8)

    play(scenario)


def test_runs_of_a_worker_that_left_go_elsewhere_at_once():
    async def scenario(fleet):
        fleet.durations[f"{1:016x}"] = 1.5
        await fleet.submit(make_job(1, (make_step(count=9),)))
        await fleet.settle(0.5)
        worker, agent = fleet.workers[0], fleet.agents[0].agent
        worker.is_draining = True
        agent.announce(worker.announcement())
        agent.leave(worker.worker_id)
        worker.crash()
        await expect_completed(fleet, 4)

    play(scenario)


def test_a_caller_of_a_leader_cut_from_the_store_is_answered_by_its_successor():
    async def scenario(fleet):
        leader = next(e for e in fleet.entries if e.candidate.leader)
        other = fleet.entries[1 - fleet.entries.index(leader)]
        fleet.store.mode_by_node[leader.address] = "silent"
        began_s = clock.now_s()
        for number, entry in enumerate((leader, other)):
            index = fleet.entries.index(entry)
            reply = await fleet.submit(make_job(number), index, 3000)
            assert reply.result == WorkResult.DONE
        assert clock.now_s() - began_s < 2.0

    play(scenario)


def name_other_holder(fleet):
    """Let the store's group name an entry that does not lead; return both entries."""
    leader = next(e for e in fleet.entries if e.candidate.leader)
    other = fleet.entries[1 - fleet.entries.index(leader)]
    fleet.store.members[other.settings.instance_id] = float("inf")
    fleet.store.holder = other.settings.instance_id
    return leader, other


def test_a_leader_leads_on_until_its_successor_has_claimed():
    async def scenario(fleet):
        leader, other = name_other_holder(fleet)
        fleet.store.mode_by_node[other.address] = "busy"
        await fleet.settle(1)
        reply = await fleet.submit(make_job(1, TWO_STEPS), 0)
        assert reply.result == WorkResult.DONE
        fleet.store.mode_by_node[leader.address] = "busy"
        del fleet.store.mode_by_node[other.address]
        await expect_completed(fleet, 6)
        assert other.candidate.leader is not None
        fleet.store.mode_by_node.clear()
        await fleet.settle(2)
        assert leader.candidate.leader is None

    play(scenario)


def test_a_leader_that_works_stays_when_the_group_names_another():
    async def scenario(fleet):
        leader, other = name_other_holder(fleet)
        await fleet.settle(5)
        assert leader.candidate.leader is not None
        assert other.candidate.leader is None

    play(scenario)


def test_a_leader_that_stops_as_planned_is_followed_at_once():
    async def scenario(fleet):
        leader, other = name_other_holder(fleet)
        await fleet.settle(1)
        await leader.candidate.resign()
        await fleet.settle(0.7)
        assert other.candidate.leader is not None

    play(scenario)


def test_a_leader_returns_when_the_store_was_away_for_all():
    async def scenario(fleet):
        leader, other = name_other_holder(fleet)
        fleet.store.mode_by_node["*"] = "silent"
        await fleet.settle(5)
        fleet.store.mode_by_node.clear()
        await fleet.settle(4)
        assert leader.candidate.leader is not None
        assert other.candidate.leader is None

    play(scenario)


def test_a_caller_whose_leader_lost_power_is_answered_by_the_next_one():
    async def scenario(fleet):
        leader = next(e for e in fleet.entries if e.candidate.leader)
        other = fleet.entries[1 - fleet.entries.index(leader)]
        leader.kill()
        fleet.network.dark.add(leader.address)
        await fleet.settle(0.6)
        began_s = clock.now_s()
        reply = await fleet.submit(make_job(1), fleet.entries.index(other))
        assert reply.result == WorkResult.DONE
        assert clock.now_s() - began_s < 0.9

    play(scenario)


def test_a_leader_that_was_suspended_grants_nothing_until_it_is_confirmed(monkeypatch):
    async def scenario(fleet):
        process = next(e for e in fleet.entries if e.candidate.leader)
        leader = process.candidate.leader
        fleet.store.mode_by_node[process.address] = "silent"
        await fleet.settle(0.1)
        assert leader.may_grant
        monkeypatch.setattr(clock, "suspended_s", lambda: 12.0)
        assert not leader.may_grant
        assert not leader.is_fresh

    play(scenario)


def test_a_successor_has_all_that_was_appended_until_its_claim():
    async def scenario(fleet):
        leader = next(e for e in fleet.entries if e.candidate.leader)
        journal = fleet.store.journal("successor")
        read = journal.snapshot

        async def read_slowly(stream):
            snapshot = await read(stream)
            await asyncio.sleep(0.5)
            return snapshot

        journal.snapshot = read_slowly
        settings = make_settings(FleetRole.ENTRY, 9, fleet.bounds)
        work = asyncio.ensure_future(take_over(journal, settings))
        for number in range(30):
            spec = make_job(number, (make_step(count=2, is_service=True),))
            await fleet.submit(spec, fleet.entries.index(leader))
            await asyncio.sleep(0.03)
        term = await asyncio.wait_for(work, 3)
        assert term.cell.jobs_by_id.keys() >= fleet.accepted

    play(scenario)


@pytest.mark.parametrize("slowness", [float("inf"), 12.0])
def test_runs_on_a_worker_that_stands_still_or_crawls_go_on_elsewhere(slowness):
    async def scenario(fleet):
        fleet.workers[0].slowness = slowness
        fleet.durations[f"{1:016x}"] = 1.5
        await fleet.submit(make_job(1, (make_step(count=9),)))
        await expect_completed(fleet, 9)

    play(scenario)


def test_a_slow_step_is_not_moved_where_all_of_it_is_slow():
    async def scenario(fleet):
        for worker in fleet.workers:
            worker.slowness = 6.0
        await fleet.submit(make_job(1, (make_step(count=9),)))
        await expect_completed(fleet, 8)
        assert fleet.checker.runs == 9

    play(scenario)


def test_a_large_entry_leads_and_a_small_one_does_when_it_is_gone():
    async def scenario(fleet):
        small, large, other = fleet.entries
        assert large.candidate.leader is not None
        large.kill()
        await fleet.settle(6)
        assert small.candidate.leader or other.candidate.leader
        large.start()
        await fleet.settle(6)
        reply = await fleet.submit(make_job(1, TWO_STEPS))
        assert reply.result == WorkResult.DONE
        await expect_completed(fleet, 6)

    play(scenario, entries=(0.3, 2.0, 0.3))
