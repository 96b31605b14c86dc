"""Client of backend servers that speak HTTP/1.1."""

from contextlib import asynccontextmanager

import aiohttp

from ..backend import Backend
from ..outcome import Completed, RefusalReason, Refused, Unknown

__all__ = ["HttpBackend", "open_backend"]

#: Largest answer body that is relayed.
MAX_ANSWER_BYTES = 4 * 1024 * 1024
#: Timeout for opening a connection; the server runs on the agent's machine.
CONNECT_TIMEOUT_S = 0.5
#: Time after which an unused connection is closed.
KEEPALIVE_TIMEOUT_S = 30.0

#: Headers that apply to a single connection and are not forwarded.
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


class HttpBackend(Backend):
    """Client of one backend server over HTTP.

    aiohttp retries some methods by itself when a keep-alive connection turns out to be
    closed. Requests that are not idempotent therefore use single-use connections, on
    which it never retries.
    """

    def __init__(self, keepalive_session, single_use_session, url):
        self._keepalive_session = keepalive_session
        self._single_use_session = single_use_session
        self._url = url.rstrip("/")

    async def run(self, request, timeout_s):
        """Run ``request``; see `Backend.run`."""
        timeout = aiohttp.ClientTimeout(total=timeout_s, sock_connect=CONNECT_TIMEOUT_S)
        headers = [*request.headers, ("X-Request-Id", request.request_id)]
        session = (
            self._keepalive_session
            if request.is_idempotent
            else self._single_use_session
        )
        try:
            async with session.request(
                request.method,
                f"{self._url}/{request.path.lstrip('/')}",
                headers=headers,
                data=request.body,
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                return await _read_answer(response)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            detail = f"backend server takes no connection: {error}"
            return Refused(RefusalReason.NO_CAPACITY, detail, retry_after_s=1.0)
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            detail = f"backend server gave no whole answer: {type(error).__name__}"
            return Unknown(detail)

    async def is_ready(self):
        """Return whether the backend server responds to a health check."""
        timeout = aiohttp.ClientTimeout(total=CONNECT_TIMEOUT_S)
        try:
            async with self._keepalive_session.get(
                f"{self._url}/healthz", timeout=timeout
            ):
                return True
        except (TimeoutError, aiohttp.ClientError):
            return False


@asynccontextmanager
async def open_backend(url, connections):
    """Yield an `HttpBackend` with at most ``connections`` connections per session."""
    keepalive_connector = aiohttp.TCPConnector(
        limit=connections, keepalive_timeout=KEEPALIVE_TIMEOUT_S
    )
    single_use_connector = aiohttp.TCPConnector(limit=connections, force_close=True)
    async with (
        _session(keepalive_connector) as keepalive_session,
        _session(single_use_connector) as single_use_session,
    ):
        yield HttpBackend(keepalive_session, single_use_session, url)


def _session(connector):
    return aiohttp.ClientSession(
        connector=connector, auto_decompress=False, skip_auto_headers=("User-Agent",)
    )


async def _read_answer(response):
    chunks = []
    size = 0
    async for chunk in response.content.iter_any():
        size += len(chunk)
        if size > MAX_ANSWER_BYTES:
            response.close()
            return Unknown(f"answer of more than {MAX_ANSWER_BYTES} bytes")
        chunks.append(chunk)
    headers = tuple(
        (name, value)
        for name, value in response.headers.items()
        if name.lower() not in HOP_BY_HOP_HEADERS
    )
    return Completed(response.status, headers, b"".join(chunks))
