"""A log held in the memory of one process, for tests and stand-ins."""

import asyncio
import contextlib
import time
from collections import defaultdict, deque

from ..log import Extent, Log, LoggedRecord, ReadReply, TruncatedError

__all__ = ["MemoryLog", "MemoryStreams"]

#: Seconds between two polls of a waiting read.
POLL_INTERVAL_S = 0.01


class MemoryStream:
    """The records of one stream, with the time at which each was written."""

    __slots__ = ("first", "records")

    def __init__(self):
        self.first = 0
        self.records = deque()

    @property
    def next(self):
        """Offset that the next record gets."""
        return self.first + len(self.records)


class MemoryStreams:
    """Streams of records that expire; the current time is passed in by the caller.

    Use it to simulate a log without its protocol.
    """

    __slots__ = ("read_lag_s", "retention_count", "retention_s", "streams_by_name")

    def __init__(self, retention_s=None, retention_count=None, read_lag_s=0.0):
        self.streams_by_name = defaultdict(MemoryStream)
        self.retention_s = retention_s
        self.retention_count = retention_count
        self.read_lag_s = read_lag_s

    def append(self, name, records, now_s):
        """Write ``records`` (bytes) and return their `Extent`."""
        stream = self.streams_by_name[name]
        first = stream.next
        stream.records.extend((now_s, bytes(data)) for data in records)
        return Extent(first, stream.next)

    def extent(self, name, now_s):
        """Return the `Extent` of the records kept and visible at ``now_s``."""
        stream = self.streams_by_name[name]
        self._expire(stream, now_s)
        visible = stream.next
        for written_s, _ in reversed(stream.records):
            if written_s <= now_s - self.read_lag_s:
                break
            visible -= 1
        return Extent(stream.first, visible)

    def read(self, name, from_offset, max_bytes, now_s):
        """Return a `ReadReply` of the records from ``from_offset`` on.

        Raises
        ------
        TruncatedError
            When ``from_offset`` is below the oldest offset kept.
        """
        extent = self.extent(name, now_s)
        if from_offset < extent.first:
            raise TruncatedError(extent.first)
        stream = self.streams_by_name[name]
        found = []
        size = 0
        for offset in range(from_offset, extent.next):
            data = stream.records[offset - extent.first][1]
            size += len(data)
            if found and size > max_bytes:
                break
            found.append(LoggedRecord(offset, data))
        return ReadReply(extent, tuple(found))

    def _expire(self, stream, now_s):
        while stream.records and self._is_expired(stream, now_s):
            stream.records.popleft()
            stream.first += 1

    def _is_expired(self, stream, now_s):
        limit = self.retention_count
        if limit is not None and len(stream.records) > limit:
            return True
        age_s = now_s - stream.records[0][0]
        return self.retention_s is not None and age_s >= self.retention_s


class MemoryLog(Log):
    """`MemoryStreams` behind the `Log` interface.

    Logs opened with the same ``memory://name`` share their streams.
    """

    __slots__ = ("streams",)

    streams_by_url = defaultdict(MemoryStreams)

    def __init__(self, streams):
        self.streams = streams

    @classmethod
    @contextlib.asynccontextmanager
    async def from_url(cls, url):
        """Open the log of that name in this process."""
        yield cls(cls.streams_by_url[url])

    async def append(self, stream, records):
        """Append ``records`` (bytes) and return their `Extent`."""
        return self.streams.append(stream, records, time.monotonic())

    async def read(self, stream, from_offset, wait_s, max_bytes):
        """Return a `ReadReply`, after up to ``wait_s`` seconds."""
        until_s = time.monotonic() + wait_s
        while True:
            now_s = time.monotonic()
            reply = self.streams.read(stream, from_offset, max_bytes, now_s)
            if reply.records or now_s >= until_s:
                return reply
            await asyncio.sleep(min(POLL_INTERVAL_S, until_s - now_s))

    async def extent(self, stream):
        """Return the `Extent` of the records that the stream keeps."""
        return self.streams.extent(stream, time.monotonic())
