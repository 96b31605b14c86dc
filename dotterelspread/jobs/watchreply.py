"""Builds an agent's reply to the leader's watch query."""

from ..gen.peer.ttypes import EndedRow, RunningRow, WatchReply
from .pacing import FULL_PACE_PERCENT

__all__ = ["build_watch_reply"]


def build_watch_reply(agent):
    """Return a `WatchReply` with the current state of an `Agent` and its worker."""
    known = agent.announcement is not None and agent.listing is not None
    reply = WatchReply(
        version=agent.version,
        clock_ms=agent.clock_ms(),
        known=known,
        epoch=agent.epoch,
        reachable=agent.is_reachable,
        session=agent.session.report(),
        residual_lease_ms=agent.residual_lease.remaining_ms(),
    )
    if known:
        _fill_worker(reply, agent)
        _fill_runs(reply, agent)
    return reply


def _fill_worker(reply, agent):
    worker = agent.announcement
    reply.worker_id = worker.worker_id
    reply.born_ms = agent.born_ms
    reply.service_name = worker.service
    reply.data_centre = worker.data_centre
    reply.labels = sorted(worker.labels)
    reply.rack = worker.rack
    reply.millicores = worker.capacity.millicores
    reply.memory_mb = worker.capacity.memory_mb
    reply.accelerators = worker.capacity.accelerators
    reply.draining = worker.is_draining
    reply.left = agent.departure.has_left
    reply.gone = agent.departure.is_gone
    reply.cold_ms = max(0, agent.cold_until_ms - reply.clock_ms) or None


def _fill_runs(reply, agent):
    running = agent.listing.running
    reply.listed_ms = agent.listed_ms
    reply.running = [_running_row(agent, row) for row in running]
    reply.ended = [
        EndedRow(end.number, end.task_id, end.run, end.how, end.checkpoint)
        for end in agent.ended.by_number.values()
    ]
    traits_by_task = agent.pacing_facts.traits_by_task
    reply.needs_traits = any(row.task_id not in traits_by_task for row in running)


def _running_row(agent, row):
    pace = agent.pacer.pace_of(row.task_id, row.run)
    return RunningRow(
        row.task_id,
        row.run,
        row.checkpoint,
        row.percent,
        row.figure,
        None if pace == FULL_PACE_PERCENT else pace,
    )
