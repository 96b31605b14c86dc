"""Remote procedure calls between processes, multiplexed over one TCP connection."""

import asyncio
import itertools
from contextlib import asynccontextmanager

from .frame import decode_reply, encode_call
from .peerprotocol import PeerError, PeerProtocol, TrafficCount
from .peerserver import PeerQuota, serve_peers

__all__ = [
    "PeerError",
    "PeerFailedError",
    "PeerLostError",
    "PeerPool",
    "PeerQuota",
    "PeerTimeoutError",
    "PeerUnsentError",
    "TrafficCount",
    "serve_peers",
]

#: Timeout for opening a connection.
CONNECT_TIMEOUT_S = 1.0


class PeerUnsentError(PeerError):
    """No byte of the call left this process."""


class PeerLostError(PeerError):
    """The connection ended after the call was sent."""


class PeerTimeoutError(PeerError):
    """The call timed out; it may still be running on the peer."""


class PeerFailedError(PeerError):
    """The peer answered that the call failed."""


class _ClientProtocol(PeerProtocol):
    """Client side: matches each reply to its pending call by call id."""

    def __init__(self, traffic):
        super().__init__(traffic)
        self.pending_calls_by_id = {}
        self.is_open = True

    def frame_received(self, frame):
        reply = decode_reply(frame)
        future = self.pending_calls_by_id.pop(reply.call_id, None)
        if future is None or future.done():
            return
        if reply.error:
            future.set_exception(PeerFailedError(reply.error))
        else:
            future.set_result(reply.value)

    def connection_lost(self, exc):
        self.is_open = False
        for future in self.pending_calls_by_id.values():
            if not future.done():
                future.set_exception(PeerLostError("connection lost"))
        self.pending_calls_by_id.clear()


class PeerPool:
    """Pool of connections to peers, one per address, opened on the first call.

    Use one pool per process. Calls to the same address share a connection and may be
    answered in any order.
    """

    def __init__(self, traffic=None):
        self.traffic = traffic or TrafficCount()
        self._connections_by_address = {}
        #: Connection attempts in progress; concurrent calls to an address share one.
        self._connecting_by_address = {}
        self._call_ids = itertools.count(1)

    @classmethod
    @asynccontextmanager
    async def open(cls, traffic=None):
        """Yield a pool and close its connections when the context ends."""
        pool = cls(traffic)
        try:
            yield pool
        finally:
            for opening in list(pool._connecting_by_address.values()):
                opening.cancel()
            for address in list(pool._connections_by_address):
                pool.replace_connection(address, abort=True)

    async def call(self, address, method, argument, timeout_s, on_sent=None):
        """Call a method of the peer at ``address`` and return its value.

        Parameters
        ----------
        address : str
            ``host:port`` of the peer.
        method : str
            Name of a method of the Thrift service.
        argument : object
            The method's only argument, a generated Thrift class.
        timeout_s : float
            Seconds to wait for the answer, including the time to open a connection.
        on_sent : callable, optional
            Called once the call has been sent; from then on the peer may run it.

        Raises
        ------
        PeerUnsentError
            No byte of the call left this process.
        PeerLostError, PeerTimeoutError
            The call was sent and may have been executed.
        PeerFailedError
            The peer reported that the call failed.
        """
        deadline_s = asyncio.get_running_loop().time() + timeout_s
        connection = await self._connection(address, timeout_s)
        call_id = next(self._call_ids) & 0x7FFFFFFF
        frame = _encode(address, method, call_id, argument)
        future = asyncio.get_running_loop().create_future()
        connection.pending_calls_by_id[call_id] = future
        connection.send(frame)
        if on_sent is not None:
            on_sent()
        try:
            async with asyncio.timeout_at(deadline_s):
                return await future
        except TimeoutError as error:
            detail = f"{address} {method}: no answer in {timeout_s:.3f} s"
            raise PeerTimeoutError(detail) from error
        finally:
            connection.pending_calls_by_id.pop(call_id, None)

    def replace_connection(self, address, abort=False):
        """Make later calls to ``address`` open a new connection.

        The old connection stays open for its pending calls, unless ``abort`` is set.
        """
        connection = self._connections_by_address.pop(address, None)
        if connection is None:
            return
        if abort or not connection.pending_calls_by_id:
            connection.transport.abort()

    def _is_open(self, address):
        connection = self._connections_by_address.get(address)
        return connection is not None and connection.is_open

    async def _connection(self, address, timeout_s):
        if self._is_open(address):
            return self._connections_by_address[address]
        opening = self._connecting_by_address.get(address)
        if opening is None:
            opening = asyncio.ensure_future(self._connect(address))
            self._connecting_by_address[address] = opening
            opening.add_done_callback(
                lambda done: self._finish_connecting(address, done)
            )
        try:
            async with asyncio.timeout(timeout_s):
                return await asyncio.shield(opening)
        except TimeoutError:
            detail = f"{address}: no connection in {timeout_s:.3f} s"
            raise PeerUnsentError(detail) from None

    def _finish_connecting(self, address, opening):
        del self._connecting_by_address[address]
        # Pending calls receive the error through the future; there may be none.
        if not opening.cancelled() and opening.exception() is None:
            self._connections_by_address[address] = opening.result()

    async def _connect(self, address):
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, protocol = await loop.create_connection(
                    lambda: _ClientProtocol(self.traffic), host.strip("[]"), int(port)
                )
        except (OSError, ValueError, OverflowError, TimeoutError) as error:
            raise PeerUnsentError(f"{address}: {error or 'no connection'}") from error
        return protocol


def _encode(address, method, call_id, argument):
    # On a value that does not fit its field the codec raises many types of exception.
    try:
        return encode_call(method, call_id, argument)
    except Exception as error:
        detail = f"{address} {method}: not encodable: {type(error).__name__}: {error}"
        raise PeerUnsentError(detail) from error
