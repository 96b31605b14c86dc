"""HTTP client of the platform's log store."""

import pytest

from dotterelspread.jobs.journal import (
    JournalFencedError,
    JournalMovedError,
    JournalRejectedError,
    JournalTruncatedError,
    JournalUnavailableError,
    JournalUncertainError,
    KeyedRecord,
    Writer,
)
from dotterelspread.platform.store import PlatformJournal
from tests.builders_standins import StoreStandIn, run_on_loopback


def test_the_journal_over_http_keeps_the_journal_contract():
    async def scenario(address, standin):
        journal = PlatformJournal(address)
        writer = Writer("w", 1, 10)
        record = KeyedRecord("k", b"v")
        assert await journal.append("cell.0", [record], writer, 0) == 0
        assert await journal.append("cell.0", [record], writer, 0) == 0
        with pytest.raises(JournalRejectedError):
            await journal.append("cell.0", [record], Writer("w", 1, 99))
        with pytest.raises(JournalMovedError):
            await journal.append("cell.0", [record], Writer("w", 2, 5), 0)
        assert await journal.append("cell.0", [record], Writer("w", 2, 5), 1) == 1
        with pytest.raises(JournalFencedError):
            await journal.append("cell.0", [record], Writer("w", 1, 11))
        await journal.append("cell.0", [KeyedRecord("gone", b"x")])
        await journal.append("cell.0", [KeyedRecord("gone", b"")])
        snapshot = await journal.snapshot("cell.0")
        assert snapshot.end == 4
        assert {k: r.value for k, r in snapshot.records_by_key.items()} == {"k": b"v"}
        tail = await journal.follow("cell.0", 2, 0.1)
        assert [r.key for r in tail.records] == ["gone", "gone"]
        assert tail.next_offset == 4
        standin.first_offset = 3
        with pytest.raises(JournalTruncatedError):
            await journal.follow("cell.0", 0, 0.1)
        membership = await journal.join("g", "me", "cell.0", 1000, 0)
        assert membership.is_holder
        await journal.leave("g", "me")
        journal.close()

    run_on_loopback(StoreStandIn(), scenario)


def test_the_journal_distinguishes_unavailable_from_uncertain():
    async def scenario(address, standin):
        journal = PlatformJournal(address)
        standin.error_status = 503
        with pytest.raises(JournalUnavailableError):
            await journal.append("s", [KeyedRecord("k", b"v")])
        standin.error_status = 0
        standin.is_silent = True
        with pytest.raises(JournalUncertainError):
            await journal.append("s", [KeyedRecord("k", b"v")], timeout_s=0.1)
        journal.close()
        unreachable = PlatformJournal("127.0.0.1:1")
        with pytest.raises(JournalUnavailableError):
            await unreachable.snapshot("s")

    run_on_loopback(StoreStandIn(), scenario)


def test_a_snapshot_of_many_keys_is_read_in_pages():
    async def scenario(address, standin):
        journal = PlatformJournal(address)
        records = [KeyedRecord(f"k{n:04}", b"v") for n in range(25)]
        await journal.append("s", records)
        assert len((await journal.snapshot("s")).records_by_key) == 25
        journal.close()

    run_on_loopback(StoreStandIn(page_size=10), scenario)
