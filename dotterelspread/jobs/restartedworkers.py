"""Workers that may hold a residual lease: one from calls to an earlier incarnation.

That is any worker whose id was known before its present incarnation, until its agent
says that no such lease can last any longer. The journal records it for a successor,
which may not reach the agent.
"""

__all__ = [
    "forget_removed_workers",
    "mark_if_restarted",
    "may_hold_residual_lease",
    "note_removed_worker",
    "update_residual_lease",
]

#: Time after its removal in which a worker may start again under its id and take calls
#: to its earlier incarnation. Agents send no lease end that is over.
REMOVED_WORKER_RETENTION_S = 60.0


def may_hold_residual_lease(cell, worker_id):
    """Tell whether a worker may hold such a lease now, or when it starts again."""
    worker = cell.workers_by_id.get(worker_id)
    if worker is not None:
        return worker.may_hold_residual_lease
    return worker_id in cell.removed_s_by_worker_id


def note_removed_worker(cell, worker_id, now_s):
    """Remember a worker that may start again under its id."""
    cell.removed_s_by_worker_id[worker_id] = now_s
    cell.dirty_worker_ids.add(worker_id)


def forget_removed_workers(cell, now_s):
    """Forget the workers that were removed long ago."""
    since_s = now_s - REMOVED_WORKER_RETENTION_S
    for worker_id, removed_s in list(cell.removed_s_by_worker_id.items()):
        if removed_s < since_s:
            del cell.removed_s_by_worker_id[worker_id]
            cell.dirty_worker_ids.add(worker_id)


def mark_if_restarted(cell, worker):
    """Mark a new incarnation of a worker whose id was known before."""
    if cell.removed_s_by_worker_id.pop(worker.worker_id, None) is not None:
        worker.may_hold_residual_lease = True
        cell.dirty_worker_ids.add(worker.worker_id)


def update_residual_lease(cell, worker, event):
    """Apply what a `Reported` event says of the residual lease of a worker."""
    if worker.may_hold_residual_lease and not event.residual_lease_end_s:
        worker.may_hold_residual_lease = False
        cell.dirty_worker_ids.add(worker.worker_id)
