"""Which workers may hold a lease from calls to an earlier incarnation.

That is any incarnation of a worker whose id was known before it, until its agent says
that no such lease can last any longer. The journal records it for a successor, which
may not reach the agent.
"""

__all__ = [
    "expects_inheritance",
    "forget_removed_workers",
    "make_heir",
    "note_removed_worker",
    "update_inheritance",
]

#: Time after its removal in which a worker is expected to start again under its id; by
#: then no call to its earlier incarnation is under way any more.
REMOVED_WORKER_RETENTION_S = 60.0


def expects_inheritance(cell, worker_id):
    """Tell whether a worker may inherit a lease now, or when it starts again."""
    worker = cell.workers_by_id.get(worker_id)
    if worker is not None:
        return worker.inherits_lease
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


def make_heir(cell, worker):
    """Mark a new incarnation of a worker if its id was known before."""
    if cell.removed_s_by_worker_id.pop(worker.worker_id, None) is not None:
        worker.inherits_lease = True
        cell.dirty_worker_ids.add(worker.worker_id)


def update_inheritance(cell, worker, event):
    """Apply a `Reported` event; return when inherited leases have expired, 0 if none.

    The end is on the leader's clock.
    """
    if not worker.inherits_lease:
        return 0.0
    if not event.inherited_lease_end_s:
        worker.inherits_lease = False
        cell.dirty_worker_ids.add(worker.worker_id)
    return event.inherited_lease_end_s
