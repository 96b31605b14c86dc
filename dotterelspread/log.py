"""Interface to the platform's append-only log.

`Log` is the base class of the variants in ``dotterelspread.logs``; `open_log` selects
one by the scheme of its URL.
"""

import contextlib
import importlib
from dataclasses import dataclass
from urllib.parse import urlsplit

__all__ = [
    "Extent",
    "Log",
    "LogError",
    "LogRejectedError",
    "LogUnavailableError",
    "LogUncertainError",
    "LoggedRecord",
    "ReadReply",
    "TruncatedError",
    "open_log",
]

#: Module and class of each variant, by URL scheme.
LOGS_BY_SCHEME = {
    "http": ("dotterelspread.logs.http", "HttpLog"),
    "https": ("dotterelspread.logs.http", "HttpLog"),
    "memory": ("dotterelspread.logs.memory", "MemoryLog"),
}


class LogError(Exception):
    """An operation on the log failed."""


class LogUnavailableError(LogError):
    """The log is unavailable; an append that raises this was not written."""


class LogUncertainError(LogError):
    """An append was sent but not acknowledged; it may be written, now or later."""


class LogRejectedError(LogError):
    """The log rejected the call permanently; nothing was written."""


class TruncatedError(LogError):
    """The records asked for have expired.

    Parameters
    ----------
    oldest : int
        Offset of the oldest record that the log still keeps.
    """

    def __init__(self, oldest):
        super().__init__(f"the oldest record kept is at offset {oldest}")
        self.oldest = oldest


@dataclass(slots=True, frozen=True)
class Extent:
    """A range of offsets: of a stream's kept records, or of an append."""

    first: int
    #: One more than the last offset.
    next: int


@dataclass(slots=True, frozen=True)
class LoggedRecord:
    """The bytes of one record with its offset."""

    offset: int
    data: bytes


@dataclass(slots=True, frozen=True)
class ReadReply:
    """Records from one read, with the stream's extent at that moment."""

    extent: Extent
    records: tuple[LoggedRecord, ...]


class Log:
    """Base class of log clients; subclass it to support another protocol.

    Every method may raise `LogUnavailableError` or `LogRejectedError`.
    """

    @classmethod
    def from_url(cls, url):
        """Return an async context manager that holds the log at ``url`` open."""
        raise NotImplementedError

    async def append(self, stream, records):
        """Append ``records`` (bytes) in order and return their `Extent`.

        Raises
        ------
        LogUncertainError
            When it is not known whether the records were or will be written.
        """
        raise NotImplementedError

    async def read(self, stream, from_offset, wait_s, max_bytes):
        """Return a `ReadReply` of the records from ``from_offset`` on.

        Waits up to ``wait_s`` seconds for the first record. At least one record is
        returned when there is one, also when it exceeds ``max_bytes``.

        Raises
        ------
        TruncatedError
            When ``from_offset`` is below the oldest offset kept.
        """
        raise NotImplementedError

    async def extent(self, stream):
        """Return the `Extent` of the records that the stream keeps."""
        raise NotImplementedError


@contextlib.asynccontextmanager
async def open_log(url):
    """Open the log at ``url`` with the variant for its scheme, and close it on exit.

    Raises
    ------
    LogError
        When no variant supports the scheme.
    """
    scheme = urlsplit(url).scheme
    if scheme not in LOGS_BY_SCHEME:
        raise LogError(f"no log variant for scheme {scheme!r}")
    module_name, class_name = LOGS_BY_SCHEME[scheme]
    variant = getattr(importlib.import_module(module_name), class_name)
    async with variant.from_url(url) as log:
        yield log
