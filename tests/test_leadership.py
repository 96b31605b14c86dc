"""Leader election and failover of a fleet on virtual time."""

import asyncio

from dotterelspread.gen.peer.ttypes import WorkResult
from dotterelspread.jobs import clock
from dotterelspread.jobs.forwarding import Verb, make_request
from dotterelspread.jobs.jobacceptance import StoreUnresponsiveError
from dotterelspread.jobs.leader import Leader
from dotterelspread.jobs.takeover import take_over
from dotterelspread.processsettings import FleetRole
from tests.builders_fleet import (
    make_job,
    make_step,
    run_scenario,
)
from tests.builders_processes import make_settings

#: Id of a job that nobody has submitted.
ID = "0" * 16
TWO_STEPS = (make_step(count=3), make_step(count=2, depends_on=(0,)))


def test_a_new_leader_completes_the_jobs_of_a_killed_leader():
    async def scenario(fleet):
        for number in range(6):
            await fleet.submit(make_job(number, TWO_STEPS), number % 2)
        leader = next(e for e in fleet.entries if e.candidate.leader)
        leader.kill()
        await fleet.settle(4)
        leader.start()
        await fleet.expect_completed()
        assert fleet.checker.runs == 30

    run_scenario(scenario)


def test_a_submission_succeeds_when_the_leader_loses_the_store():
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

    run_scenario(scenario)


async def take_over_with_new_entry(fleet):
    """Return the `Term` of a claim by an entry that the fleet does not have."""
    settings = make_settings(FleetRole.ENTRY, 9, fleet.bounds)
    return await take_over(fleet.store.journal("successor"), settings)


def assign_group_to_other_entry(fleet):
    """Assign the group's partition to a non-leader; return the leader and it."""
    leader = next(e for e in fleet.entries if e.candidate.leader)
    other = fleet.entries[1 - fleet.entries.index(leader)]
    fleet.store.members[other.settings.instance_id] = float("inf")
    fleet.store.holder = other.settings.instance_id
    return leader, other


def test_a_leader_leads_on_until_its_successor_has_claimed():
    async def scenario(fleet):
        leader, other = assign_group_to_other_entry(fleet)
        fleet.store.mode_by_node[other.address] = "busy"
        await fleet.settle(1)
        reply = await fleet.submit(make_job(1, TWO_STEPS), 0)
        assert reply.result == WorkResult.DONE
        fleet.store.mode_by_node[leader.address] = "busy"
        del fleet.store.mode_by_node[other.address]
        await fleet.expect_completed(6)
        assert other.candidate.leader is not None
        fleet.store.mode_by_node.clear()
        await fleet.settle(2)
        assert leader.candidate.leader is None

    run_scenario(scenario)


def test_a_healthy_leader_keeps_leading_when_the_group_names_another():
    async def scenario(fleet):
        leader, other = assign_group_to_other_entry(fleet)
        await fleet.settle(5)
        assert leader.candidate.leader is not None
        assert other.candidate.leader is None

    run_scenario(scenario)


def test_a_resigning_leader_is_replaced_at_once():
    async def scenario(fleet):
        leader, other = assign_group_to_other_entry(fleet)
        await fleet.settle(1)
        await leader.candidate.resign()
        await fleet.settle(0.7)
        assert other.candidate.leader is not None

    run_scenario(scenario)


def lose_other_entry(fleet):
    """Kill the entry that does not lead; return the leader's."""
    leader = next(e for e in fleet.entries if e.candidate.leader)
    fleet.entries[1 - fleet.entries.index(leader)].kill()
    return leader


def test_an_entry_that_is_being_stopped_does_not_claim_the_leadership_again():
    async def scenario(fleet):
        leader = lose_other_entry(fleet)
        epoch = leader.candidate.leader.epoch
        await leader.candidate.resign()
        # Longer than the others take to replace a silent leader.
        await fleet.settle(6)
        assert leader.candidate.leader is None
        term = await take_over_with_new_entry(fleet)
        assert term.writer.epoch == epoch + 1

    run_scenario(scenario)


def test_an_entry_that_is_stopped_during_a_claim_does_not_lead():
    async def scenario(fleet):
        leader = lose_other_entry(fleet)
        candidate = leader.candidate
        candidate.leader.depose("an error", is_superseded=False)
        fleet.store.delay_s = 0.2
        await fleet.settle(1.5)
        assert candidate._term_task is not None
        assert candidate.leader is None
        await candidate.resign()
        await fleet.settle(6)
        assert candidate.leader is None

    run_scenario(scenario)


def test_an_entry_that_is_stopped_while_it_joins_does_not_keep_the_turn():
    async def scenario(fleet):
        leader, other = assign_group_to_other_entry(fleet)
        journal = leader.candidate.journal
        join = journal.join
        is_joining, is_stopped = asyncio.Event(), asyncio.Event()

        async def join_when_stopped(*arguments):
            is_joining.set()
            await is_stopped.wait()
            return await join(*arguments)

        journal.join = join_when_stopped
        await is_joining.wait()
        await leader.candidate.resign()
        is_stopped.set()
        await fleet.settle(0.1)
        assert set(fleet.store.members) == {other.settings.instance_id}

    run_scenario(scenario)


def test_a_term_that_ends_by_an_error_is_followed_by_another_at_once():
    async def scenario(fleet):
        leader = next(e for e in fleet.entries if e.candidate.leader)
        epoch = leader.candidate.leader.epoch
        leader.candidate.leader.depose("an error", is_superseded=False)
        await fleet.settle(0.7)
        (successor,) = [e for e in fleet.entries if e.candidate.leader]
        assert successor.candidate.leader.epoch == epoch + 1

    run_scenario(scenario)


def test_a_leader_keeps_leading_after_a_store_outage_for_all_entries():
    async def scenario(fleet):
        leader, other = assign_group_to_other_entry(fleet)
        fleet.store.mode_by_node["*"] = "silent"
        await fleet.settle(5)
        fleet.store.mode_by_node.clear()
        await fleet.settle(4)
        assert leader.candidate.leader is not None
        assert other.candidate.leader is None

    run_scenario(scenario)


def test_a_submission_succeeds_when_the_leader_loses_power():
    async def scenario(fleet):
        leader = next(e for e in fleet.entries if e.candidate.leader)
        other = fleet.entries[1 - fleet.entries.index(leader)]
        leader.kill()
        fleet.network.powered_off.add(leader.address)
        await fleet.settle(0.6)
        began_s = clock.now_s()
        reply = await fleet.submit(make_job(1), fleet.entries.index(other))
        assert reply.result == WorkResult.DONE
        assert clock.now_s() - began_s < 0.9

    run_scenario(scenario)


def test_a_suspended_leader_grants_no_leases_until_confirmed(monkeypatch):
    async def scenario(fleet):
        process = next(e for e in fleet.entries if e.candidate.leader)
        leader = process.candidate.leader
        fleet.store.mode_by_node[process.address] = "silent"
        await fleet.settle(0.1)
        assert leader.may_grant
        monkeypatch.setattr(clock, "suspended_s", lambda: 12.0)
        assert not leader.may_grant
        reply = await process.forwarder.handle(make_request(Verb.STATE, ID, "q", 3000))
        assert reply.result == WorkResult.REFUSED

    run_scenario(scenario)


def test_submissions_that_the_store_cannot_have_seen_are_refused_at_once():
    async def scenario(fleet):
        fleet.store.mode_by_node["*"] = "silent"
        began_s = clock.now_s()
        work = []
        for number in range(6):
            spec = make_job(number, TWO_STEPS)
            work.append(asyncio.ensure_future(fleet.submit(spec, number % 2)))
            work.append(asyncio.ensure_future(fleet.submit(spec, (number + 1) % 2)))
            await asyncio.sleep(0.05)
        first, _, *others = work
        for reply in await asyncio.gather(*others):
            assert reply.result == WorkResult.REFUSED
            assert reply.retry_after_ms
        assert clock.now_s() - began_s < 1.0
        # The append under way may reach the store.
        assert not first.done()
        fleet.store.mode_by_node.clear()
        await fleet.settle(4)
        assert (await first).result == WorkResult.DONE
        assert fleet.checker.runs == 5
        for number in range(6):
            reply = await fleet.submit(make_job(number, TWO_STEPS), number % 2)
            assert reply.result == WorkResult.DONE
        await fleet.expect_completed()
        assert fleet.checker.runs == 30

    run_scenario(scenario)


def test_both_callers_of_a_withdrawn_job_are_refused_though_the_store_returns():
    async def scenario(fleet):
        process = next(e for e in fleet.entries if e.candidate.leader)
        leader = process.candidate.leader
        append = leader.journal.append
        is_store_back = asyncio.Event()

        async def append_when_back(*arguments, **options):
            await is_store_back.wait()
            return await append(*arguments, **options)

        leader.journal.append = append_when_back
        work = [asyncio.ensure_future(fleet.submit(make_job(1)))]
        await asyncio.sleep(0.55)
        for _ in range(2):
            work.append(asyncio.ensure_future(leader.submit(make_job(2))))
            await asyncio.sleep(0.04)
        # The first caller of job 2 has been refused, the second one still waits.
        await asyncio.sleep(0.03)
        is_store_back.set()
        accepted, *refused = await asyncio.gather(*work, return_exceptions=True)
        assert accepted.result == WorkResult.DONE
        assert [type(error) for error in refused] == [StoreUnresponsiveError] * 2
        await fleet.settle(2)
        assert fleet.checker.runs == 1

    run_scenario(scenario)


def test_a_repeat_of_an_accepted_job_is_accepted_while_the_store_is_silent():
    async def scenario(fleet):
        await fleet.submit(make_job(1, TWO_STEPS))
        fleet.store.mode_by_node["*"] = "silent"
        began_s = clock.now_s()
        for entry in (0, 1):
            reply = await fleet.submit(make_job(1, TWO_STEPS), entry)
            assert reply.result == WorkResult.DONE
            await fleet.settle(1)
        assert clock.now_s() - began_s < 2.5

    run_scenario(scenario)


def test_a_leader_with_a_successor_denies_no_job():
    async def scenario(fleet):
        process = next(e for e in fleet.entries if e.candidate.leader)
        await take_over_with_new_entry(fleet)
        # The successor may have accepted any job without this leader knowing it.
        for verb in (Verb.STATE, Verb.CANCEL):
            request = make_request(verb, ID, "q", 3000)
            reply = await process.forwarder.handle(request)
            assert reply.result != WorkResult.NOT_FOUND

    run_scenario(scenario)


def test_an_unknown_job_is_neither_denied_nor_held_while_the_store_is_silent():
    async def scenario(fleet):
        process = next(e for e in fleet.entries if e.candidate.leader)
        fleet.store.mode_by_node["*"] = "silent"
        began_s = clock.now_s()
        for _ in range(2):
            request = make_request(Verb.STATE, ID, "q", 3000)
            reply = await process.forwarder.handle(request)
            assert reply.result == WorkResult.REFUSED
        assert clock.now_s() - began_s < 1.0

    run_scenario(scenario)


def test_a_process_that_was_paused_after_its_claim_grants_no_leases():
    async def scenario(fleet):
        journal = fleet.store.journal("successor")
        append = journal.append

        async def append_before_a_pause(*arguments, **options):
            offset = await append(*arguments, **options)
            await asyncio.sleep(12)
            return offset

        journal.append = append_before_a_pause
        settings = make_settings(FleetRole.ENTRY, 9, fleet.bounds)
        term = await take_over(journal, settings)
        pool = fleet.network.pool(settings.peer_address)
        leader = Leader(
            settings,
            journal,
            pool,
            term,
            fleet.configuration,
            fleet.policy,
            fleet.entries[0].evacuations,
        )
        # A further successor may have waited for the leases that it knows of.
        assert not leader.may_grant
        assert not leader.is_confirmed
        leader.stop()

    run_scenario(scenario)


def test_a_successor_reads_all_records_appended_before_its_claim():
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

    run_scenario(scenario)


def test_a_large_entry_leads_and_a_small_one_takes_over_on_its_failure():
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
        await fleet.expect_completed(6)

    run_scenario(scenario, entries=(0.3, 2.0, 0.3))
