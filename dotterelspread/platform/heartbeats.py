"""Decoding of a worker's calls to the registry on its instance."""

import msgspec

from ..jobs.workeradapter import Announcement
from ..resources import Resources
from .decoding import Count, DecodingError, Instant, decode_json

__all__ = [
    "HEARTBEAT_PREFIX",
    "DEREGISTER_PREFIX",
    "HeartbeatError",
    "read_heartbeat",
]

#: Path prefixes of a worker's heartbeat and deregistration; the worker ID follows.
HEARTBEAT_PREFIX = "/api/Instances.Heartbeat/"
DEREGISTER_PREFIX = "/api/Instances.Deregister/"
STATES = frozenset({"ready", "draining"})


class HeartbeatError(Exception):
    """A heartbeat is malformed or has a state that is not known."""


class _Capacity(msgspec.Struct):
    cpu: Count = msgspec.field(name="Cpu", default=0)
    mem_mb: Count = msgspec.field(name="MemMb", default=0)
    gpu: Count = msgspec.field(name="Gpu", default=0)


class _Heartbeat(msgspec.Struct):
    service: str = msgspec.field(name="Service")
    address: str = msgspec.field(name="Address")
    zone: str = msgspec.field(name="Zone")
    state: str = msgspec.field(name="State")
    sequence: Instant = msgspec.field(name="Sequence")
    capacity: _Capacity = msgspec.field(name="Capacity")
    # The worker's kind, then its rack.
    labels: list[str] = msgspec.field(name="Labels", default_factory=list)
    born: Instant = 0


def read_heartbeat(worker_id, body):
    """Return the `Announcement` in a heartbeat.

    Raises
    ------
    HeartbeatError
        When a field is missing, has the wrong type or an unknown value.
    """
    try:
        heartbeat = decode_json(body, _Heartbeat)
    except DecodingError as error:
        raise HeartbeatError(str(error)) from error
    if heartbeat.state not in STATES:
        raise HeartbeatError(f"State: {heartbeat.state!r} is not a known state")
    return Announcement(
        worker_id=worker_id,
        born_ms=heartbeat.born,
        sequence=heartbeat.sequence,
        service=heartbeat.service,
        address=heartbeat.address,
        data_centre=heartbeat.zone,
        labels=frozenset(heartbeat.labels),
        rack=heartbeat.labels[1] if len(heartbeat.labels) > 1 else "",
        capacity=Resources(
            heartbeat.capacity.cpu, heartbeat.capacity.mem_mb, heartbeat.capacity.gpu
        ),
        is_draining=heartbeat.state == "draining",
    )
