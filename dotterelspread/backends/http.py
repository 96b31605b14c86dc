"""Backend servers that speak HTTP/1.1."""

from contextlib import asynccontextmanager

import aiohttp

from ..backend import Backend
from ..outcome import Completed, RefusalReason, Refused, Unknown

__all__ = ["HttpBackend", "open_backend"]

#: Largest answer that is relayed, in bytes.
MAX_ANSWER_BYTES = 4 * 1024 * 1024
#: Seconds that opening a connection to the server beside the agent may take.
CONNECT_TIMEOUT_S = 0.5
#: Seconds that a connection may stay unused.
KEEPALIVE_TIMEOUT_S = 30.0

#: Headers that belong to one connection and are not passed on.
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
    """A backend server that is reached over HTTP.

    The client library repeats some methods by itself when a kept connection turns out
    to be closed. Requests that must not run twice therefore go over connections of
    their own, where it never does.
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
        """Tell whether the backend server answers at all."""
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
    """Yield an `HttpBackend` with so many connections at the most."""
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
