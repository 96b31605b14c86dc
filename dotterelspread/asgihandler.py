"""Running of requests by an ASGI application."""

import asyncio
import logging

from uvicorn.protocols.http.httptools_impl import (
    HEADER_RE,
    HEADER_VALUE_RE,
    STATUS_LINE,
)

__all__ = ["AsgiError", "AsgiHandler", "AsgiResponse"]

#: Headers that the server decides on.
SERVER_HEADERS = (b"connection", b"transfer-encoding")
#: Statuses whose responses have neither a body nor its length.
BODILESS_STATUSES = (204, 304)
ERROR_BODY = b"Internal Server Error"
ERROR_HEADERS = [(b"content-type", b"text/plain; charset=utf-8")]

_logger = logging.getLogger(__name__)


class AsgiError(Exception):
    """An application does not follow the protocol of ASGI."""


class AsgiResponse:
    """The response of an application.

    Parameters
    ----------
    status : int
    headers : list of (bytes, bytes)
    body : bytes
    is_head : bool
        Whether the body is only announced.
    """

    __slots__ = ("body", "headers", "is_head", "status")

    def __init__(self, status, headers, body, is_head=False):
        self.status = status
        self.headers = headers
        self.body = body
        self.is_head = is_head

    def encode(self, keep_alive, default_headers=()):
        """Return the bytes of the response.

        Parameters
        ----------
        keep_alive : bool
        default_headers : iterable of (bytes, bytes)
            Headers that the server adds.
        """
        parts = [STATUS_LINE[self.status]]
        has_length = self.status in BODILESS_STATUSES
        for name, value in (*default_headers, *self.headers):
            if name in SERVER_HEADERS:
                continue
            if name == b"content-length":
                has_length = True
            parts += (name, b": ", value, b"\r\n")
        if not has_length:
            parts.append(b"content-length: %d\r\n" % len(self.body))
        if not keep_alive:
            parts.append(b"connection: close\r\n")
        parts.append(b"\r\n")
        if not self.is_head:
            parts.append(self.body)
        return b"".join(parts)


class _Exchange:
    """One request and the response that the application sends to it."""

    __slots__ = ("_body", "_chunks", "_is_complete", "_request", "_status", "headers")

    def __init__(self, request):
        self._request = request
        self._body = request.body
        self._chunks = []
        self._is_complete = False
        self._status = 0
        self.headers = []

    async def receive(self):
        """Return the body; afterwards wait for a disconnect, which is not reported."""
        body, self._body = self._body, None
        if body is None:
            # A request runs to its end also without its caller.
            await asyncio.get_running_loop().create_future()
        return {"type": "http.request", "body": body, "more_body": False}

    async def send(self, message):
        """Take a part of the response."""
        if message["type"] == "http.response.start":
            if self._status:
                raise AsgiError("a second start of the response")
            self._status = message["status"]
            for name, value in message.get("headers", ()):
                if HEADER_RE.search(name) or HEADER_VALUE_RE.search(value):
                    raise AsgiError(f"invalid header {name!r}")
                self.headers.append((name.lower(), value))
            return
        if not self._status or self._is_complete:
            raise AsgiError(f"unexpected {message['type']}")
        self._chunks.append(message.get("body", b""))
        self._is_complete = not message.get("more_body", False)

    def make_response(self):
        """Return the `AsgiResponse`, with status 500 unless it is complete."""
        is_head = self._request.scope["method"] == "HEAD"
        if not self._is_complete:
            return AsgiResponse(500, ERROR_HEADERS, ERROR_BODY, is_head)
        body = b"".join(self._chunks)
        return AsgiResponse(self._status, self.headers, body, is_head)


class AsgiHandler:
    """Handler of an `H1Listener` that runs an ASGI application.

    Parameters
    ----------
    application : ASGI application
    """

    __slots__ = ("_application",)

    def __init__(self, application):
        self._application = application

    async def __call__(self, request):
        """Run an `AsgiRequest` and return its `AsgiResponse`."""
        exchange = _Exchange(request)
        try:
            await self._application(request.scope, exchange.receive, exchange.send)
        except Exception:
            _logger.exception("exception in the application")
        return exchange.make_response()
