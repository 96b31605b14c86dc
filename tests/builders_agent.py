"""Builders of what the agent of a worker receives."""

from dotterelspread.jobs.workeradapter import Announcement
from dotterelspread.resources import Resources

__all__ = ["HEARTBEAT"]

HEARTBEAT = Announcement(
    worker_id="i-1",
    born_ms=1000,
    sequence=1,
    service="svc",
    address="10.0.0.1:1",
    data_centre="dc",
    labels=frozenset({"a", "r1"}),
    rack="r1",
    capacity=Resources(8000, 16_000, 0),
    is_draining=False,
)
