"""What the journal tells a successor of the residual leases of workers."""

import asyncio
from dataclasses import replace

import pytest

from dotterelspread.jobs import clock
from dotterelspread.jobs.cell import CellTick
from dotterelspread.jobs.changedrecords import (
    ChangedRecords,
    split_into_chunks,
    storable_records,
)
from dotterelspread.jobs.handlers import reduce
from dotterelspread.jobs.journal import KeyedRecord
from dotterelspread.jobs.leasesuspension import adopt_suspension, resume_grants
from dotterelspread.jobs.records import (
    LEADER_KEY,
    LeaderRecord,
    read_residual_lease_workers,
    read_suspended_workers,
    residual_lease_record,
)
from dotterelspread.jobs.restartedworkers import REMOVED_WORKER_RETENTION_S
from tests.builders_cell import make_cell, make_report
from tests.virtualloop import run_virtually

WORKER_ID = "i-0"
LEADER = LeaderRecord(5, "leader:1", "instance")


class RecordedCell:
    """A cell, and the journal with its records.

    Parameters
    ----------
    residual_lease_worker_ids : tuple of str
        Workers with a record of an earlier term.
    """

    def __init__(self, residual_lease_worker_ids=()):
        self.cell = make_cell()
        # As after a takeover.
        self.cell.removed_s_by_worker_id = dict.fromkeys(residual_lease_worker_ids, 9.0)
        self._changes = ChangedRecords(
            self.cell, LEADER, (), residual_lease_worker_ids, frozenset()
        )
        records = [residual_lease_record(w, True) for w in residual_lease_worker_ids]
        self._records_by_key = {record.key: record for record in records}

    def commit(self):
        """Append what is due; return the keys of the records."""
        records = self._changes.take([])
        self._records_by_key.update({record.key: record for record in records})
        return {record.key for record in records}

    def report(self, now_s, residual_s=10.0, **changes):
        """Report the worker; return the keys of the records that follow."""
        event = make_report(0, now_s)
        end_s = now_s + residual_s if residual_s else 0.0
        details = replace(event.report, **changes)
        reduce(replace(event, report=details, residual_lease_end_s=end_s), self.cell)
        return self.commit()

    def tick(self, now_s):
        reduce(CellTick(now_s, 0), self.cell)
        self.commit()

    @property
    def is_recorded(self):
        return WORKER_ID in read_residual_lease_workers(self._records_by_key)


def play(scenario, *residual_lease_worker_ids):
    async def run():
        scenario(RecordedCell(residual_lease_worker_ids))

    run_virtually(run())


def test_a_successor_does_not_miss_that_a_worker_has_started_again():
    def scenario(recorded):
        recorded.report(10.0)
        assert not recorded.is_recorded
        recorded.report(20.0, born_ms=2)
        assert recorded.is_recorded

    play(scenario)


def test_a_successor_does_not_wait_for_an_residual_lease_that_has_expired():
    def scenario(recorded):
        recorded.report(10.0)
        recorded.report(20.0, born_ms=2)
        recorded.report(31.0, residual_s=0.0, born_ms=2)
        assert not recorded.is_recorded

    play(scenario)


def test_a_record_of_an_earlier_term_does_not_stay_for_ever():
    def scenario(recorded):
        recorded.report(10.0)
        assert recorded.is_recorded
        recorded.report(11.0, residual_s=0.0)
        assert not recorded.is_recorded

    play(scenario, WORKER_ID)


def test_the_record_of_a_worker_that_does_not_come_back_does_not_stay_for_ever():
    def scenario(recorded):
        recorded.tick(9.0 + REMOVED_WORKER_RETENTION_S - 1.0)
        assert recorded.is_recorded
        recorded.tick(9.0 + REMOVED_WORKER_RETENTION_S + 1.0)
        assert not recorded.is_recorded

    play(scenario, WORKER_ID)


def test_a_successor_does_not_miss_that_a_removed_worker_may_start_again():
    def scenario(recorded):
        recorded.report(10.0)
        recorded.report(11.0, has_left=True)
        for now_s in (12.0, 10.0 + REMOVED_WORKER_RETENTION_S):
            recorded.tick(now_s)
            assert recorded.is_recorded
        recorded.tick(12.0 + REMOVED_WORKER_RETENTION_S)
        assert not recorded.is_recorded

    play(scenario)


def test_a_worker_that_was_given_up_is_recorded_until_it_is_back_in_session():
    def scenario(recorded):
        recorded.report(10.0)
        recorded.report(11.0, is_reachable=False)
        recorded.tick(16.0)
        assert recorded.is_recorded
        recorded.report(17.0)
        assert recorded.is_recorded
        recorded.report(28.0, residual_s=0.0)
        assert not recorded.is_recorded

    play(scenario)


def test_reports_without_a_change_cause_no_appends():
    def scenario(recorded):
        recorded.report(10.0)
        recorded.report(20.0, born_ms=2)
        assert not recorded.report(21.0, born_ms=2)

    play(scenario)


def test_a_record_above_the_limit_is_left_out_and_the_others_are_not():
    exact, over = KeyedRecord("key", b"v" * 96), KeyedRecord("key", b"v" * 97)
    assert exact.stored_bytes == 100
    assert storable_records([over, exact, over], 100) == [exact]


def test_keys_and_lengths_of_records_count_against_the_limit_of_a_request():
    records = [KeyedRecord(f"{number:010}", b"") for number in range(100)]
    chunks = list(split_into_chunks(records, 150))
    assert [len(chunk) for chunk in chunks] == [10] * 10
    assert [record for chunk in chunks for record in chunk] == records


def test_the_remaining_lease_of_a_silent_worker_is_renewed_without_further_appends():
    async def run():
        cell = make_cell()
        reduce(make_report(0, clock.now_s()), cell)
        worker = cell.workers_by_id[WORKER_ID]
        worker.lease_end_s = clock.now_s() + 5.0
        worker.set_reachable(False, clock.now_s())
        adopt_suspension(cell, worker)
        changes = ChangedRecords(cell, LEADER, (), (), frozenset())
        assert remaining_ms(changes.take([])) == 5000
        await asyncio.sleep(0.4)
        changes.request_confirmation()
        assert [r.key for r in changes.take([])] == [LEADER_KEY]
        await asyncio.sleep(1.0)
        assert changes.take([]) == []
        changes.request_confirmation()
        assert remaining_ms(changes.take([])) == pytest.approx(3600, abs=2)
        await asyncio.sleep(9.0)
        changes.request_confirmation()
        assert remaining_ms(changes.take([])) == 0
        resume_grants(cell, worker)
        assert read_suspended_workers(by_key(changes.take([]))) == {}
        await asyncio.sleep(1.0)
        changes.request_confirmation()
        assert [r.key for r in changes.take([])] == [LEADER_KEY]

    run_virtually(run())


def test_remaining_leases_that_have_grown_are_recorded_with_the_next_append():
    """Guards against a successor that waits for less time than its leader would have.

    A silent incarnation without a call under its own session may hold a residual lease,
    which each report of its agent counts anew.
    """

    async def run():
        cell = make_cell()
        reduce(make_report(0, clock.now_s()), cell)
        event = make_report(0, clock.now_s())
        report = replace(event.report, born_ms=2, is_reachable=False)
        adopt_suspension(cell, cell.workers_by_id[WORKER_ID])
        changes = ChangedRecords(cell, LEADER, (), (), frozenset())

        def report_silent():
            now_s = clock.now_s()
            silent = replace(event, now_s=now_s, report=report, lease_end_s=0.0)
            reduce(replace(silent, residual_lease_end_s=now_s + 10.0), cell)

        report_silent()
        assert remaining_ms(changes.take([])) == 10_000
        await asyncio.sleep(4.0)
        changes.request_confirmation()
        assert remaining_ms(changes.take([])) == pytest.approx(6000, abs=2)
        report_silent()
        changes.request_confirmation()
        assert remaining_ms(changes.take([])) == 10_000

    run_virtually(run())


def by_key(records):
    return {record.key: record for record in records}


def remaining_ms(records):
    return read_suspended_workers(by_key(records))[WORKER_ID].remaining_ms
