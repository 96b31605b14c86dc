"""What a successor reads of the leases that earlier leaders may have granted."""

import asyncio
import random

import msgspec
import pytest

from dotterelspread.jobs import clock, takeover
from dotterelspread.jobs.cell import EarlierTermsEnded
from dotterelspread.jobs.earlierleaders import (
    CONFIRMED_GRANT_S,
    MAX_UNCONFIRMED_GRANT_S,
)
from dotterelspread.jobs.handlers import reduce
from dotterelspread.jobs.incarnations import adopt_assigned
from dotterelspread.jobs.inheritedleases import MIN_WAIT_S
from dotterelspread.jobs.job import Job
from dotterelspread.jobs.journal import KeyedRecord
from dotterelspread.jobs.leaseend import lease_end_s
from dotterelspread.jobs.records import (
    CELL_STREAM,
    LeaderRecord,
    job_records,
    leader_record,
    residual_lease_record,
    suspension_record,
    waiver_record,
    worker_record,
)
from dotterelspread.jobs.restartedworkers import may_hold_residual_lease
from dotterelspread.jobs.takeover import (
    ClaimTimeoutError,
    OvertakenError,
    take_over,
)
from dotterelspread.jobs.worker import LeaseGrants
from dotterelspread.processsettings import FleetBounds, FleetRole
from tests.builders_cell import make_worker
from tests.builders_fleet import make_job, make_step
from tests.builders_processes import make_settings
from tests.builders_store import VirtualStore
from tests.virtualloop import run_virtually

EPOCH = 5
KEY = (0, 0, 0)
WORKER_ID = "i-0"


def records_of_run(leader):
    """Return the records of a leader that has started one run on a worker."""
    job = Job.from_spec(make_job(1), 0.0)
    job.assign(KEY, make_worker(0), 1)
    return [leader_record(leader), *job_records(job, is_new=True)]


def wait_after(leader, *records, late_records=(), heard_addresses=(), bounds=None):
    """Take over a worker with one run; return the wait beyond one grant in seconds.

    Parameters
    ----------
    leader : LeaderRecord
    *records : KeyedRecord
    late_records : sequence of KeyedRecord
        Appended by the leader just before the claim of its successor.
    heard_addresses : collection of str
        Leaders that the successor has heard.
    bounds : FleetBounds, optional
    """

    async def run():
        store = VirtualStore(random.Random(1))
        journal = store.journal("successor")
        append = journal.append

        async def append_claim(stream, claim, writer):
            await append(stream, list(late_records))
            return await append(stream, claim, writer)

        await journal.append(CELL_STREAM, [*records_of_run(leader), *records])
        if late_records:
            journal.append = append_claim
        settings = make_settings(FleetRole.ENTRY, 9, bounds)
        term = await take_over(journal, settings, heard_addresses)
        adopted = term.cell.workers_by_id[WORKER_ID]
        one_grant_s = lease_end_s(clock.now_s(), settings.bounds.lease_ms)
        return adopted.lease_end_s - one_grant_s

    return run_virtually(run())


def take_over_after(leader, *records):
    """Take over a worker with one run; return whether one lease is waited for."""
    return wait_after(leader, *records) <= 0


def full_wait_after(leader, *records, **options):
    """Like `wait_after`, for the whole wait in seconds."""
    bounds = options.setdefault("bounds", FleetBounds(max_lease_ms=4000))
    return wait_after(leader, *records, **options) + lease_end_s(0.0, bounds.lease_ms)


def make_leader(*earlier_addresses):
    return LeaderRecord(
        EPOCH, "leader:1", "instance", list(earlier_addresses), need_answers=True
    )


def test_a_worker_without_a_suspension_may_hold_leases_for_long():
    assert not take_over_after(make_leader())


def test_a_worker_that_the_last_leader_suspended_holds_leases_for_one_lease():
    assert take_over_after(make_leader("first:1"), suspension_record("i-0", EPOCH))


@pytest.mark.parametrize(
    ("remaining_ms", "wait_s"), [(0, MIN_WAIT_S), (1500, 1.5), (60_000, 4.62)]
)
def test_a_successor_waits_only_for_what_remains_of_a_recorded_lease(
    remaining_ms, wait_s
):
    record = suspension_record(WORKER_ID, EPOCH, remaining_ms)
    leader = make_leader("first:1")
    assert full_wait_after(leader, record) == pytest.approx(wait_s, abs=0.01)


def test_a_successor_waits_for_all_of_a_lease_that_was_resumed_before_its_claim():
    suspended = suspension_record(WORKER_ID, EPOCH, 0)
    resumed = suspension_record(WORKER_ID, 0)
    assert full_wait_after(make_leader(), suspended, late_records=[resumed]) > 4.6


def test_a_successor_grants_no_leases_before_it_has_ended_an_adopted_suspension():
    leader = make_leader()
    record = suspension_record(WORKER_ID, EPOCH, 0)
    cell = cell_after(*records_of_run(leader), record)
    assert cell.workers_by_id[WORKER_ID].grants is LeaseGrants.SUSPENDED
    assert WORKER_ID in cell.dirty_worker_ids


def test_a_remaining_lease_in_a_record_of_another_epoch_is_not_heeded():
    record = suspension_record(WORKER_ID, EPOCH - 1, 0)
    assert full_wait_after(make_leader(), record) > 4.6


def test_a_record_from_before_the_remaining_lease_was_recorded_is_read():
    record = suspension_record(WORKER_ID, EPOCH)
    record = KeyedRecord(record.key, msgspec.msgpack.encode(EPOCH))
    assert full_wait_after(make_leader(), record) == pytest.approx(4.62, abs=0.01)


@pytest.mark.parametrize("epoch", [1, EPOCH - 1, EPOCH + 1])
def test_a_suspension_of_another_epoch_says_nothing_of_the_last_leader(epoch):
    assert not take_over_after(make_leader(), suspension_record("i-0", epoch))


@pytest.mark.parametrize(
    ("heard_addresses", "wait_s"),
    [
        ({"leader:1", "first:1"}, CONFIRMED_GRANT_S),
        ({"leader:1"}, MAX_UNCONFIRMED_GRANT_S),
        ((), MAX_UNCONFIRMED_GRANT_S),
    ],
)
def test_a_successor_waits_long_unless_each_earlier_leader_knows_it(
    heard_addresses, wait_s
):
    leader = make_leader("first:1")
    waited_s = wait_after(leader, heard_addresses=heard_addresses)
    assert waited_s == pytest.approx(wait_s, abs=0.1)


def test_a_successor_waits_long_after_a_leader_that_needs_no_answers():
    leader = msgspec.structs.replace(make_leader(), need_answers=False)
    waited_s = wait_after(leader, heard_addresses={"leader:1"})
    assert waited_s == pytest.approx(MAX_UNCONFIRMED_GRANT_S, abs=0.1)


def test_a_successor_heeds_a_waiver_that_was_appended_just_before_its_claim():
    own_address = make_settings(FleetRole.ENTRY, 9).peer_address
    for address, wait_s in [
        (own_address, MAX_UNCONFIRMED_GRANT_S),
        ("other:1", CONFIRMED_GRANT_S),
    ]:
        waited_s = wait_after(
            make_leader(),
            late_records=[waiver_record(address, True)],
            heard_addresses={"leader:1"},
        )
        assert waited_s == pytest.approx(wait_s, abs=0.1)


#: Leases of workers that are longer than any grant.
LONG_LEASES = FleetBounds(max_lease_ms=10_000)
SUSPENDED = suspension_record(WORKER_ID, EPOCH)
INHERITING = residual_lease_record(WORKER_ID, True)
#: How much longer such a lease lasts than a grant, on a slow clock.
BEYOND_GRANT_S = lease_end_s(0.0, 10_000) - lease_end_s(0.0, LONG_LEASES.lease_ms)


@pytest.mark.parametrize(
    ("records", "wait_s"),
    [
        ((SUSPENDED,), 0.0),
        ((SUSPENDED, INHERITING), BEYOND_GRANT_S),
        ((SUSPENDED, residual_lease_record(WORKER_ID, False)), 0.0),
        ((SUSPENDED, residual_lease_record("i-9", True)), 0.0),
        ((), CONFIRMED_GRANT_S),
        # Grants of the earlier leader do not add to a residual lease.
        ((INHERITING,), max(BEYOND_GRANT_S, CONFIRMED_GRANT_S)),
    ],
)
def test_a_successor_does_not_give_up_a_worker_before_its_residual_lease(
    records, wait_s
):
    waited_s = wait_after(
        make_leader(), *records, heard_addresses={"leader:1"}, bounds=LONG_LEASES
    )
    assert waited_s == pytest.approx(wait_s, abs=0.1)


def cell_after(*records):
    """Return the cell of a successor that takes over a worker with one run."""

    async def run():
        store = VirtualStore(random.Random(1))
        journal = store.journal("successor")
        await journal.append(CELL_STREAM, [*records_of_run(make_leader()), *records])
        settings = make_settings(FleetRole.ENTRY, 9, LONG_LEASES)
        return (await take_over(journal, settings)).cell

    return run_virtually(run())


def test_the_end_of_earlier_terms_does_not_shorten_an_residual_lease():
    cell = cell_after(INHERITING)
    before_s = cell.workers_by_id[WORKER_ID].lease_end_s
    reduce(EarlierTermsEnded(0.0, before_s - 5.0), cell)
    assert cell.workers_by_id[WORKER_ID].lease_end_s == before_s


@pytest.mark.parametrize(
    "record", [worker_record("i-9", "agent9:1"), residual_lease_record("i-9", True)]
)
def test_a_worker_without_runs_that_has_started_again_may_hold_a_residual_lease(record):
    cell = cell_after(record)
    assert may_hold_residual_lease(cell, "i-9")
    assert not may_hold_residual_lease(cell, WORKER_ID)


def test_a_claim_that_this_process_did_not_know_of_is_left_in_place():
    async def run():
        store = VirtualStore(random.Random(1))
        journal = store.journal("late")
        await journal.append(CELL_STREAM, [leader_record(make_leader())])
        settings = make_settings(FleetRole.ENTRY, 9)
        with pytest.raises(OvertakenError) as error:
            await take_over(journal, settings, known_epoch=EPOCH - 1)
        assert error.value.epoch == EPOCH
        assert store.appends == 1
        term = await take_over(journal, settings, known_epoch=EPOCH)
        assert term.writer.epoch == EPOCH + 1

    run_virtually(run())


def test_of_two_claims_at_a_time_the_loser_does_not_depose_the_winner():
    async def run():
        store = VirtualStore(random.Random(1))
        first, second = store.journal("first"), store.journal("second")
        await first.append(CELL_STREAM, [leader_record(make_leader())])
        results = await asyncio.gather(
            take_over(first, make_settings(FleetRole.ENTRY, 1), known_epoch=EPOCH),
            take_over(second, make_settings(FleetRole.ENTRY, 2), known_epoch=EPOCH),
            return_exceptions=True,
        )
        (loser,) = [r for r in results if isinstance(r, OvertakenError)]
        (winner,) = [r for r in results if r is not loser]
        assert winner.writer.epoch == loser.epoch == EPOCH + 1
        assert store.appends == 2

    run_virtually(run())


@pytest.mark.parametrize("mode", ["read-only", "silent-appends", "slow-appends"])
def test_a_claim_without_an_answer_is_given_up(mode):
    async def run():
        store = VirtualStore(random.Random(1))
        store.mode_by_node["successor"] = mode
        settings = make_settings(FleetRole.ENTRY, 9)
        began_s = clock.now_s()
        with pytest.raises(ClaimTimeoutError):
            await take_over(store.journal("successor"), settings)
        assert clock.now_s() - began_s < 2.0

    run_virtually(run())


def test_a_late_claim_of_the_same_address_is_no_reason_to_wait():
    async def run():
        store = VirtualStore(random.Random(1))
        journal = store.journal("late")
        settings = make_settings(FleetRole.ENTRY, 9)
        record = LeaderRecord(EPOCH, settings.peer_address, "earlier life", [])
        await journal.append(CELL_STREAM, [leader_record(record)])
        term = await take_over(journal, settings, known_epoch=EPOCH - 1)
        assert term.writer.epoch == EPOCH + 1

    run_virtually(run())


def test_a_takeover_whose_state_cannot_be_read_is_given_up():
    # Else the entry stays a member of the group, and none of the others claims.
    async def run():
        store = VirtualStore(random.Random(1))
        journal = store.journal("successor")
        append = journal.append

        async def append_claim(*arguments):
            offset = await append(*arguments)
            store.unreadable.add(("successor", CELL_STREAM))
            return offset

        journal.append = append_claim
        settings = make_settings(FleetRole.ENTRY, 9)
        began_s = clock.now_s()
        with pytest.raises(ClaimTimeoutError):
            async with asyncio.timeout(60):
                await take_over(journal, settings)
        assert clock.now_s() - began_s < 5.0

    run_virtually(run())


def records_of_jobs(jobs, tasks):
    """Return the records of a leader with jobs whose tasks all run on one worker."""
    records = [leader_record(make_leader())]
    worker = make_worker(0)
    for number in range(1, jobs + 1):
        job = Job.from_spec(make_job(number, (make_step(count=tasks),)), 0.0)
        for key in list(job.tasks_by_key):
            job.assign(key, worker, 1)
        records += job_records(job, is_new=True)
    return records


@pytest.mark.parametrize(("jobs", "tasks"), [(1, 9000), (9, 1000), (900, 1)])
def test_others_use_the_loop_while_a_successor_reads_many_tasks(
    jobs, tasks, monkeypatch
):
    # Guards against a successor that answers nothing while it reads the state.
    turns_at_read = []
    turns = 0

    def take_turn():
        nonlocal turns
        turns += 1

    def adopt(*values):
        turns_at_read.append(turns)
        asyncio.get_running_loop().call_soon(take_turn)
        return adopt_assigned(*values)

    async def run():
        store = VirtualStore(random.Random(1))
        journal = store.journal("successor")
        await journal.append(CELL_STREAM, records_of_jobs(jobs, tasks))
        return (await take_over(journal, make_settings(FleetRole.ENTRY, 9))).cell

    monkeypatch.setattr(takeover, "adopt_assigned", adopt)
    cell = run_virtually(run())
    assert len(cell.workers_by_id[WORKER_ID].runs_by_task) == jobs * tasks
    assert len(set(turns_at_read)) >= 9
