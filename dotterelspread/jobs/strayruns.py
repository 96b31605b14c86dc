"""Stops runs that a worker has started for calls to an earlier incarnation.

No leader knows of them while the agent is cut off, so that one may start their tasks
elsewhere once the leases have expired that it granted; theirs may be longer.
"""

import asyncio

from ..counters import counters
from ..decisionlog import log_decision
from ..gen.peer.ttypes import StopOrder
from .workeradapter import WorkerReplyError

__all__ = ["stop_stray_runs"]

#: Time before the end of the grant at which they are stopped: an interval between two
#: lists, and the time that a worker takes for a stop.
STOP_LEAD_MS = 1000
#: Largest number of task ids in one log line.
MAX_LOGGED_TASKS = 20


async def stop_stray_runs(agent):
    """Stop the early runs in the latest list if no leader has heard of them.

    Parameters
    ----------
    agent : Agent
    """
    if agent.session.has_been_confirmed or not _is_grant_ending(agent):
        return
    early = agent.early_runs
    strays = [row for row in agent.listing.running if (row.task_id, row.run) in early]
    if not strays:
        return
    counters.add("stray_runs", len(strays))
    log_decision(
        "stray runs stopped",
        worker_id=agent.announcement.worker_id,
        born_ms=agent.born_ms,
        runs=len(strays),
        task_ids=[row.task_id for row in strays[:MAX_LOGGED_TASKS]],
    )
    await asyncio.gather(*(_stop(agent, row) for row in strays))


def _is_grant_ending(agent):
    """Tell whether a grant is over or is about to be."""
    end_ms = agent.grant.until_ms
    return end_ms > 0 and end_ms - agent.clock_ms() <= STOP_LEAD_MS


async def _stop(agent, row):
    worker_id = agent.announcement.worker_id
    order = StopOrder(agent.epoch, worker_id, agent.born_ms, row.task_id, row.run)
    try:
        await agent.adapter.stop(worker_id, agent.session.token, order)
    except WorkerReplyError as error:
        # The next list shows whether it still runs.
        log_decision("stray run not stopped", task_id=row.task_id, error=str(error))
