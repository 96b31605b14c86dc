"""Sends the paces of fillers to the worker of an agent."""

import asyncio

from ..counters import counters
from ..decisionlog import log_decision
from .workeradapter import StartAnswer, WorkerReplyError

__all__ = ["send_paces"]


async def send_paces(agent):
    """Adjust the paces to the latest list of runs, and send those that changed."""
    worker = agent.announcement
    changes = agent.pacer.update(
        worker.capacity.millicores if worker else 0,
        agent.listing.running,
        agent.pacing_facts.traits_by_task,
        agent.pacing_facts.costs_by_pair,
    )
    if not changes:
        return
    counters.add("paces", len(changes))
    log_decision(
        "fillers paced",
        changes=[[c.task_id, c.run, c.percent] for c in changes],
        looks_above=agent.pacer.samples_above_target,
    )
    worker_id = worker.worker_id if worker else ""
    calls = [
        agent.adapter.pace(worker_id, agent.session.token, c.task_id, c.run, c.percent)
        for c in changes
    ]
    for result in await asyncio.gather(*calls, return_exceptions=True):
        error = _error_of(result)
        if error:
            log_decision(
                "worker did not confirm a new pace; all paces will be sent again",
                error=error,
            )
            # Forces all paces to be sent again.
            agent.pacer.pace_by_run.clear()


def _error_of(result):
    """Return why a pace is not in force; empty if it is."""
    if isinstance(result, WorkerReplyError):
        return str(result)
    if isinstance(result, BaseException):
        raise result
    answer, _ = result
    return "" if answer is StartAnswer.RUNNING else answer.name.lower()
