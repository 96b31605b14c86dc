"""Become the leader of a cell: fence the earlier one, read what it left."""

import asyncio
import secrets
from dataclasses import dataclass

from ..decisionlog import log_decision
from . import clock
from .agentlink import lease_end_s
from .cell import Cell
from .incarnations import adopt_assigned
from .journal import (
    JournalError,
    JournalFencedError,
    JournalMovedError,
    JournalRejectedError,
    JournalTruncatedError,
    Snapshot,
    Writer,
)
from .leader import GRANTS_WITHOUT_STORE_S
from .nodes import NODES_STREAM
from .records import (
    CELL_STREAM,
    LeaderRecord,
    leader_record,
    read_agent_addresses,
    read_costs,
    read_jobs,
    read_leader,
)
from .submitting import add_job

__all__ = ["Term", "take_over"]

WRITER_NAME = "cell"
#: Pause before a step that the store did not carry out is repeated.
PAUSE_S = 0.15
#: Seconds for the agents' first reports: a connection and a call to another region.
REPORTS_WAIT_S = 0.15
#: Largest first sequence number of a term.
MAX_SEQUENCE = 1 << 30


@dataclass(slots=True)
class Term:
    """What a process has once it leads."""

    writer: Writer
    cell: Cell
    nodes: Snapshot


async def take_over(journal, settings):
    """Return a `Term` once this process is the only one that may write.

    The state is read first, while the earlier leader goes on; the claim fences that
    leader, and what it appended meanwhile is read after it.

    Raises
    ------
    JournalError
        The store does not serve this process.
    """
    nodes = await journal.snapshot(NODES_STREAM)
    while True:
        snapshot = await journal.snapshot(CELL_STREAM)
        earlier = read_leader(snapshot.records_by_key)
        epoch = 1 + (earlier.epoch if earlier else 0)
        # Two candidates for one epoch must not take each other's replies.
        writer = Writer(WRITER_NAME, epoch, 1 + secrets.randbelow(MAX_SEQUENCE))
        offset = await _claim(journal, settings, writer)
        if offset is not None:
            snapshot = await _catch_up(journal, snapshot, offset)
            return Term(writer, _read_cell(snapshot, settings), nodes)


async def _claim(journal, settings, writer):
    """Return the offset of the claim, or None if another process was first.

    A claim without a reply is repeated under the same sequence number.
    """
    record = LeaderRecord(writer.epoch, settings.peer_address, settings.instance_id)
    is_uncertain = False
    while True:
        try:
            offset = await journal.append(CELL_STREAM, [leader_record(record)], writer)
        except (JournalFencedError, JournalMovedError, JournalRejectedError) as error:
            log_decision("claim lost", epoch=writer.epoch, error=str(error))
            if is_uncertain:
                await asyncio.sleep(PAUSE_S)
            return None
        except JournalError as error:
            is_uncertain = True
            log_decision("claim repeated", epoch=writer.epoch, error=str(error))
            await asyncio.sleep(PAUSE_S)
            continue
        log_decision("term begins", epoch=writer.epoch, offset=offset)
        return offset


async def _catch_up(journal, snapshot, claim_offset):
    """Return the state as of the claim, after which no earlier leader appends."""
    while snapshot.end <= claim_offset:
        try:
            tail = await journal.follow(CELL_STREAM, snapshot.end, 0)
        except JournalTruncatedError:
            snapshot = await _read_again(journal, snapshot)
        except JournalError as error:
            log_decision("state not read", offset=snapshot.end, error=str(error))
            await asyncio.sleep(PAUSE_S)
        else:
            newer = {record.key: record for record in tail.records}
            records_by_key = snapshot.records_by_key | newer
            snapshot = Snapshot(records_by_key, tail.next_offset)
    return snapshot


async def _read_again(journal, snapshot):
    """Return a whole new snapshot, or the one at hand if the store does not answer."""
    try:
        return await journal.snapshot(CELL_STREAM)
    except JournalError as error:
        log_decision("state not read", offset=snapshot.end, error=str(error))
        await asyncio.sleep(PAUSE_S)
        return snapshot


def _read_cell(snapshot, settings):
    now_s = clock.now_s()
    bounds = settings.bounds
    cell = Cell(placing_start_s=now_s + REPORTS_WAIT_S, status_s=bounds.status_s)
    # An earlier leader that does not know of this one may go on granting leases.
    end_s = lease_end_s(now_s + GRANTS_WITHOUT_STORE_S, bounds.max_lease_ms)
    cell.costs = read_costs(snapshot.records_by_key)
    addresses = read_agent_addresses(snapshot.records_by_key)
    for job in read_jobs(snapshot.records_by_key, now_s):
        add_job(cell, job, clock.wall_ms())
        adopt_assigned(cell, job, end_s, addresses)
    return cell
