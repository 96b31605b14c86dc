"""Requests, responses and limits of the HTTP/1.1 server."""

from dataclasses import dataclass, field

__all__ = ["H1Limits", "H1Request", "H1Response", "encode_refusal", "encode_response"]

#: Reason phrases of the statuses that the processes send.
PHRASES_BY_STATUS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
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
#: Statuses that state that the request was not run, and that a repeat may be.
REPEATABLE_STATUSES = (429, 503)


@dataclass(slots=True)
class H1Limits:
    """Limits on the requests of a connection; they may change while it is open."""

    #: Largest head (request line and headers) of a request, with empty lines before it.
    max_head_bytes: int = 16_384
    #: Largest body of a request.
    max_body_bytes: int = 262_144
    #: Time from the first to the last byte of a head, and interval at which the data
    #: rate of a body is checked.
    read_timeout_s: float = 3.0
    #: Time that a connection may stay open without a request, and interval at which the
    #: data rate of a response is checked that the peer does not read at once.
    idle_timeout_s: float = 15.0
    #: Least average data rate of the body of a request, and of a response that the peer
    #: does not read at once, in each interval.
    min_body_bytes_per_s: int = 4096
    #: Most connections from one address; 0 for no limit, since all callers behind a
    #: load balancer may share one address.
    max_connections_per_address: int = 0

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


def encode_response(response, keep_alive):
    """Return the bytes of an `H1Response`."""
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
    return head + b"\r\n\r\n" + response.body


def encode_refusal(status):
    """Return the last response of a connection whose request is not run."""
    headers = {"Retry-After": "1"} if status in REPEATABLE_STATUSES else {}
    return encode_response(H1Response(status, headers=headers), False)
