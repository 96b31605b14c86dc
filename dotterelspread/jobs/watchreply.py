"""Builds an agent's reply to the leader's watch query."""

from ..gen.peer.ttypes import EndedRow, RunningRow, WatchReply
from .agentreport import MAX_LISTED_ENDS
from .checkpoints import is_inline
from .pacing import FULL_PACE_PERCENT
from .replybounds import select_ends

__all__ = ["build_watch_reply"]


def build_watch_reply(agent, accepts_partial_ends=True):
    """Return a `WatchReply` with the current state of an `Agent` and its worker.

    Parameters
    ----------
    agent : Agent
    accepts_partial_ends : bool
        Whether the leader keeps runs that have ended but are left to later replies.
    """
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
        _fill_running(reply, agent)
        _fill_ended(reply, agent, accepts_partial_ends)
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


def _fill_running(reply, agent):
    running = agent.listing.running
    reply.listed_ms = agent.listed_ms
    sent = agent.checkpoint_rotation.select(running)
    reply.running = [_running_row(agent, row, sent) for row in running]
    traits_by_task = agent.pacing_facts.traits_by_task
    reply.needs_traits = any(row.task_id not in traits_by_task for row in running)


def _fill_ended(reply, agent, accepts_partial_ends):
    by_number = agent.ended.by_number
    ended = select_ends(by_number) if accepts_partial_ends else by_number.values()
    reply.ended = [
        EndedRow(end.number, end.task_id, end.run, end.how, end.checkpoint)
        for end in ended
    ]
    # A worker that does not answer any more lists no further ends.
    is_truncated = agent.is_reachable and len(agent.listing.ended) >= MAX_LISTED_ENDS
    reply.has_more_ends = is_truncated or len(ended) < len(by_number)


def _running_row(agent, row, sent):
    pace = agent.pacer.pace_of(row.task_id, row.run)
    is_sent = (row.task_id, row.run) in sent or is_inline(row.checkpoint)
    return RunningRow(
        row.task_id,
        row.run,
        # An empty checkpoint changes nothing at the leader.
        row.checkpoint if is_sent else "",
        row.percent,
        row.figure,
        None if pace == FULL_PACE_PERCENT else pace,
    )
