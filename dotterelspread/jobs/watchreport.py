"""Reads an agent's reply to the leader's watch query as a report on its worker."""

from ..resources import Resources
from .agentreport import AgentReport, EndedRun, RunningTask
from .pacing import FULL_PACE_PERCENT

__all__ = ["ReportError", "check_reply", "read_report"]

#: Fields of each reply, and those of a reply about a known worker.
REPLY_FIELDS = ("version", "clock_ms", "known", "epoch")
WORKER_FIELDS = (
    "worker_id",
    "born_ms",
    "service_name",
    "data_centre",
    "labels",
    "rack",
    "millicores",
    "memory_mb",
    "accelerators",
    "reachable",
    "draining",
    "listed_ms",
    "running",
    "ended",
)
RUNNING_FIELDS = ("task_id", "run", "checkpoint", "percent", "figure")
ENDED_FIELDS = ("number", "task_id", "run", "how", "checkpoint")


class ReportError(Exception):
    """A reply lacks a field; the message names it."""


def check_reply(reply):
    """Raise `ReportError` if a reply lacks a field that the leader needs."""
    _require(reply, REPLY_FIELDS, "reply")
    if not reply.known:
        return
    _require(reply, WORKER_FIELDS, "reply")
    for number, row in enumerate(reply.running):
        _require(row, RUNNING_FIELDS, f"running[{number}]")
    for number, row in enumerate(reply.ended):
        _require(row, ENDED_FIELDS, f"ended[{number}]")


def _require(message, names, place):
    for name in names:
        if getattr(message, name) is None:
            raise ReportError(f"{place}: no {name}")


def read_report(address, reply):
    """Return the `AgentReport` of the agent at ``address`` in a checked reply."""
    return AgentReport(
        agent_address=address,
        worker_id=reply.worker_id,
        born_ms=reply.born_ms,
        service=reply.service_name,
        data_centre=reply.data_centre,
        labels=frozenset(reply.labels),
        rack=reply.rack,
        capacity=Resources(reply.millicores, reply.memory_mb, reply.accelerators),
        is_reachable=reply.reachable,
        is_draining=reply.draining,
        has_left=bool(reply.left),
        is_gone=bool(reply.gone),
        cold_ms=reply.cold_ms or 0,
        has_more_ends=bool(reply.has_more_ends),
        listed_ms=reply.listed_ms,
        running=tuple(map(_read_running, reply.running)),
        ended=tuple(
            EndedRun(row.number, row.task_id, row.run, row.how, row.checkpoint)
            for row in reply.ended
        ),
    )


def _read_running(row):
    pace = FULL_PACE_PERCENT if row.pace is None else row.pace
    return RunningTask(
        row.task_id, row.run, row.checkpoint, row.percent, row.figure, pace
    )
