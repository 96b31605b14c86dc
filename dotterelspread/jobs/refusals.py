"""What the refusal of one start says of other starts, and for how long."""

import enum

__all__ = ["REFUSAL_BACKOFF_S", "RefusalScope", "accepts_step", "note_refusal"]

#: Time for which what was refused is not tried again.
REFUSAL_BACKOFF_S = 0.5


class RefusalScope(enum.IntEnum):
    """Starts that would be refused as the one that was, as `peer.thrift` numbers it."""

    #: All starts on the worker: it is unhealthy, or shuts down.
    WORKER = 1
    #: Starts on the worker of tasks that need as much room or more.
    ROOM = 2
    #: Starts on the worker of tasks of the step: its permit is not valid.
    PERMIT = 3
    #: Starts of tasks of the step on any worker: the order is not valid.
    ORDER = 4

    @classmethod
    def from_number(cls, number):
        """Return a scope by its number; that of the worker if it is not known."""
        try:
            return cls(number)
        except ValueError:
            return cls.WORKER


def note_refusal(job, worker, run, scope, now_s):
    """Record that a worker has refused to start a run.

    Parameters
    ----------
    job : Job or None
        Job of the run, if it is still there.
    worker : Worker
    run : TaskRun
    scope : RefusalScope
    now_s : float
    """
    until_s = now_s + REFUSAL_BACKOFF_S
    if scope is RefusalScope.WORKER:
        worker.backoff_until_s = max(worker.backoff_until_s, until_s)
    elif scope is RefusalScope.ROOM:
        recent = (one for one in worker.refused_demands if one[1] > now_s)
        worker.refused_demands = (*recent, (run.reserved, until_s))
    elif job is not None:
        worker_id = worker.worker_id if scope is RefusalScope.PERMIT else ""
        until_s_by_start = job.refused_until_s_by_start
        for start, earlier_s in list(until_s_by_start.items()):
            if earlier_s <= now_s:
                del until_s_by_start[start]
        until_s_by_start[run.key[:2], worker_id] = until_s


def accepts_step(job, step_key, worker, now_s):
    """Tell whether no recent refusal keeps tasks of a step from a worker."""
    until_s_by_start = job.refused_until_s_by_start
    return not until_s_by_start or all(
        now_s >= until_s_by_start.get((step_key, worker_id), 0.0)
        for worker_id in (worker.worker_id, "")
    )
