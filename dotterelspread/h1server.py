"""Minimal HTTP/1.1 server for processes that are billed by memory use.

Parsing is left to ``httptools``; this module manages connections, enforces limits and
shuts down gracefully.
"""

import asyncio
import contextlib
from dataclasses import dataclass, field
from urllib.parse import unquote

import httptools

__all__ = ["H1Limits", "H1Listener", "H1Request", "H1Response", "listen_h1"]

#: Reason phrases of the statuses that the processes send.
PHRASES_BY_STATUS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    410: "Gone",
    413: "Content Too Large",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}
JSON_TYPE = "application/json"


@dataclass(slots=True)
class H1Limits:
    """Limits on the requests of a connection; they may change while it is open."""

    #: Largest head (request line and headers) of a request.
    max_head_bytes: int = 16_384
    #: Largest body of a request.
    max_body_bytes: int = 262_144
    #: Time from the first to the last byte of a request.
    read_timeout_s: float = 3.0
    #: Time that a connection may stay open without a request.
    idle_timeout_s: float = 15.0

    def update_from(self, other):
        """Copy the limits of ``other``; open connections use them as well."""
        for name in self.__slots__:
            setattr(self, name, getattr(other, name))


@dataclass(slots=True)
class H1Request:
    """A request that has been read in full."""

    method: str
    path: str
    #: Headers by lower-case name.
    headers: dict[str, str]
    body: bytes
    #: Event loop time at which the last byte was read.
    received_s: float
    #: Undecoded path and query string.
    target: str = ""
    #: First value of each query parameter.
    query: dict[str, str] = field(default_factory=dict)


@dataclass(slots=True)
class H1Response:
    """The response of a handler."""

    status: int
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)
    content_type: str = JSON_TYPE


class H1Listener:
    """The connections of one listening address.

    Parameters
    ----------
    handler : coroutine function
        Takes an `H1Request`, returns an `H1Response`.
    limits : H1Limits
    """

    __slots__ = ("connections", "handler", "is_closing", "limits", "server")

    def __init__(self, handler, limits):
        self.handler = handler
        self.limits = limits
        self.connections = set()
        self.is_closing = False
        self.server = None

    async def drain(self, timeout_s):
        """Stop listening, answer the requests already read, and close connections.

        Returns
        -------
        int
            Requests that were still in progress after ``timeout_s``.
        """
        self.is_closing = True
        self.server.close()
        deadline_s = asyncio.get_running_loop().time() + timeout_s
        for connection in list(self.connections):
            connection.close_if_idle()
        while self.connections:
            if asyncio.get_running_loop().time() > deadline_s:
                break
            await asyncio.sleep(0.02)
        return sum(connection.is_busy for connection in self.connections)

    def abort(self):
        """Abort all connections."""
        for connection in list(self.connections):
            connection.transport.abort()


class _Connection(asyncio.Protocol):
    def __init__(self, listener):
        self.listener = listener
        self.transport = None
        self.parser = httptools.HttpRequestParser(self)
        self.loop = asyncio.get_running_loop()
        self.timer = None
        self.pending_requests = []
        self.handler_task = None
        self.head_bytes = 0
        self.body_bytes = 0
        self.in_head = False
        self.url = b""
        self.headers = {}
        self.chunks = []

    @property
    def is_busy(self):
        return self.handler_task is not None or bool(self.pending_requests)

    def connection_made(self, transport):
        self.transport = transport
        self.listener.connections.add(self)
        self._set_timer(self.listener.limits.idle_timeout_s)

    def connection_lost(self, exc):
        self.listener.connections.discard(self)
        self._cancel_timer()
        if self.handler_task is not None:
            self.handler_task.cancel()

    def data_received(self, data):
        if self.transport.is_closing():
            return
        if self.in_head or not self.is_busy:
            self.head_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(400)
        except httptools.HttpParserError:
            self._reject(400)
        else:
            if self.in_head and self.head_bytes > self.listener.limits.max_head_bytes:
                self._reject(431)

    def on_message_begin(self):
        self.in_head = True
        self.head_bytes = 0
        self.body_bytes = 0
        self.url = b""
        self.headers = {}
        self.chunks = []
        self._set_timer(self.listener.limits.read_timeout_s)

    def on_url(self, url):
        self.url += url

    def on_header(self, name, value):
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self):
        self.in_head = False

    def on_body(self, chunk):
        self.body_bytes += len(chunk)
        if self.body_bytes > self.listener.limits.max_body_bytes:
            self._reject(413)
        else:
            self.chunks.append(chunk)

    def on_message_complete(self):
        if self.transport.is_closing():
            return
        self._cancel_timer()
        request = H1Request(
            self.parser.get_method().decode("ascii"),
            unquote(self.url.split(b"?", 1)[0].decode("latin-1")),
            self.headers,
            b"".join(self.chunks),
            self.loop.time(),
            self.url.decode("latin-1"),
        )
        self.pending_requests.append((request, self.parser.should_keep_alive()))
        if self.handler_task is None:
            self.handler_task = asyncio.ensure_future(self._run_handler())

    async def _run_handler(self):
        keep_alive = True
        while self.pending_requests and keep_alive:
            request, keep_alive = self.pending_requests.pop(0)
            try:
                response = await self.listener.handler(request)
            except asyncio.CancelledError:
                raise
            except Exception:
                self._write(H1Response(500), False)
                self.transport.close()
                raise
            keep_alive = keep_alive and not self.listener.is_closing
            self._write(response, keep_alive)
        self.handler_task = None
        if not keep_alive:
            self.transport.close()
            return
        self._set_timer(self.listener.limits.idle_timeout_s)

    def close_if_idle(self):
        if not self.is_busy and not self.in_head:
            self.transport.close()

    def _write(self, response, keep_alive):
        phrase = PHRASES_BY_STATUS.get(response.status, "Status")
        lines = [
            f"HTTP/1.1 {response.status} {phrase}",
            f"Content-Length: {len(response.body)}",
        ]
        if response.body:
            lines.append(f"Content-Type: {response.content_type}")
        if not keep_alive:
            lines.append("Connection: close")
        lines.extend(f"{name}: {value}" for name, value in response.headers.items())
        head = "\r\n".join(lines).encode("latin-1")
        self.transport.write(head + b"\r\n\r\n" + response.body)

    def _reject(self, status):
        if not self.transport.is_closing():
            if not self.is_busy:
                self._write(H1Response(status), False)
            self.transport.close()

    def _set_timer(self, timeout_s):
        self._cancel_timer()
        self.timer = self.loop.call_later(timeout_s, self._on_timeout)

    def _cancel_timer(self):
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def _on_timeout(self):
        self.timer = None
        if not self.is_busy:
            self.transport.close()


@contextlib.asynccontextmanager
async def listen_h1(address, handler, limits=None):
    """Serve ``handler`` at ``address`` while the context is open.

    Parameters
    ----------
    address : str
        ``host:port``.
    handler : coroutine function
        Takes an `H1Request`, returns an `H1Response`.
    limits : H1Limits, optional

    Raises
    ------
    OSError
        When the address cannot be bound.
    """
    host, _, port = address.rpartition(":")
    listener = H1Listener(handler, limits or H1Limits())
    loop = asyncio.get_running_loop()
    listener.server = await loop.create_server(
        lambda: _Connection(listener), host, int(port), backlog=512
    )
    try:
        yield listener
    finally:
        listener.server.close()
        listener.abort()
