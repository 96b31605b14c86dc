"""Discovery of the fleet's processes through a stream with a record for each."""

from contextlib import suppress

import msgspec

from .journal import KeyedRecord

__all__ = ["NODES_STREAM", "NodeRecord", "decode_node", "encode_node"]

#: Stream of `NodeRecord` values, keyed by peer address.
NODES_STREAM = "nodes"


class NodeRecord(msgspec.Struct, array_like=True, frozen=True):
    """A process of the fleet, as other processes reach it."""

    peer_address: str
    #: One of `FleetRole`.
    role: str
    instance_id: str
    data_centre: str
    region: str
    #: Number of processor cores available to the process.
    cores: float = 0.0


def encode_node(settings):
    """Return the stream record of a process."""
    node = NodeRecord(
        settings.peer_address,
        settings.role,
        settings.instance_id,
        settings.data_centre,
        settings.region,
        settings.cores,
    )
    return KeyedRecord(node.peer_address, msgspec.msgpack.encode(node))


def decode_node(record):
    """Return the `NodeRecord` in a stream record, or None if it cannot be decoded."""
    with suppress(msgspec.DecodeError, ValueError):
        return msgspec.msgpack.decode(record.value, type=NodeRecord)
    return None
