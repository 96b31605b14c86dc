"""The platform's log over HTTP with MessagePack bodies; see ``docs/PLATFORM.md``."""

import contextlib

import aiohttp
import msgspec

from ..log import (
    Extent,
    Log,
    LoggedRecord,
    LogRejectedError,
    LogUnavailableError,
    LogUncertainError,
    ReadReply,
    TruncatedError,
)

__all__ = ["HttpLog", "RecordsPage", "StreamExtent"]

#: Seconds to open a connection.
CONNECT_TIMEOUT_S = 1.0
#: Seconds for the reply to an append.
APPEND_TIMEOUT_S = 2.0
#: Seconds allowed for the reply to a read beyond its long-poll wait.
READ_TIMEOUT_S = 1.5
#: Status codes that ask for a retry; the request had no effect.
BUSY_STATUSES = frozenset({408, 425, 429})
SKIPPED_HEADERS = ("User-Agent", "Accept", "Accept-Encoding")


class StreamExtent(msgspec.Struct, frozen=True):
    """Reply to an append or an extent query; also the body of status 410."""

    first: int
    next: int


class RecordsPage(msgspec.Struct, frozen=True):
    """Reply to a read."""

    first: int
    next: int
    records: tuple[tuple[int, bytes], ...]


_extent_decoder = msgspec.msgpack.Decoder(StreamExtent)
_page_decoder = msgspec.msgpack.Decoder(RecordsPage)


class HttpLog(Log):
    """Client of a log over HTTP, for production."""

    __slots__ = ("base_url", "session")

    def __init__(self, base_url, session):
        self.base_url = base_url.rstrip("/")
        self.session = session

    @classmethod
    @contextlib.asynccontextmanager
    async def from_url(cls, url):
        """Open the log whose ``/v1`` is under ``url``, and close it on exit."""
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(
            connector=connector, skip_auto_headers=SKIPPED_HEADERS
        ) as session:
            yield cls(url, session)

    async def append(self, stream, records):
        """Append ``records`` (bytes) and return their `Extent`."""
        url = f"{self.base_url}/v1/streams/{stream}/records"
        body = msgspec.msgpack.encode(list(records))
        data = await self._call("POST", url, APPEND_TIMEOUT_S, data=body)
        extent = _decode(_extent_decoder, data, LogUncertainError)
        return Extent(extent.first, extent.next)

    async def read(self, stream, from_offset, wait_s, max_bytes):
        """Return a `ReadReply`, after up to ``wait_s`` seconds."""
        url = (
            f"{self.base_url}/v1/streams/{stream}/records"
            f"?from={from_offset}&wait_ms={int(wait_s * 1000)}&max_bytes={max_bytes}"
        )
        data = await self._call("GET", url, wait_s + READ_TIMEOUT_S)
        page = _decode(_page_decoder, data, LogUnavailableError)
        return ReadReply(
            Extent(page.first, page.next),
            tuple(LoggedRecord(offset, data) for offset, data in page.records),
        )

    async def extent(self, stream):
        """Return the `Extent` of the records that the stream keeps."""
        url = f"{self.base_url}/v1/streams/{stream}"
        data = await self._call("GET", url, READ_TIMEOUT_S)
        extent = _decode(_extent_decoder, data, LogUnavailableError)
        return Extent(extent.first, extent.next)

    async def _call(self, method, url, timeout_s, data=None):
        timeout = aiohttp.ClientTimeout(
            total=timeout_s, sock_connect=min(CONNECT_TIMEOUT_S, timeout_s)
        )
        is_append = method == "POST"
        no_reply = LogUncertainError if is_append else LogUnavailableError
        try:
            async with self.session.request(
                method, url, data=data, timeout=timeout
            ) as response:
                body = await response.read()
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise LogUnavailableError(
                f"{method}: connection failed: {error}"
            ) from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise no_reply(f"{method}: no reply: {error!r}") from error
        _check_status(response.status, body, no_reply)
        return body


def _check_status(status, body, no_reply):
    if status == 200:
        return
    if status == 410:
        raise TruncatedError(_decode(_extent_decoder, body, no_reply).first)
    if status in BUSY_STATUSES:
        raise LogUnavailableError(f"status {status}")
    if 400 <= status < 500:
        raise LogRejectedError(f"status {status}")
    raise no_reply(f"status {status}")


def _decode(decoder, data, error_class):
    try:
        return decoder.decode(data)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise error_class(f"malformed reply from the log: {error}") from error
