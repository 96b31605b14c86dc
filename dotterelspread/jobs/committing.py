"""Group commit of a leader's changes to the journal, one append at a time.

Changes made during an append are batched into the next one. The effects of a change are
performed only after its records are in the journal. `changedrecords` collects these.
"""

import asyncio
from dataclasses import dataclass, field

from ..counters import counters
from ..decisionlog import log_decision
from . import clock
from .cell import AppendDone, DropJob
from .changedrecords import ChangedRecords, split_into_chunks, storable_records
from .handlers import reduce
from .job import JobState
from .journal import (
    JournalError,
    JournalFencedError,
    JournalMovedError,
    JournalRejectedError,
)
from .records import CELL_STREAM, LeaderRecord

__all__ = ["STORE_TIMEOUT_S", "Committer", "DeposedError"]

#: Time after which the store counts as unresponsive if an append is still waiting.
STORE_TIMEOUT_S = 0.6
#: Initial and maximum timeout of an append before it is retried.
INITIAL_APPEND_TIMEOUT_S = 0.3
MAX_APPEND_TIMEOUT_S = 1.5
#: Delay before a failed append is retried.
APPEND_RETRY_INTERVAL_S = 0.1
#: Time without an append after which the leader appends a record to confirm its term.
CONFIRM_INTERVAL_S = 1.0
#: Largest share of the store's request limit that the records of one append may use.
MAX_CHUNK_RATIO = 0.5


class DeposedError(Exception):
    """The term has ended; another process may lead the cell."""


@dataclass(slots=True)
class _Batch:
    """Changes committed together."""

    done: asyncio.Future
    records: list = field(default_factory=list)
    states_by_id: dict = field(default_factory=dict)
    effects: list = field(default_factory=list)


class Committer:
    """The only writer of a cell's stream for one term.

    Parameters
    ----------
    settings : ProcessSettings
    journal : Journal
    term : Term
    perform : callable
        Called with each effect after its commit.
    """

    def __init__(self, settings, journal, term, perform):
        self.journal = journal
        self.writer = term.writer
        self.cell = term.cell
        #: Committed state of each job.
        self.committed_by_id = {
            job.job_id: job.state for job in self.cell.jobs_by_id.values()
        }
        #: When the latest successful append was sent. The term was still valid then.
        #: On `clock.elapsed_s`, which includes suspensions of the instance.
        self.confirmed_s = term.claimed_s
        self._perform = perform
        self._max_record_bytes = settings.store.max_record_bytes
        self._chunk_bytes = int(settings.store.max_request_bytes * MAX_CHUNK_RATIO)
        leader = LeaderRecord(
            self.writer.epoch,
            settings.peer_address,
            settings.instance_id,
            term.earlier_leaders.to_record(),
            term.earlier_leaders.need_answers,
        )
        self._changes = ChangedRecords(
            term.cell,
            leader,
            term.suspended_worker_ids,
            term.residual_lease_worker_ids,
            term.waived_addresses,
        )
        self._append_since_s = None
        self._queued_effects = []
        self._pending = None
        self._in_flight = None
        self._has_work = asyncio.Event()

    @property
    def unconfirmed_s(self):
        """Seconds since the latest confirmation, including suspensions."""
        return clock.elapsed_s() - self.confirmed_s

    @property
    def is_store_unresponsive(self):
        """Whether an append has waited longer than `STORE_TIMEOUT_S`."""
        since_s = self._append_since_s
        return since_s is not None and clock.now_s() - since_s > STORE_TIMEOUT_S

    def enqueue(self, effects):
        """Queue the effects of a change to the cell until its commit."""
        self._queued_effects.extend(effects)
        cell = self.cell
        if (
            cell.dirty_job_ids
            or cell.dirty_worker_ids
            or cell.is_placing_due
            or self._queued_effects
        ):
            self._request_commit()

    def confirm_if_due(self):
        """Request an append if the last confirmation is about a second old."""
        if self.unconfirmed_s > CONFIRM_INTERVAL_S:
            self.request_confirmation()

    def request_confirmation(self):
        """Request an append that begins after this call; it confirms the term."""
        self._changes.request_confirmation()
        self._request_commit()

    def update_earlier_leaders(self, earlier_leaders):
        """Append a new record of this leader with the given `EarlierLeaders`."""
        self._changes.change_leader_record(
            earlier_addresses=earlier_leaders.to_record(),
            need_answers=earlier_leaders.need_answers,
        )
        self._request_commit()

    def update_waivers(self, addresses):
        """Append records that the answers of just these entries may not be needed."""
        self._changes.change_waivers(addresses)
        self._request_commit()

    async def wait_committed(self):
        """Wait until all changes made so far are in the journal.

        Raises
        ------
        DeposedError
            The term ended first; the changes may or may not be in the journal.
        """
        commit = self.current_commit()
        if commit is not None:
            await asyncio.shield(commit)

    def current_commit(self):
        """Return the future of the commit of all changes so far; None if it is done."""
        batch = self._pending or self._in_flight
        return None if batch is None else batch.done

    def has_sent(self, job_id):
        """Whether an append with the job may have reached the store."""
        return self._changes.have_included(job_id)

    def abandon(self, reason):
        """Fail all waiting callers; only the next leader knows what was committed."""
        for batch in (self._pending, self._in_flight):
            if batch is not None and not batch.done.done():
                batch.done.set_exception(DeposedError(reason))
                # Marks the exception as retrieved, as there may be no waiter.
                batch.done.exception()

    async def run(self):
        """Commit queued changes until the term ends.

        Raises
        ------
        DeposedError
            The store no longer accepts appends of this term.
        """
        while True:
            await self._has_work.wait()
            self._has_work.clear()
            batch = self._take_batch()
            if batch is None:
                continue
            self._in_flight = batch
            self.cell.is_append_under_way = True
            for chunk in split_into_chunks(batch.records, self._chunk_bytes):
                await self._append(chunk)
            self.cell.is_append_under_way = False
            self._in_flight = None
            self._finish(batch)
            if self.cell.is_placing_due:
                self._request_commit()

    def _request_commit(self):
        if self._pending is None:
            self._pending = _Batch(asyncio.get_running_loop().create_future())
        self._has_work.set()

    def _take_batch(self):
        batch, self._pending = self._pending, None
        if batch is None:
            return None
        placed = reduce(AppendDone(clock.now_s()), self.cell)
        self._add_begun_jobs()
        batch.effects, self._queued_effects = self._queued_effects + placed, []
        batch.states_by_id = {
            job_id: self.cell.jobs_by_id[job_id].state
            for job_id in self.cell.dirty_job_ids
        }
        dropped = [e.job for e in batch.effects if isinstance(e, DropJob)]
        batch.records = storable_records(
            self._changes.take(dropped), self._max_record_bytes
        )
        return batch

    def _add_begun_jobs(self):
        begun, self.cell.begun_job_ids = self.cell.begun_job_ids, set()
        self.cell.dirty_job_ids |= begun & self.cell.jobs_by_id.keys()

    async def _append(self, records):
        self._append_since_s = clock.now_s()
        self.writer.sequence += 1
        timeout_s = INITIAL_APPEND_TIMEOUT_S
        while True:
            sent_s = clock.elapsed_s()
            try:
                await self.journal.append(
                    CELL_STREAM, records, self.writer, timeout_s=timeout_s
                )
                break
            except (
                JournalFencedError,
                JournalMovedError,
                JournalRejectedError,
            ) as error:
                raise DeposedError(f"append: {error}") from error
            except JournalError as error:
                self._log_retry(error)
                timeout_s = min(2 * timeout_s, MAX_APPEND_TIMEOUT_S)
                await asyncio.sleep(APPEND_RETRY_INTERVAL_S)
        counters.observe("append", clock.now_s() - self._append_since_s)
        counters.add("appended_records", len(records))
        self._append_since_s = None
        self.confirmed_s = sent_s

    def _log_retry(self, error):
        log_decision(
            "append repeated",
            epoch=self.writer.epoch,
            sequence=self.writer.sequence,
            waited_s=round(clock.now_s() - self._append_since_s, 3),
            error=str(error),
        )

    def _finish(self, batch):
        for job_id, state in batch.states_by_id.items():
            earlier = self.committed_by_id.get(job_id)
            if state != earlier and state > JobState.RUNNING:
                counters.add("jobs_ended", state=state.name)
                log_decision("job ended", job_id=job_id, state=state.name)
        self.committed_by_id.update(batch.states_by_id)
        if not batch.done.done():
            batch.done.set_result(None)
        for effect in batch.effects:
            if isinstance(effect, DropJob):
                self.committed_by_id.pop(effect.job.job_id, None)
                self._changes.forget(effect.job.job_id)
            else:
                self._perform(effect)
