"""Discovery of the fleet's processes through a stream with a record for each."""

import math

import msgspec

from .journal import KeyedRecord
from .unreadable import UNREADABLE_ERRORS, log_unreadable

__all__ = ["NODES_STREAM", "NodeRecord", "decode_node", "encode_node"]

#: Stream of `NodeRecord` values, keyed by peer address.
NODES_STREAM = "nodes"
MAX_PORT = 65_535


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


_node_decoder = msgspec.msgpack.Decoder(NodeRecord)


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
    """Return the `NodeRecord` in a stream record, or None if it names no process."""
    if not record.value:
        return None
    try:
        node = _node_decoder.decode(record.value)
        _check(node, record.key)
    except UNREADABLE_ERRORS as error:
        log_unreadable(record.key, error)
        return None
    return node


def _check(node, key):
    if node.peer_address != key:
        raise ValueError("peer_address: not the key of the record")
    port = node.peer_address.rpartition(":")[2]
    if not (port.isascii() and port.isdecimal() and 0 < int(port[:6]) <= MAX_PORT):
        raise ValueError("peer_address: no valid port")
    if not (math.isfinite(node.cores) and node.cores >= 0):
        raise ValueError("cores: not a number of cores")
