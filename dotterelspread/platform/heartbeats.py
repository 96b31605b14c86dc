"""Decoding of a worker's calls to the registry on its instance."""

import math
import re
from typing import Annotated

import msgspec

from ..jobs.workeradapter import Announcement
from ..resources import Resources
from .decoding import Amount, Count, DecodingError, Instant, decode_json

__all__ = [
    "HEARTBEAT_PREFIX",
    "DEREGISTER_PREFIX",
    "MAX_NAME_LENGTH",
    "HeartbeatError",
    "check_worker_id",
    "read_deregistration",
    "read_heartbeat",
]

#: Path prefixes of a worker's heartbeat and deregistration; the worker ID follows.
HEARTBEAT_PREFIX = "/api/Instances.Heartbeat/"
DEREGISTER_PREFIX = "/api/Instances.Deregister/"
STATES = frozenset({"ready", "draining"})
MAX_LABELS = 64
MAX_NAME_LENGTH = 256
MAX_PORT = 65_535
#: A worker's ID becomes a header of calls to it and part of a key in the log store.
_WORKER_ID = re.compile(r"[!-~]{1,128}\Z")
Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]


class HeartbeatError(Exception):
    """A worker's call is malformed or has a value that is not known."""


class _Capacity(msgspec.Struct):
    cpu: Count = msgspec.field(name="Cpu", default=0)
    mem_mb: Count = msgspec.field(name="MemMb", default=0)
    gpu: Count = msgspec.field(name="Gpu", default=0)


class _Heartbeat(msgspec.Struct):
    service: Name = msgspec.field(name="Service")
    address: Name = msgspec.field(name="Address")
    zone: Name = msgspec.field(name="Zone")
    state: Name = msgspec.field(name="State")
    sequence: Instant = msgspec.field(name="Sequence")
    capacity: _Capacity = msgspec.field(name="Capacity")
    # The worker's kind, then its rack.
    labels: Annotated[list[Name], msgspec.Meta(max_length=MAX_LABELS)] = msgspec.field(
        name="Labels", default_factory=list
    )
    born: Instant = 0
    # For how long the worker stays slow after a start or an evacuation.
    cold_remaining_ms: Amount = msgspec.field(name="ColdRemainingMs", default=0)


class _Deregistration(msgspec.Struct):
    born: Instant = 0


def check_worker_id(worker_id):
    """Raise `HeartbeatError` unless a text can be the ID of a worker."""
    if not _WORKER_ID.match(worker_id):
        raise HeartbeatError("worker ID: empty, too long or not printable ASCII")


def read_deregistration(body):
    """Return the start time in a deregistration; 0 if it names none."""
    if not body:
        return 0
    try:
        return decode_json(body, _Deregistration).born
    except DecodingError as error:
        raise HeartbeatError(str(error)) from error


def read_heartbeat(worker_id, body):
    """Return the `Announcement` in a heartbeat.

    Raises
    ------
    HeartbeatError
        When the ID is none, or a field is missing, has the wrong type, is out of range
        or has an unknown value.
    """
    check_worker_id(worker_id)
    try:
        heartbeat = decode_json(body, _Heartbeat)
    except DecodingError as error:
        raise HeartbeatError(str(error)) from error
    if heartbeat.state not in STATES:
        raise HeartbeatError(f"State: {heartbeat.state!r} is not a known state")
    _check_address(heartbeat.address)
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
        cold_ms=math.ceil(heartbeat.cold_remaining_ms),
    )


def _check_address(address):
    port = address.rpartition(":")[2]
    if not (port.isascii() and port.isdecimal() and 0 < int(port) <= MAX_PORT):
        raise HeartbeatError("Address: no valid port")
