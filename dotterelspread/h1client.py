"""Minimal HTTP/1.1 client for processes that are billed by memory use.

Its errors distinguish requests that were never sent from those that may have been
executed.
"""

import asyncio
import contextlib
import socket
from dataclasses import dataclass, field

import httptools

__all__ = ["H1Client", "H1Error", "H1LostError", "H1Reply", "H1UnsentError"]

#: Timeout for opening a connection.
CONNECT_TIMEOUT_S = 0.6
#: Time after which the kernel closes a connection with unacknowledged data.
TCP_USER_TIMEOUT_MS = 3000
#: Longest idle time after which a connection is still reused.
MAX_IDLE_S = 10.0


class H1Error(Exception):
    """A call returned no reply."""


class H1UnsentError(H1Error):
    """No byte of the call was sent; it was not executed."""


class H1LostError(H1Error):
    """The call was sent but got no reply; it may have been executed."""


@dataclass(slots=True)
class H1Reply:
    """A complete reply."""

    status: int
    #: Headers by lower-case name.
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


class _Connection(asyncio.Protocol):
    def __init__(self):
        self.transport = None
        self.pending_reply = None
        self.parser = None
        self.reply = None
        self.chunks = []
        self.idle_since_s = 0.0

    def connection_made(self, transport):
        self.transport = transport
        sock = transport.get_extra_info("socket")
        with contextlib.suppress(OSError, AttributeError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
            )

    def connection_lost(self, exc):
        self._fail(f"connection lost: {exc}")

    def start(self, data):
        self.pending_reply = asyncio.get_running_loop().create_future()
        self.parser = httptools.HttpResponseParser(self)
        self.reply = H1Reply(0)
        self.chunks = []
        self.transport.write(data)
        return self.pending_reply

    def data_received(self, data):
        if self.parser is None:
            self.transport.abort()
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(f"not a reply: {error}")
            self.transport.abort()

    def on_header(self, name, value):
        self.reply.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, chunk):
        self.chunks.append(chunk)

    def on_message_complete(self):
        self.reply.status = self.parser.get_status_code()
        self.reply.body = b"".join(self.chunks)
        if not self.parser.should_keep_alive():
            self.transport.close()
        pending_reply, self.pending_reply, self.parser = self.pending_reply, None, None
        if pending_reply is not None and not pending_reply.done():
            pending_reply.set_result(self.reply)

    def is_usable(self, now_s):
        """Return whether the idle connection can be reused for another call."""
        is_fresh = now_s - self.idle_since_s < MAX_IDLE_S
        return is_fresh and not self.transport.is_closing()

    def _fail(self, detail):
        pending_reply, self.pending_reply = self.pending_reply, None
        if pending_reply is not None and not pending_reply.done():
            pending_reply.set_exception(H1LostError(detail))


class H1Client:
    """Client for one address with a pool of keep-alive connections.

    A connection carries one call at a time.

    Parameters
    ----------
    address : str
        ``host:port``.
    """

    __slots__ = ("_idle", "address", "opened_connections")

    def __init__(self, address):
        self.address = address
        #: Connections opened so far.
        self.opened_connections = 0
        self._idle = []

    async def call(self, method, target, timeout_s, body=b"", headers=None):
        """Make a call and return its `H1Reply`.

        Parameters
        ----------
        method, target : str
        timeout_s : float
            Seconds for the whole call, including the time to open a connection.
        body : bytes
        headers : dict of str to str, optional

        Raises
        ------
        H1UnsentError
            The call was not sent.
        H1LostError
            The call was sent and may have been executed.
        """
        started_s = asyncio.get_running_loop().time()
        deadline_s = started_s + timeout_s
        connection = await self._connection(timeout_s)
        data = self._encode(method, target, body, headers)
        pending_reply = connection.start(data)
        try:
            async with asyncio.timeout_at(deadline_s):
                reply = await pending_reply
        except TimeoutError:
            connection.transport.abort()
            self._abort_idle(started_s)
            raise H1LostError(f"{target}: no reply in {timeout_s:.2f} s") from None
        except BaseException:
            connection.transport.abort()
            raise
        if not connection.transport.is_closing():
            connection.idle_since_s = asyncio.get_running_loop().time()
            self._idle.append(connection)
        return reply

    @property
    def is_connected(self):
        """Whether the next call can reuse an idle connection."""
        now_s = asyncio.get_running_loop().time()
        return any(connection.is_usable(now_s) for connection in self._idle)

    def close(self):
        """Close all idle connections."""
        self._abort_idle(float("inf"))

    def _abort_idle(self, idle_before_s):
        """Close the connections whose last reply was before ``idle_before_s``.

        A fault that makes one connection unresponsive often affects all connections
        that were open at the time.
        """
        kept = []
        for connection in self._idle:
            if connection.idle_since_s < idle_before_s:
                connection.transport.abort()
            else:
                kept.append(connection)
        self._idle = kept

    async def _connection(self, timeout_s):
        now_s = asyncio.get_running_loop().time()
        while self._idle:
            connection = self._idle.pop()
            if connection.is_usable(now_s):
                return connection
            connection.transport.abort()
        host, _, port = self.address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(min(timeout_s, CONNECT_TIMEOUT_S)):
                _, connection = await loop.create_connection(
                    _Connection, host, int(port)
                )
        except (OSError, TimeoutError) as error:
            raise H1UnsentError(f"{self.address}: {error or 'timed out'}") from error
        self.opened_connections += 1
        return connection

    def _encode(self, method, target, body, headers):
        lines = [f"{method} {target} HTTP/1.1", f"Host: {self.address}"]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        lines.extend(f"{name}: {value}" for name, value in (headers or {}).items())
        return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
