"""Where the processes of a fleet find each other: a stream with a record for each."""

from contextlib import suppress

import msgspec

from .journal import KeyedRecord

__all__ = ["NODES_STREAM", "NodeRecord", "decode_node", "encode_node"]

#: Stream that holds a `NodeRecord` under each process's peer address.
NODES_STREAM = "nodes"


class NodeRecord(msgspec.Struct, array_like=True, frozen=True):
    """A process that other processes may call."""

    peer_address: str
    #: One of `FleetRole`.
    role: str
    instance_id: str
    data_centre: str
    region: str
    #: Processors that the process may use.
    cores: float = 0.0


def encode_node(settings):
    """Return the journal's record of a process."""
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
    """Return the `NodeRecord` in a record, or None if it holds none."""
    with suppress(msgspec.DecodeError, ValueError):
        return msgspec.msgpack.decode(record.value, type=NodeRecord)
    return None
