"""Server side of the calls between processes, with limits on what peers may hold."""

import asyncio
import itertools
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from .bytebudget import ByteShare, make_unlimited_share
from .frame import decode_call, encode_error, encode_reply
from .listening import create_server
from .peerprotocol import PeerError, PeerProtocol, TrafficCount
from .shedding import Holding, choose_shed
from .shedlog import ShedLog

__all__ = ["PeerQuota", "serve_peers"]

#: Most calls of one connection in progress, and most bytes of their frames; it is not
#: read while there are more.
MAX_CALLS = 1000
MAX_CALL_BYTES = 8 * 1024 * 1024
#: Interval at which it is checked that a peer reads the replies that are waiting, and
#: least bytes that it has to read in each; some cuts of links last 12 s.
UNREAD_TIMEOUT_S = 30.0
MIN_READ_BYTES = 65_536


@dataclass(slots=True)
class PeerQuota:
    """Limits on all connections of peers together."""

    #: Bytes of frames that have not arrived in full.
    share: ByteShare = field(default_factory=make_unlimited_share)
    max_connections: int = 1 << 30
    #: Most connections that are accepted in one iteration of the event loop.
    max_accepted: int = 100


class _PeerListener:
    """The connections of one listening address."""

    __slots__ = ("_quota", "_shed_log", "_silent", "connections")

    def __init__(self, quota):
        self._quota = quota
        self._shed_log = ShedLog()
        #: Numbers of the connections, in the order in which they were opened.
        self.connections = {}
        # Connections without a complete frame so far, in the same order.
        self._silent = {}

    def admit(self, connection, number):
        """Register a connection, and close another one if there are too many.

        The one that has been silent for longest is closed: a peer sends a call as soon
        as it has connected.
        """
        self.connections[connection] = number
        self._silent[connection] = None
        if len(self.connections) > self._quota.max_connections:
            oldest = next(iter(self._silent))
            del self._silent[oldest]
            self._shed_log.add("peer_connections")
            oldest.transport.abort()

    def note_used(self, connection):
        """Note that a frame arrived in full."""
        self._silent.pop(connection, None)

    def charge(self, connection, held_bytes):
        """Charge a part of a frame, and shed connections if that is too much."""
        share = self._quota.share
        share.used_bytes += held_bytes - connection.held_bytes
        connection.held_bytes = held_bytes
        if share.excess_bytes > 0:
            self._shed()

    def _shed(self):
        connections_by_number = {
            number: connection for connection, number in self.connections.items()
        }
        holdings = [
            Holding(number, connection.held_bytes)
            for number, connection in connections_by_number.items()
        ]
        for holding in choose_shed(holdings, self._quota.share.excess_bytes):
            connection = connections_by_number[holding.number]
            self._shed_log.add("peer_memory")
            self._quota.share.used_bytes -= connection.held_bytes
            connection.held_bytes = 0
            connection.reader.clear()
            connection.transport.abort()

    def count_unread(self):
        """Count a connection whose peer does not read its replies."""
        self._shed_log.add("peer_unread_replies")

    def remove(self, connection):
        """Forget a connection that is closed."""
        self.charge(connection, 0)
        self.connections.pop(connection, None)
        self._silent.pop(connection, None)


class _ServerProtocol(PeerProtocol):
    """Server side: runs the handler of each call in a task of its own."""

    def __init__(self, traffic, handlers_by_method, listener, number):
        super().__init__(traffic)
        self._handlers_by_method = handlers_by_method
        self._listener = listener
        self._number = number
        self._tasks = set()
        self._call_bytes = 0
        self._has_too_many_calls = False
        self._is_used = False
        self._reply_bytes = 0
        # Bytes of replies that had left the process when the timer was set.
        self._left_bytes = 0
        self._unread_timer = None
        #: Bytes charged to the listener's share.
        self.held_bytes = 0

    def connection_made(self, transport):
        super().connection_made(transport)
        self._listener.admit(self, self._number)

    def connection_lost(self, exc):
        self._cancel_unread_timer()
        self._listener.remove(self)

    def data_received(self, data):
        super().data_received(data)
        buffered_bytes = self.reader.buffered_bytes
        if buffered_bytes != self.held_bytes and not self.transport.is_closing():
            self._listener.charge(self, buffered_bytes)

    def pause_writing(self):
        self._set_unread_timer()
        self.transport.pause_reading()

    def resume_writing(self):
        self._cancel_unread_timer()
        self._resume_reading()

    def _set_unread_timer(self):
        self._left_bytes = self._reply_bytes - self.transport.get_write_buffer_size()
        loop = asyncio.get_running_loop()
        self._unread_timer = loop.call_later(UNREAD_TIMEOUT_S, self._on_unread_timer)

    def _cancel_unread_timer(self):
        if self._unread_timer is not None:
            self._unread_timer.cancel()
            self._unread_timer = None

    def _on_unread_timer(self):
        min_left_bytes = self._left_bytes + MIN_READ_BYTES
        buffered_bytes = self.transport.get_write_buffer_size()
        if self._reply_bytes - buffered_bytes >= min_left_bytes:
            self._set_unread_timer()
            return
        self._listener.count_unread()
        self.transport.abort()

    def frame_received(self, frame):
        task = asyncio.ensure_future(self._handle_call(decode_call(frame)))
        if not self._is_used:
            self._is_used = True
            self._listener.note_used(self)
        frame_bytes = len(frame)
        self._call_bytes += frame_bytes
        self._tasks.add(task)
        task.add_done_callback(lambda task: self._end_call(task, frame_bytes))
        if len(self._tasks) >= MAX_CALLS or self._call_bytes >= MAX_CALL_BYTES:
            self._has_too_many_calls = True
            self.transport.pause_reading()

    def _end_call(self, task, frame_bytes):
        self._tasks.discard(task)
        self._call_bytes -= frame_bytes
        if self._has_too_many_calls:
            is_full = len(self._tasks) >= MAX_CALLS
            self._has_too_many_calls = is_full or self._call_bytes >= MAX_CALL_BYTES
            self._resume_reading()

    def _resume_reading(self):
        is_closing = self.transport.is_closing()
        is_unread = self._unread_timer is not None
        if not (is_closing or is_unread or self._has_too_many_calls):
            self.transport.resume_reading()

    async def _handle_call(self, call):
        handler = self._handlers_by_method.get(call.method)
        if handler is None:
            frame = encode_error(call.method, call.call_id, "method not served here")
        else:
            frame = await self._run_handler(handler, call)
        if not self.transport.is_closing():
            self._reply_bytes += len(frame)
            self.send(frame)

    async def _run_handler(self, handler, call):
        # A failing handler must not close the connection, which other calls share.
        try:
            value = await handler(call.argument)
            return encode_reply(call.method, call.call_id, value)
        except Exception as error:
            detail = f"{type(error).__name__}: {error}"
            return encode_error(call.method, call.call_id, detail)


@asynccontextmanager
async def serve_peers(address, handlers_by_method, traffic=None, quota=None):
    """Serve calls at ``address`` while the context is open.

    Parameters
    ----------
    address : str
        ``host:port`` to listen on.
    handlers_by_method : dict of str to coroutine function
        Handler of each method: takes its argument and returns its value.
    traffic : TrafficCount, optional
        Counts the bytes and messages of all connections.
    quota : PeerQuota, optional
        Without it, connections and bytes of frames are not limited.

    Raises
    ------
    PeerError
        When the address cannot be bound.
    """
    host, _, port = address.rpartition(":")
    traffic = traffic or TrafficCount()
    quota = quota or PeerQuota()
    listener = _PeerListener(quota)
    numbers = itertools.count()
    try:
        server = await create_server(
            lambda: _ServerProtocol(
                traffic, handlers_by_method, listener, next(numbers)
            ),
            host.strip("[]"),
            int(port),
            quota.max_accepted,
        )
    except OSError as error:
        raise PeerError(f"cannot listen on {address}: {error}") from error
    try:
        yield server
    finally:
        server.close()
        for protocol in list(listener.connections):
            protocol.transport.close()
