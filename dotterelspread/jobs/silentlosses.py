"""Workers that fell silent and were given up, until it is known whether they crashed.

A worker that is cut off runs on until its leases expire and answers again later; one
that crashed is replaced by another incarnation, or its address refuses connections.
"""

from .crashes import conclude_crash, count_crash, make_worker_loss
from .reportedeffects import WorkerReturned

__all__ = ["keep_silent_loss", "settle_silent_loss"]


def keep_silent_loss(cell, worker):
    """Keep the runs of a silent worker that is given up."""
    loss = make_worker_loss(cell, worker)
    if loss.runs:
        cell.silent_losses_by_agent[worker.agent_address] = loss


def settle_silent_loss(cell, event):
    """Apply what a report shows of the agent's worker that was given up before.

    Parameters
    ----------
    cell : Cell
    event : Reported

    Returns
    -------
    list of Effect
    """
    report = event.report
    loss = cell.silent_losses_by_agent.get(report.agent_address)
    if loss is None:
        return []
    is_same = (loss.worker_id, loss.born_ms) == (report.worker_id, report.born_ms)
    if is_same and not (report.is_reachable or report.is_gone):
        return []
    del cell.silent_losses_by_agent[report.agent_address]
    if is_same and (report.is_reachable or report.has_left):
        return [WorkerReturned(loss.worker_id, loss.agent_address, len(loss.runs))]
    count_crash(cell, loss, report.worker_id)
    return conclude_crash(cell, loss, event)
