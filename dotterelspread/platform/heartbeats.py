"""Read what a worker says to the registry on its machine."""

import msgspec

from ..jobs.workeradapter import Announcement
from ..resources import Resources

__all__ = [
    "HEARTBEAT_PREFIX",
    "LEAVE_PREFIX",
    "HeartbeatError",
    "read_heartbeat",
]

#: Paths of a heartbeat and of the last call of a worker; the worker's id follows.
HEARTBEAT_PREFIX = "/api/Instances.Heartbeat/"
LEAVE_PREFIX = "/api/Instances.Deregister/"
STATES = frozenset({"ready", "draining"})


class HeartbeatError(Exception):
    """A heartbeat names no worker that can be used."""


class _Capacity(msgspec.Struct):
    cpu: int = msgspec.field(name="Cpu", default=0)
    mem_mb: int = msgspec.field(name="MemMb", default=0)
    gpu: int = msgspec.field(name="Gpu", default=0)


class _Heartbeat(msgspec.Struct):
    service: str = msgspec.field(name="Service")
    address: str = msgspec.field(name="Address")
    zone: str = msgspec.field(name="Zone")
    state: str = msgspec.field(name="State")
    sequence: int = msgspec.field(name="Sequence")
    capacity: _Capacity = msgspec.field(name="Capacity")
    # The worker's kind and its rack, in this order.
    labels: list[str] = msgspec.field(name="Labels", default_factory=list)
    born: int = 0


def read_heartbeat(worker_id, body):
    """Return the `Announcement` in a heartbeat.

    Raises
    ------
    HeartbeatError
        When a field is missing, of another type or of an unknown value.
    """
    try:
        beat = msgspec.json.decode(body, type=_Heartbeat)
    except (msgspec.DecodeError, ValueError) as error:
        raise HeartbeatError(str(error)) from error
    if beat.state not in STATES:
        raise HeartbeatError(f"State: {beat.state!r} is not known")
    return Announcement(
        worker_id=worker_id,
        born_ms=beat.born,
        sequence=beat.sequence,
        service=beat.service,
        address=beat.address,
        data_centre=beat.zone,
        labels=frozenset(beat.labels),
        rack=beat.labels[1] if len(beat.labels) > 1 else "",
        capacity=Resources(beat.capacity.cpu, beat.capacity.mem_mb, beat.capacity.gpu),
        is_draining=beat.state == "draining",
    )
