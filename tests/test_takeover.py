"""What a successor reads of the leases that earlier leaders may have granted."""

import random

import pytest

from dotterelspread.jobs import clock
from dotterelspread.jobs.agentlink import lease_end_s
from dotterelspread.jobs.job import Job
from dotterelspread.jobs.records import (
    CELL_STREAM,
    LeaderRecord,
    job_records,
    leader_record,
    suspension_record,
)
from dotterelspread.jobs.takeover import take_over
from dotterelspread.processsettings import FleetRole
from tests.builders_cell import make_worker
from tests.builders_fleet import make_job, make_settings
from tests.builders_store import VirtualStore
from tests.virtualloop import run_virtually

EPOCH = 5
KEY = (0, 0, 0)


def take_over_after(leader, *records):
    """Take over a worker with one run; return whether one lease is waited for."""

    async def run():
        store = VirtualStore(random.Random(1))
        journal = store.journal("successor")
        worker = make_worker(0)
        job = Job.from_spec(make_job(1), 0.0)
        job.assign(KEY, worker, 1)
        stored = [leader_record(leader), *job_records(job, is_new=True), *records]
        await journal.append(CELL_STREAM, stored)
        settings = make_settings(FleetRole.ENTRY, 9)
        term = await take_over(journal, settings)
        adopted = term.cell.workers_by_id[worker.worker_id]
        one_lease_s = lease_end_s(clock.now_s(), settings.bounds.max_lease_ms)
        return adopted.lease_end_s <= one_lease_s

    return run_virtually(run())


def make_leader(*earlier_addresses):
    return LeaderRecord(EPOCH, "leader:1", "instance", list(earlier_addresses))


def test_a_worker_without_a_suspension_may_hold_leases_for_long():
    assert not take_over_after(make_leader())


def test_a_worker_that_the_last_leader_suspended_holds_leases_for_one_lease():
    assert take_over_after(make_leader("first:1"), suspension_record("i-0", EPOCH))


@pytest.mark.parametrize("epoch", [1, EPOCH - 1, EPOCH + 1])
def test_a_suspension_of_another_epoch_says_nothing_of_the_last_leader(epoch):
    assert not take_over_after(make_leader(), suspension_record("i-0", epoch))
