"""Length-prefixed frames of Thrift messages, the protocol of peers over TCP.

A frame is a four-byte big-endian length and one Thrift message in the compact protocol.
"""

import struct
from dataclasses import dataclass

from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.Thrift import TApplicationException, TMessageType
from thrift.transport.TTransport import TMemoryBuffer

from .gen.peer import Peer

__all__ = [
    "MAX_FRAME_BYTES",
    "Call",
    "FrameError",
    "FrameReader",
    "Reply",
    "decode_call",
    "decode_reply",
    "encode_call",
    "encode_error",
    "encode_reply",
]

#: Largest message that is accepted from a peer.
MAX_FRAME_BYTES = 8 * 1024 * 1024
#: Most elements of a list or map in a message; bounds what the codec allocates.
MAX_LIST_ELEMENTS = 65_536

_LENGTH = struct.Struct(">I")


class FrameError(Exception):
    """Bytes from a peer are not a valid message."""


@dataclass(slots=True, frozen=True)
class Call:
    """A decoded call from a peer."""

    method: str
    call_id: int
    argument: object


@dataclass(slots=True, frozen=True)
class Reply:
    """A decoded reply to a call; ``error`` is empty on success."""

    call_id: int
    value: object
    error: str = ""


class FrameReader:
    """Splits a stream of bytes into frames; use one per connection.

    Parameters
    ----------
    max_bytes : int
        Largest frame that is accepted.
    """

    __slots__ = ("_buffer", "_max_bytes")

    def __init__(self, max_bytes=MAX_FRAME_BYTES):
        self._buffer = bytearray()
        self._max_bytes = max_bytes

    @property
    def buffered_bytes(self):
        """Bytes of a frame that has not arrived in full."""
        return len(self._buffer)

    def clear(self):
        """Forget a frame that has not arrived in full."""
        self._buffer.clear()

    def feed(self, data):
        """Append ``data`` to the buffer and return the frames that are now complete.

        Raises
        ------
        FrameError
            When a frame exceeds the maximum length.
        """
        self._buffer += data
        frames = []
        start = 0
        while len(self._buffer) - start >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(self._buffer, start)
            if length > self._max_bytes:
                raise FrameError(f"frame of {length} bytes, limit {self._max_bytes}")
            end = start + _LENGTH.size + length
            if end > len(self._buffer):
                break
            frames.append(bytes(self._buffer[start + _LENGTH.size : end]))
            start = end
        del self._buffer[:start]
        return frames


def encode_call(method, call_id, argument):
    """Return the frame of a call; ``argument`` is the method's only argument."""
    arguments = getattr(Peer, f"{method}_args")()
    setattr(arguments, arguments.__slots__[0], argument)
    return _encode(method, TMessageType.CALL, call_id, arguments)


def encode_reply(method, call_id, value):
    """Return the frame of a successful reply."""
    result = getattr(Peer, f"{method}_result")(success=value)
    return _encode(method, TMessageType.REPLY, call_id, result)


def encode_error(method, call_id, detail):
    """Return the frame of an error reply with the reason for the failure."""
    error = TApplicationException(TApplicationException.INTERNAL_ERROR, detail)
    return _encode(method, TMessageType.EXCEPTION, call_id, error)


def decode_call(frame):
    """Return the `Call` in a frame.

    Raises
    ------
    FrameError
        When the frame is not a call of a known method.
    """
    protocol, method, kind, call_id = _read_header(frame)
    arguments_class = getattr(Peer, f"{method}_args", None)
    if kind != TMessageType.CALL or arguments_class is None:
        raise FrameError(f"not a call of a known method: {method[:64]!r}")
    arguments = _read_body(protocol, arguments_class())
    argument = getattr(arguments, arguments.__slots__[0])
    if argument is None:
        raise FrameError(f"call of {method} without its argument")
    return Call(method, call_id, argument)


def decode_reply(frame):
    """Return the `Reply` in a frame.

    Raises
    ------
    FrameError
        When the frame is not a reply to a known method.
    """
    protocol, method, kind, call_id = _read_header(frame)
    if kind == TMessageType.EXCEPTION:
        error = _read_body(protocol, TApplicationException())
        return Reply(call_id, None, error.message or "peer failed")
    result_class = getattr(Peer, f"{method}_result", None)
    if kind != TMessageType.REPLY or result_class is None:
        raise FrameError(f"not a reply to a known method: {method[:64]!r}")
    result = _read_body(protocol, result_class())
    if result.success is None:
        raise FrameError(f"reply to {method} without a value")
    return Reply(call_id, result.success)


def _encode(method, kind, call_id, body):
    buffer = TMemoryBuffer()
    protocol = TCompactProtocolAccelerated(buffer)
    protocol.writeMessageBegin(method, kind, call_id)
    body.write(protocol)
    protocol.writeMessageEnd()
    message = buffer.getvalue()
    return _LENGTH.pack(len(message)) + message


def _read_header(frame):
    protocol = TCompactProtocolAccelerated(
        TMemoryBuffer(frame),
        string_length_limit=MAX_FRAME_BYTES,
        container_length_limit=MAX_LIST_ELEMENTS,
    )
    try:
        method, kind, call_id = protocol.readMessageBegin()
    except Exception as error:
        raise FrameError(f"not a message: {error}") from error
    return protocol, method, kind, call_id


def _read_body(protocol, body):
    # On malformed bytes the codec raises many unrelated exception types.
    try:
        body.read(protocol)
    except Exception as error:
        raise FrameError(f"message body: {error}") from error
    return body
