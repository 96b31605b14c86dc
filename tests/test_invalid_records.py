"""One invalid record in a stream stops no reader of it; the other records hold."""

import msgspec
import pytest

from dotterelspread.jobs.journal import KeyedRecord
from dotterelspread.jobs.nodes import NODES_STREAM, decode_node
from dotterelspread.jobs.records import (
    CELL_STREAM,
    COSTS_KEY,
    LEADER_KEY,
    LeaderRecord,
    encode_spec,
)
from tests.builders_fleet import VirtualFleet, make_job, make_step, run_scenario
from tests.builders_invalid import (
    DEEP_MSGPACK,
    invalid_jobs,
    invalid_records,
    node_record,
    with_deep_extra,
)
from tests.virtualloop import run_virtually

INVALID_RECORDS = invalid_records()
INVALID_LEADERS = {
    "deep": with_deep_extra(
        KeyedRecord(LEADER_KEY, msgspec.msgpack.encode(LeaderRecord(1, "a:1", "a")))
    ),
    "malformed": KeyedRecord(LEADER_KEY, b"\xff\x00"),
    "empty": KeyedRecord(LEADER_KEY, b""),
    "huge": KeyedRecord(LEADER_KEY, msgspec.msgpack.encode([2**64 - 1, "a:1", "a"])),
}
INVALID_JOBS = invalid_jobs()


def current_leader(fleet):
    leading = [entry for entry in fleet.entries if entry.candidate.leader]
    assert leading, "no entry leads"
    return leading[0]


async def expect_work_after_failover(fleet):
    """End the leader and expect another one that uses all workers."""
    leader = current_leader(fleet)
    leader.kill()
    await fleet.settle(6)
    other = next(e for e in fleet.entries if e is not leader)
    number = fleet.entries.index(other)
    assert other.candidate.leader is not None
    assert len(other.candidate.leader.cell.workers_by_id) == len(fleet.workers)
    for job_number in range(3):
        await fleet.submit(make_job(job_number, (make_step(count=3),)), number)
    await fleet.settle(6)
    states = [await fleet.state(job_id, number) for job_id in fleet.accepted]
    assert {reply.state for reply in states} == {"COMPLETED"}


@pytest.mark.parametrize("name", sorted(INVALID_RECORDS.keys() - {"unknown role"}))
def test_an_invalid_node_record_names_no_process(name):
    assert decode_node(INVALID_RECORDS[name]) is None


def test_invalid_node_records_before_the_start_keep_no_entry_from_leading():
    async def run():
        fleet = VirtualFleet(1)
        fleet.store.stream(NODES_STREAM).records.extend(INVALID_RECORDS.values())
        fleet.start()
        await fleet.settle(4)
        await fleet.submit(make_job(1, (make_step(count=5),)))
        await fleet.expect_completed()
        await expect_work_after_failover(fleet)
        assert not fleet.checker.violations

    run_virtually(run())


def test_invalid_node_records_during_a_term_do_not_hide_a_node_that_follows():
    async def scenario(fleet):
        stream = fleet.store.stream(NODES_STREAM)
        stream.records.extend(INVALID_RECORDS.values())
        stream.records.append(node_record("late:7000"))
        await fleet.settle(4)
        assert "late:7000" in current_leader(fleet).candidate.leader.links_by_address

    run_scenario(scenario)


@pytest.mark.parametrize("name", INVALID_LEADERS)
def test_an_invalid_leader_record_keeps_no_entry_from_leading(name):
    async def scenario(fleet):
        for _ in range(2):
            # The invalid record hides the epochs of several earlier terms.
            current_leader(fleet).candidate.leader.depose("by the test")
            await fleet.settle(4)
        fleet.store.stream(CELL_STREAM).records.append(INVALID_LEADERS[name])
        await expect_work_after_failover(fleet)

    run_scenario(scenario)


@pytest.mark.parametrize("name", INVALID_JOBS)
def test_an_invalid_job_is_left_out_by_a_new_leader(name):
    async def scenario(fleet):
        fleet.store.stream(CELL_STREAM).records.extend(INVALID_JOBS[name])
        await expect_work_after_failover(fleet)

    run_scenario(scenario)


def test_deep_records_of_a_cell_do_not_stop_a_new_leader():
    async def scenario(fleet):
        spec = KeyedRecord(f"s/{99:016x}", encode_spec(make_job(99)))
        records = fleet.store.stream(CELL_STREAM).records
        records.append(with_deep_extra(spec))
        records.append(KeyedRecord(COSTS_KEY, DEEP_MSGPACK))
        await expect_work_after_failover(fleet)

    run_scenario(scenario)
