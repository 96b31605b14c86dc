"""Failover to a new leader: fences the previous one and loads its state."""

import asyncio
import secrets
from dataclasses import dataclass
from itertools import islice

from ..decisionlog import log_decision
from . import clock
from .cell import Cell
from .earlierleaders import EarlierLeaders
from .incarnations import adopt_assigned
from .inheritedleases import InheritedLeases
from .journal import (
    JournalError,
    JournalFencedError,
    JournalMovedError,
    JournalRejectedError,
    JournalTruncatedError,
    StreamSnapshot,
    Writer,
)
from .leasesuspension import adopt_suspension
from .nodes import NODES_STREAM
from .records import (
    CELL_STREAM,
    LEADER_KEY,
    LeaderRecord,
    leader_record,
    read_agent_addresses,
    read_costs,
    read_jobs,
    read_leader,
    read_residual_lease_workers,
    read_suspended_workers,
    read_waived_addresses,
)
from .submitting import add_job
from .worker import LeaseGrants

__all__ = ["ClaimTimeoutError", "OvertakenError", "Term", "take_over"]

WRITER_NAME = "cell"
#: Delay before a failed call to the store is retried.
RETRY_INTERVAL_S = 0.15
#: Time after which a claim without a reply is given up, so that other entries may try.
CLAIM_TIMEOUT_S = 1.5
#: The same for failing reads of the records before an own claim: the timeout of one.
CATCH_UP_TIMEOUT_S = 1.5
#: Delay of the first placement, for the first reports of the agents: the time of a
#: connection and a call to another region.
PLACEMENT_DELAY_S = 0.15
#: Number of tasks that are read, in some 20 ms, before others use the loop; a job
#: counts as some more tasks than it has.
TASKS_PER_SLICE = 1000
TASKS_PER_JOB = 10
#: Upper bound of the random initial sequence number of a term.
MAX_INITIAL_SEQUENCE = 1 << 30


class OvertakenError(Exception):
    """Another process has claimed an epoch that this process did not know of.

    Parameters
    ----------
    epoch : int
    """

    def __init__(self, epoch):
        super().__init__(f"another process has claimed epoch {epoch}")
        self.epoch = epoch


class ClaimTimeoutError(JournalError):
    """The store did not answer the claim, or the reads of the state after it.

    The claim may have been executed, or may still be.
    """


@dataclass(slots=True)
class Term:
    """State that a process takes over when it becomes the leader."""

    writer: Writer
    cell: Cell
    nodes: StreamSnapshot
    #: When the claim was sent, on `clock.elapsed_s`; the term was valid then.
    claimed_s: float
    earlier_leaders: EarlierLeaders
    #: Workers with a record that their grants are suspended, of whatever term.
    suspended_worker_ids: set[str]
    #: Workers with a record that they may hold a residual lease.
    residual_lease_worker_ids: frozenset[str]
    #: Entries with a record that their answers may not be needed.
    waived_addresses: frozenset[str]


@dataclass(slots=True, frozen=True)
class _Claim:
    """A claim of the leadership that the store has accepted."""

    offset: int
    #: On `clock.elapsed_s`.
    sent_s: float


async def take_over(journal, settings, heard_addresses=(), known_epoch=None):
    """Claim the leadership and return a `Term`.

    The state is read first while the previous leader is still active, to keep the
    failover short. The claim fences that leader; the records that it appended in the
    meantime are read afterwards.

    Parameters
    ----------
    journal : Journal
    settings : ProcessSettings
    heard_addresses : collection of str
        Leaders that have sent notices to this process.
    known_epoch : int, optional
        Latest epoch that this process knows of; the claim of a later one is left in
        place, since its process may be about to announce itself.

    Raises
    ------
    JournalError
        A read of the nodes or of the state failed, or the claim was not answered
        (`ClaimTimeoutError`).
    OvertakenError
        Another process has claimed a later epoch.
    """
    nodes = await journal.snapshot(NODES_STREAM)
    epoch = 0
    while True:
        snapshot = await journal.snapshot(CELL_STREAM)
        earlier = read_leader(snapshot.records_by_key)
        if earlier is not None:
            # A claim of this address is a late one, or that of an earlier process.
            is_other = earlier.peer_address != settings.peer_address
            if is_other and known_epoch is not None and earlier.epoch > known_epoch:
                raise OvertakenError(earlier.epoch)
            known_epoch = earlier.epoch
        # Without a readable record, doubling soon finds an epoch that is not fenced.
        epoch = 1 + (earlier.epoch if earlier else 2 * epoch)
        # With the same sequence number, two candidates for one epoch would get each
        # other's replies, and both would see a successful claim.
        writer = Writer(WRITER_NAME, epoch, 1 + secrets.randbelow(MAX_INITIAL_SEQUENCE))
        # A rejected claim shows that there was a leader although its record is gone.
        is_first = LEADER_KEY not in snapshot.records_by_key and epoch == 1
        earlier_leaders = EarlierLeaders.from_record(
            earlier, settings.peer_address, is_first, heard_addresses
        )
        record = LeaderRecord(
            epoch,
            settings.peer_address,
            settings.instance_id,
            earlier_leaders.to_record(),
            earlier_leaders.need_answers,
        )
        claim = await _claim(journal, record, writer)
        if claim is not None:
            snapshot = await _catch_up(journal, snapshot, claim.offset)
            earlier_epoch = earlier.epoch if earlier else 0
            waived = read_waived_addresses(snapshot.records_by_key)
            if settings.peer_address in waived:
                earlier_leaders.note_own_waiver()
            cell = await _read_cell(snapshot, settings, earlier_leaders, earlier_epoch)
            suspended = read_suspended_workers(snapshot.records_by_key)
            return Term(
                writer,
                cell,
                nodes,
                claim.sent_s,
                earlier_leaders,
                set(suspended),
                read_residual_lease_workers(snapshot.records_by_key),
                waived,
            )


async def _claim(journal, record, writer):
    """Return the `_Claim`, or None if another process was first.

    A claim without a reply is retried with the same sequence number.

    Raises
    ------
    ClaimTimeoutError
    """
    is_uncertain = False
    began_s = clock.now_s()
    while True:
        sent_s = clock.elapsed_s()
        try:
            offset = await journal.append(CELL_STREAM, [leader_record(record)], writer)
        except (JournalFencedError, JournalMovedError, JournalRejectedError) as error:
            log_decision(
                "claim rejected; another process may have claimed the epoch",
                epoch=writer.epoch,
                error=str(error),
            )
            if is_uncertain:
                await asyncio.sleep(RETRY_INTERVAL_S)
            return None
        except JournalError as error:
            is_uncertain = True
            log_decision("claim repeated", epoch=writer.epoch, error=str(error))
            if clock.now_s() - began_s > CLAIM_TIMEOUT_S:
                raise ClaimTimeoutError(f"claim not answered: {error}") from error
            await asyncio.sleep(RETRY_INTERVAL_S)
            continue
        log_decision("term begins", epoch=writer.epoch, offset=offset)
        return _Claim(offset, sent_s)


async def _catch_up(journal, snapshot, claim_offset):
    """Return the state up to the claim; earlier leaders cannot append after it.

    Raises
    ------
    ClaimTimeoutError
        No read has succeeded for `CATCH_UP_TIMEOUT_S`. The other entries wait for this
        one while it holds the group's partition, so it must not retry for longer.
    """
    succeeded_s = clock.now_s()
    while snapshot.end <= claim_offset:
        try:
            snapshot = await _read_further(journal, snapshot)
            succeeded_s = clock.now_s()
        except JournalError as error:
            log_decision("state not read", offset=snapshot.end, error=str(error))
            if clock.now_s() - succeeded_s > CATCH_UP_TIMEOUT_S:
                raise ClaimTimeoutError(f"state not read: {error}") from error
            await asyncio.sleep(RETRY_INTERVAL_S)
    return snapshot


async def _read_further(journal, snapshot):
    """Return the state with the records that follow it, or a new snapshot."""
    try:
        tail = await journal.follow(CELL_STREAM, snapshot.end, 0)
    except JournalTruncatedError:
        return await journal.snapshot(CELL_STREAM)
    newer = {record.key: record for record in tail.records}
    return StreamSnapshot(snapshot.records_by_key | newer, tail.next_offset)


async def _read_cell(snapshot, settings, earlier_leaders, earlier_epoch):
    now_s = clock.now_s()
    cell = Cell(
        placing_start_s=now_s + PLACEMENT_DELAY_S,
        status_s=settings.bounds.status_s,
        placement_policy=settings.placement_policy,
    )
    cell.are_earlier_terms_over = earlier_leaders.have_all_ended
    residual_lease_ids = read_residual_lease_workers(snapshot.records_by_key)
    leases = InheritedLeases(
        now_s,
        settings.bounds.lease_ms,
        settings.bounds.max_lease_ms,
        # A previous leader that has not noticed the failover may still grant leases.
        0.0 if earlier_leaders.have_all_ended else earlier_leaders.max_grant_s,
        earlier_epoch,
        read_suspended_workers(snapshot.records_by_key),
        residual_lease_ids,
    )
    cell.earlier_lease_end_s = leases.granted_end_s
    cell.costs = read_costs(snapshot.records_by_key)
    addresses = read_agent_addresses(snapshot.records_by_key)
    await _read_jobs(cell, snapshot.records_by_key, addresses, leases, now_s)
    for worker_id in residual_lease_ids.union(addresses):
        _adopt_residual_lease(cell, worker_id, worker_id in residual_lease_ids, now_s)
    for worker in cell.workers_by_id.values():
        if leases.is_suspended(worker.worker_id):
            adopt_suspension(cell, worker)
    _log_adopted(cell, now_s)
    return cell


async def _read_jobs(cell, records_by_key, addresses, leases, now_s):
    """Add the jobs of a snapshot and their runs; others use the loop between slices."""
    slice_count = 0
    for job in read_jobs(records_by_key, now_s):
        add_job(cell, job, clock.wall_ms())
        slice_count += TASKS_PER_JOB
        keys = iter(job.tasks_by_key)
        while part := list(islice(keys, TASKS_PER_SLICE)):
            adopt_assigned(cell, job, addresses, leases.end_s, now_s, part)
            slice_count += len(part)
            if slice_count >= TASKS_PER_SLICE:
                slice_count = 0
                await asyncio.sleep(0)


def _adopt_residual_lease(cell, worker_id, is_recorded, now_s):
    """Restore what is known of the residual lease of a worker."""
    worker = cell.workers_by_id.get(worker_id)
    if worker is not None:
        worker.may_hold_residual_lease = is_recorded
    else:
        # It may have started again since it was recorded.
        cell.removed_s_by_worker_id[worker_id] = now_s


def _log_adopted(cell, now_s):
    workers = cell.workers_by_id.values()
    suspended = [w for w in workers if w.grants is LeaseGrants.SUSPENDED]
    end_s = max((worker.lease_end_s for worker in workers), default=now_s)
    log_decision(
        "runs adopted",
        workers=len(workers),
        suspended_workers=len(suspended),
        runs=sum(len(worker.runs_by_task) for worker in workers),
        lease_wait_s=round(end_s - now_s, 3),
    )
