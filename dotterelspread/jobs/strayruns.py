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
    """Stop all runs in the latest list if no leader can have ordered them.

    Parameters
    ----------
    agent : Agent
    """
    if agent.session.has_been_confirmed or not agent.listing.running:
        return
    grant_end_ms = agent.grant.until_ms
    if not grant_end_ms or grant_end_ms - agent.clock_ms() > STOP_LEAD_MS:
        return
    counters.add("stray_runs", len(agent.listing.running))
    log_decision(
        "stray runs stopped",
        worker_id=agent.announcement.worker_id,
        born_ms=agent.born_ms,
        runs=len(agent.listing.running),
        task_ids=[row.task_id for row in agent.listing.running[:MAX_LOGGED_TASKS]],
    )
    await asyncio.gather(*(_stop(agent, row) for row in agent.listing.running))


async def _stop(agent, row):
    worker_id = agent.announcement.worker_id
    order = StopOrder(agent.epoch, worker_id, agent.born_ms, row.task_id, row.run)
    try:
        await agent.adapter.stop(worker_id, agent.session.token, order)
    except WorkerReplyError as error:
        # The next list shows whether it still runs.
        log_decision("stray run not stopped", task_id=row.task_id, error=str(error))
