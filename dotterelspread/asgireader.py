"""Reading of HTTP/1.1 requests for an ASGI application."""

from urllib.parse import unquote

import httptools

from .h1reader import HEADER_OVERHEAD_BYTES, H1Reader

__all__ = ["AsgiReader", "AsgiRequest"]

ASGI_VERSIONS = {"version": "3.0", "spec_version": "2.3"}
#: Version of HTTP whose connections are closed after each response.
SINGLE_REQUEST_VERSION = "1.0"


class AsgiRequest:
    """A request that has been read in full.

    Parameters
    ----------
    scope : dict
        Scope of the ASGI connection.
    body : bytes
    """

    __slots__ = ("body", "scope")

    def __init__(self, scope, body):
        self.scope = scope
        self.body = body


class AsgiReader(H1Reader):
    """Reads the requests of one connection and keeps their headers as they came.

    Parameters
    ----------
    limits : H1Limits
    """

    __slots__ = (
        "_is_chunked",
        "_path",
        "_query",
        "_raw_headers",
        "_raw_path",
        "_version",
        "awaits_continue",
        "client",
        "server",
    )

    def __init__(self, limits):
        super().__init__(limits)
        #: Addresses of the caller and of the server, as ``(host, port)``.
        self.client = None
        self.server = None

    def clear(self):
        """Forget the current request; the next byte begins another."""
        super().clear()
        self._is_chunked = False
        self._path = ""
        self._query = b""
        self._raw_headers = []
        self._raw_path = b""
        self._version = ""
        #: Whether the caller waits for an interim response before it sends the body.
        self.awaits_continue = False

    def take(self, received_s):
        """Return the `AsgiRequest` and whether the connection may stay open."""
        scope = {
            "type": "http",
            "asgi": ASGI_VERSIONS,
            "http_version": self._version,
            "server": self.server,
            "client": self.client,
            "scheme": "http",
            "method": self._method,
            "root_path": "",
            "path": self._path,
            "raw_path": self._raw_path,
            "query_string": self._query,
            "headers": self._raw_headers,
            "state": {},
        }
        request = AsgiRequest(scope, bytes(self._body))
        keep_alive = self._keep_alive and self._version != SINGLE_REQUEST_VERSION
        self.clear()
        return request, keep_alive

    def on_header(self, name, value):
        """Collect a header; called by the parser. Trailers are ignored."""
        if not self.in_head:
            return
        self._header_cost_bytes += HEADER_OVERHEAD_BYTES + len(name) + len(value)
        name = name.lower()
        # The parser keeps white space at the end, which is no part of the value.
        value = value.rstrip(b" \t")
        self._raw_headers.append((name, value))
        if name == b"content-length":
            self._headers["content-length"] = value
        elif name == b"transfer-encoding":
            self._is_chunked = True
        elif name == b"expect" and value.lower() == b"100-continue":
            self.awaits_continue = True

    def on_headers_complete(self):
        """End the head; called by the parser."""
        super().on_headers_complete()
        self._version = self._parser.get_http_version()
        # An exception here makes the request malformed.
        url = httptools.parse_url(self._url)
        self._raw_path = url.path
        path = url.path.decode("ascii")
        self._path = unquote(path) if "%" in path else path
        self._query = url.query or b""

    def _on_upgrade(self):
        # HTTP permits to serve the request without a change of the protocol. The parser
        # takes a body for the other protocol, so that it must have none.
        has_body = self._content_bytes or self._is_chunked
        if has_body or not self.is_complete:
            super()._on_upgrade()
