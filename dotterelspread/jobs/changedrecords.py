"""Collects the journal records of what has changed in a cell since the last append."""

import msgspec

from ..counters import counters
from ..decisionlog import log_decision
from . import clock
from .checkpoints import take_checkpoint_records
from .journal import RECORD_LENGTH_BYTES
from .leasesuspension import remaining_lease_ms
from .records import (
    costs_record,
    drop_records,
    job_records,
    leader_record,
    residual_lease_record,
    suspension_record,
    waiver_record,
    worker_record,
)
from .restartedworkers import may_hold_residual_lease
from .worker import LeaseGrants

__all__ = ["ChangedRecords", "split_into_chunks", "storable_records"]

#: Interval between records of the costs that fillers impose on serving tasks.
COSTS_INTERVAL_S = 2.0
#: Decrease of the remaining leases of a suspended worker that its record does not tell,
#: from which the next append for other reasons renews it.
SUSPENSION_RENEWAL_MS = 500


class ChangedRecords:
    """Records that the next append of a term has to carry.

    Parameters
    ----------
    cell : Cell
    leader : LeaderRecord
    suspended_worker_ids : iterable of str
        Workers with a record that their grants are suspended.
    residual_lease_worker_ids : iterable of str
        Workers with a record that they may hold a residual lease.
    waived_addresses : frozenset of str
        Entries with a record that their answers may not be needed.
    """

    __slots__ = (
        "_cell",
        "_costs_due_s",
        "_due_waivers",
        "_included_job_ids",
        "_residual_lease_worker_ids",
        "_is_confirmation_due",
        "_is_leader_record_due",
        "_leader",
        "_recorded_lease_ms_by_id",
        "_suspended_worker_ids",
        "_waived_addresses",
    )

    def __init__(
        self,
        cell,
        leader,
        suspended_worker_ids,
        residual_lease_worker_ids,
        waived_addresses,
    ):
        self._cell = cell
        self._leader = leader
        self._is_leader_record_due = False
        self._is_confirmation_due = False
        self._suspended_worker_ids = set(suspended_worker_ids)
        #: Remaining leases in the records of the workers that this term has suspended.
        self._recorded_lease_ms_by_id = {}
        self._residual_lease_worker_ids = set(residual_lease_worker_ids)
        self._waived_addresses = self._due_waivers = waived_addresses
        #: Jobs whose specification an append has carried.
        self._included_job_ids = set(cell.jobs_by_id)
        self._costs_due_s = clock.now_s() + COSTS_INTERVAL_S

    def change_leader_record(self, **changes):
        """Change fields of the leader's record, which is then due."""
        self._leader = msgspec.structs.replace(self._leader, **changes)
        self._is_leader_record_due = True

    def change_waivers(self, addresses):
        """Set the entries that are to have a record of their waiver."""
        self._due_waivers = addresses

    def request_confirmation(self):
        """Make the leader's record due unless another record is."""
        self._is_confirmation_due = True

    def have_included(self, job_id):
        """Tell whether the specification of a job has been taken for an append."""
        return job_id in self._included_job_ids

    def forget(self, job_id):
        """Forget a job whose records have been removed."""
        self._included_job_ids.discard(job_id)

    def take(self, dropped_jobs):
        """Return the records that are due; they are not due again.

        Parameters
        ----------
        dropped_jobs : list of Job
            Jobs whose records are to be removed.
        """
        records = [*self._take_jobs(), *self._take_workers(), *self._take_costs()]
        for job in dropped_jobs:
            records.extend(drop_records(job))
        records.extend(self._take_waivers())
        if records or self._is_confirmation_due:
            # Renewals alone are no reason for an append.
            records.extend(self._renew_suspensions())
        is_confirmation = self._is_confirmation_due and not records
        if is_confirmation or self._is_leader_record_due:
            records.append(leader_record(self._leader))
        self._is_confirmation_due = False
        self._is_leader_record_due = False
        return records

    def _take_jobs(self):
        dirty_job_ids, self._cell.dirty_job_ids = self._cell.dirty_job_ids, set()
        records = []
        for job_id in sorted(dirty_job_ids):
            job = self._cell.jobs_by_id[job_id]
            checkpoints, removed_checkpoints = take_checkpoint_records(job)
            records.extend(checkpoints)
            records.extend(job_records(job, not self.have_included(job_id)))
            records.extend(removed_checkpoints)
            self._included_job_ids.add(job_id)
        return records

    def _take_workers(self):
        dirty, self._cell.dirty_worker_ids = self._cell.dirty_worker_ids, set()
        records = []
        for worker_id in sorted(dirty):
            worker = self._cell.workers_by_id.get(worker_id)
            address = worker.agent_address if worker else ""
            records.append(worker_record(worker_id, address))
            records.extend(self._take_suspension(worker_id, worker))
            records.extend(self._take_residual_lease(worker_id))
        return records

    def _take_suspension(self, worker_id, worker):
        is_suspended = worker is not None and worker.grants is LeaseGrants.SUSPENDED
        if is_suspended:
            self._suspended_worker_ids.add(worker_id)
            return [self._suspension_record(worker)]
        self._recorded_lease_ms_by_id.pop(worker_id, None)
        if worker_id not in self._suspended_worker_ids:
            return []
        self._suspended_worker_ids.remove(worker_id)
        return [suspension_record(worker_id, 0)]

    def _renew_suspensions(self):
        """Return the suspensions of which a successor would wait for too long or short.

        The remaining leases grow with reports that count a residual lease anew.
        """
        now_s = clock.now_s()
        records = []
        for worker_id, recorded_ms in list(self._recorded_lease_ms_by_id.items()):
            worker = self._cell.workers_by_id[worker_id]
            remaining_ms = remaining_lease_ms(worker, now_s)
            has_grown = remaining_ms > recorded_ms
            if has_grown or recorded_ms - remaining_ms >= SUSPENSION_RENEWAL_MS:
                records.append(self._suspension_record(worker))
        return records

    def _suspension_record(self, worker):
        remaining_ms = remaining_lease_ms(worker, clock.now_s())
        self._recorded_lease_ms_by_id[worker.worker_id] = remaining_ms
        return suspension_record(worker.worker_id, self._leader.epoch, remaining_ms)

    def _take_residual_lease(self, worker_id):
        may_hold = may_hold_residual_lease(self._cell, worker_id)
        if may_hold == (worker_id in self._residual_lease_worker_ids):
            return []
        self._residual_lease_worker_ids ^= {worker_id}
        return [residual_lease_record(worker_id, may_hold)]

    def _take_waivers(self):
        changed = sorted(self._due_waivers ^ self._waived_addresses)
        self._waived_addresses = self._due_waivers
        return [waiver_record(a, a in self._due_waivers) for a in changed]

    def _take_costs(self):
        if not self._cell.costs.by_pair or clock.now_s() <= self._costs_due_s:
            return []
        self._costs_due_s = clock.now_s() + COSTS_INTERVAL_S
        return [costs_record(self._cell.costs)]


def storable_records(records, max_record_bytes):
    """Return the records without those that the store does not take.

    The store refuses an append for one such record, and the changes of all jobs are in
    the same append. Only a checkpoint can be too large; its task resumes from an
    earlier one after a failover.
    """
    storable = []
    for record in records:
        if record.stored_bytes <= max_record_bytes:
            storable.append(record)
            continue
        counters.add("oversized_records")
        log_decision("record left out", key=record.key, bytes=record.stored_bytes)
    return storable


def split_into_chunks(records, max_bytes):
    """Yield lists of records of at most ``max_bytes`` each, if a record allows it."""
    chunk, size = [], 0
    for record in records:
        record_bytes = RECORD_LENGTH_BYTES + record.stored_bytes
        if chunk and size + record_bytes > max_bytes:
            yield chunk
            chunk, size = [], 0
        chunk.append(record)
        size += record_bytes
    if chunk:
        yield chunk
