"""Suspends lease grants to silent workers, and records that for a successor.

A successor that cannot reach an agent has to allow for leases that earlier leaders may
still grant to its worker. For a worker whose grants the journal records as suspended
there are none: a leader resumes the grants only after it has committed a newer record.
"""

from ..reducer import reduce
from .cell import EarlierTermsEnded, GrantsResumed, ResumeGrants
from .worker import LeaseGrants

__all__ = ["resume_grants", "suspend_if_silent"]

#: Time without contact after which the grants to a worker are suspended; a restart of
#: its agent takes less.
SUSPENSION_DELAY_S = 1.0


def suspend_if_silent(cell, worker, now_s):
    """Suspend the grants to a worker that has been unreachable for a while."""
    if worker.is_reachable or worker.grants is LeaseGrants.SUSPENDED:
        return
    is_silent = now_s - worker.unreachable_since_s > SUSPENSION_DELAY_S
    # Earlier leaders know nothing of the suspension.
    if is_silent and cell.are_earlier_terms_over:
        worker.grants = LeaseGrants.SUSPENDED
        cell.suspension_count += 1
        worker.suspension_number = cell.suspension_count
        cell.dirty_worker_ids.add(worker.worker_id)


def resume_grants(cell, worker):
    """Resume the grants to a reachable worker after the next commit."""
    if worker.grants is not LeaseGrants.SUSPENDED:
        return []
    worker.grants = LeaseGrants.RESUMING
    cell.dirty_worker_ids.add(worker.worker_id)
    return [ResumeGrants(worker.worker_id, worker.suspension_number)]


@reduce.register
def _(event: GrantsResumed, cell):
    worker = cell.workers_by_id.get(event.worker_id)
    if worker is None or worker.grants is not LeaseGrants.RESUMING:
        return []
    # The journal may tell of a later suspension than the one that was resumed.
    if worker.suspension_number == event.suspension_number:
        worker.grants = LeaseGrants.ALLOWED
    return []


@reduce.register
def _(event: EarlierTermsEnded, cell):
    cell.are_earlier_terms_over = True
    for worker in cell.workers_by_id.values():
        # Another end was counted from a report, or is that of a residual lease.
        is_assumed = (
            not worker.has_reported or worker.lease_end_s == cell.earlier_lease_end_s
        )
        if is_assumed and not worker.may_hold_residual_lease:
            worker.lease_end_s = min(worker.lease_end_s, event.lease_end_s)
    return []
