"""Commits the changes of a leader's cell to the journal, one append after the other.

All that changes while an append is under way goes with the next one. Effects are handed
on only once the records of the change that caused them are in the journal.
"""

import asyncio
from dataclasses import dataclass, field

from ..counters import counters
from ..decisionlog import log_decision
from . import clock
from .cell import AppendDone, DropJob
from .handlers import reduce
from .job import JobState
from .journal import (
    JournalError,
    JournalFencedError,
    JournalMovedError,
    JournalRejectedError,
)
from .records import (
    CELL_STREAM,
    LeaderRecord,
    costs_record,
    drop_records,
    job_records,
    leader_record,
    worker_record,
)

__all__ = ["Committer", "DeposedError"]

#: Seconds for which the store may keep an append before it counts as silent.
STORE_SILENCE_S = 0.6
#: First and longest wait for the reply to an append before it is repeated.
FIRST_REPLY_S = 0.3
LONGEST_REPLY_S = 1.5
#: Pause before an append that was refused is repeated.
APPEND_PAUSE_S = 0.1
#: Seconds without an append after which the term is confirmed by one.
CONFIRM_INTERVAL_S = 1.0
#: Seconds between two records of what fillers cost serving tasks.
COSTS_INTERVAL_S = 2.0
#: Part of the largest request that the records of one append may fill.
CHUNK_SHARE = 0.5


class DeposedError(Exception):
    """Another process leads the cell."""


@dataclass(slots=True)
class _Batch:
    """Changes that are committed together."""

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
    writer : Writer
    cell : Cell
    perform : callable
        Takes each effect once it may be performed.
    """

    def __init__(self, settings, journal, writer, cell, perform):
        self.journal = journal
        self.writer = writer
        self.cell = cell
        #: State of each job as the journal has it.
        self.committed_by_id = {
            job.job_id: job.state for job in cell.jobs_by_id.values()
        }
        #: When the latest append was sent that the store took: the term had not ended.
        #: It also counts while the instance is suspended.
        self.confirmed_s = clock.elapsed_s()
        self._perform = perform
        self._chunk_bytes = int(settings.store.max_request_bytes * CHUNK_SHARE)
        self._leader = LeaderRecord(
            writer.epoch, settings.peer_address, settings.instance_id
        )
        self._stored = set(self.committed_by_id)
        self._costs_due_s = clock.now_s() + COSTS_INTERVAL_S
        self._append_since_s = None
        self._is_confirmation_due = False
        self._held = []
        self._pending = None
        self._in_flight = None
        self._work = asyncio.Event()

    @property
    def unconfirmed_s(self):
        """Seconds since the latest confirmation, suspensions included."""
        return clock.elapsed_s() - self.confirmed_s

    @property
    def is_store_silent(self):
        """Whether an append has waited for long."""
        since_s = self._append_since_s
        return since_s is not None and clock.now_s() - since_s > STORE_SILENCE_S

    def hold(self, effects):
        """Take the effects of a change to the cell, for after its commit."""
        self._held.extend(effects)
        cell = self.cell
        if (
            cell.dirty_job_ids
            or cell.dirty_worker_ids
            or cell.is_placing_due
            or self._held
        ):
            self._request()

    def confirm_if_due(self):
        """See to it that an append confirms the term about once a second."""
        if self.unconfirmed_s > CONFIRM_INTERVAL_S:
            self._is_confirmation_due = True
            self._request()

    async def settle(self):
        """Wait until all that was held so far is in the journal.

        Raises
        ------
        DeposedError
            The term ended before; what was held may be in the journal.
        """
        batch = self._pending or self._in_flight
        if batch is not None:
            await asyncio.shield(batch.done)

    def abandon(self, reason):
        """Wake those who wait: whoever leads next can tell what was committed."""
        for batch in (self._pending, self._in_flight):
            if batch is not None and not batch.done.done():
                batch.done.set_exception(DeposedError(reason))
                # Nobody need be waiting.
                batch.done.exception()

    async def run(self):
        """Commit what is held, for good.

        Raises
        ------
        DeposedError
            The store takes no more appends of this term.
        """
        while True:
            await self._work.wait()
            self._work.clear()
            batch = self._take_batch()
            if batch is None:
                continue
            self._in_flight = batch
            self.cell.is_append_under_way = True
            for chunk in self._chunks(batch.records):
                await self._append(chunk)
            self.cell.is_append_under_way = False
            self._in_flight = None
            self._finish(batch)

    def _request(self):
        if self._pending is None:
            self._pending = _Batch(asyncio.get_running_loop().create_future())
        self._work.set()

    def _take_batch(self):
        batch, self._pending = self._pending, None
        if batch is None:
            return None
        placed = reduce(AppendDone(clock.now_s()), self.cell)
        batch.effects, self._held = self._held + placed, []
        self._add_jobs(batch)
        self._add_workers(batch)
        if self.cell.costs.by_pair and clock.now_s() > self._costs_due_s:
            self._costs_due_s = clock.now_s() + COSTS_INTERVAL_S
            batch.records.append(costs_record(self.cell.costs))
        for effect in batch.effects:
            if isinstance(effect, DropJob):
                batch.records.extend(drop_records(effect.job))
        if self._is_confirmation_due and not batch.records:
            batch.records.append(leader_record(self._leader))
        self._is_confirmation_due = False
        return batch

    def _add_jobs(self, batch):
        dirty_job_ids, self.cell.dirty_job_ids = self.cell.dirty_job_ids, set()
        for job_id in sorted(dirty_job_ids):
            job = self.cell.jobs_by_id[job_id]
            batch.records.extend(job_records(job, job_id not in self._stored))
            batch.states_by_id[job_id] = job.state
            self._stored.add(job_id)

    def _add_workers(self, batch):
        gone_or_new, self.cell.dirty_worker_ids = self.cell.dirty_worker_ids, set()
        for worker_id in sorted(gone_or_new):
            worker = self.cell.workers_by_id.get(worker_id)
            address = worker.agent_address if worker else ""
            batch.records.append(worker_record(worker_id, address))

    def _chunks(self, records):
        chunk, size = [], 0
        for record in records:
            if chunk and size + len(record.value) > self._chunk_bytes:
                yield chunk
                chunk, size = [], 0
            chunk.append(record)
            size += len(record.value) + len(record.key)
        if chunk:
            yield chunk

    async def _append(self, records):
        self._append_since_s = clock.now_s()
        self.writer.sequence += 1
        timeout_s = FIRST_REPLY_S
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
                self._log_repeat(error)
                timeout_s = min(2 * timeout_s, LONGEST_REPLY_S)
                await asyncio.sleep(APPEND_PAUSE_S)
        counters.observe("append", clock.now_s() - self._append_since_s)
        counters.add("appended_records", len(records))
        self._append_since_s = None
        self.confirmed_s = sent_s

    def _log_repeat(self, error):
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
                self._stored.discard(effect.job.job_id)
            else:
                self._perform(effect)
