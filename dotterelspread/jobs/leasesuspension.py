"""Suspends lease grants to silent workers, and records that for a successor.

A successor that cannot reach an agent has to allow for leases that earlier leaders may
still grant to its worker. For a worker whose grants the journal records as suspended
there are none: a leader resumes the grants only after it has committed a newer record.
The record tells for how long leases granted before may last on, so that leaders that
follow each other within one lease wait for it once in all.
"""

import math

from ..reducer import reduce
from .cell import EarlierTermsEnded, GrantsResumed, ResumeGrants
from .worker import LeaseGrants

__all__ = [
    "adopt_suspension",
    "is_silent_and_suspended",
    "remaining_lease_ms",
    "resume_grants",
    "suspend_if_silent",
]

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
        _suspend(cell, worker)


def adopt_suspension(cell, worker):
    """Go on with a suspension by the previous leader, and record it for this term.

    A later successor heeds a suspension by the leader just before it only.
    """
    _suspend(cell, worker)


def _suspend(cell, worker):
    worker.grants = LeaseGrants.SUSPENDED
    cell.suspension_count += 1
    worker.suspension_number = cell.suspension_count
    cell.dirty_worker_ids.add(worker.worker_id)


def is_silent_and_suspended(worker):
    """Tell whether a worker does not answer and is granted no leases."""
    return worker.grants is LeaseGrants.SUSPENDED and not worker.is_reachable


def remaining_lease_ms(worker, now_s):
    """Return for how long the leases of a suspended worker may last on."""
    return max(0, math.ceil((worker.lease_end_s - now_s) * 1000))


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
