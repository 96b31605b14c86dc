"""Snapshots preserve claims beyond the log's retention for entries started later."""

import random

from dotterelspread.claimsnapshot import ClaimSnapshotTimer
from dotterelspread.record import RequestClaimed
from dotterelspread.requestclaim import ClaimTable

RETENTION_S = 300.0


def claimed_table():
    table = ClaimTable()
    claim = RequestClaimed("dispatch", "key", "r-1", "agent-1", 1, b"f", 0, 1000)
    table.apply(0, claim)
    return table


def test_a_snapshot_is_due_well_before_records_expire():
    timer = ClaimSnapshotTimer(RETENTION_S, random.Random(1), 0.0)
    table = claimed_table()
    assert not timer.is_due(RETENTION_S / 3 - 1, table)
    assert timer.is_due(RETENTION_S / 2, table)
    timer.restart(RETENTION_S / 2)
    assert not timer.is_due(RETENTION_S / 2 + 1, table)


def test_no_snapshot_is_due_for_an_incomplete_or_empty_table():
    timer = ClaimSnapshotTimer(RETENTION_S, random.Random(1), 0.0)
    assert not timer.is_due(RETENTION_S, ClaimTable())
    truncated = ClaimTable(first_offset=5)
    truncated.apply(5, claimed_table().find("dispatch", "key").record)
    assert not timer.is_due(RETENTION_S, truncated)


def test_an_entry_that_starts_after_a_claim_expired_restores_it_from_the_snapshot():
    snapshot = claimed_table().snapshot()
    late = ClaimTable(first_offset=1)
    assert not late.is_complete
    late.apply(7, snapshot)
    assert late.is_complete
    assert late.find("dispatch", "key").record.instance_id == "agent-1"
