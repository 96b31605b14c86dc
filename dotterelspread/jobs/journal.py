"""Interface to the log store for leaders and leader candidates.

Each stream retains the newest record of each key. Store adapters subclass `Journal`.
"""

from dataclasses import dataclass

__all__ = [
    "Journal",
    "JournalError",
    "JournalFencedError",
    "JournalMovedError",
    "JournalRejectedError",
    "JournalTruncatedError",
    "JournalUnavailableError",
    "JournalUncertainError",
    "KeyedRecord",
    "Membership",
    "RECORD_LENGTH_BYTES",
    "StreamSnapshot",
    "Tail",
    "Writer",
]


#: Size of the length of a key in a record, and of that of a record in a request.
KEY_LENGTH_BYTES = 1
RECORD_LENGTH_BYTES = 4


class JournalError(Exception):
    """A call to the store failed."""


class JournalUnavailableError(JournalError):
    """The store did not execute the call; it may be retried."""


class JournalUncertainError(JournalError):
    """No reply arrived; the call may have been executed or may still be."""


class JournalRejectedError(JournalError):
    """The store rejected the call; a retry would be rejected too."""


class JournalFencedError(JournalError):
    """A writer with a later epoch has fenced this one."""


class JournalMovedError(JournalError):
    """The stream does not end at the expected offset; nothing was appended."""


class JournalTruncatedError(JournalError):
    """The requested records have expired; the reader needs a new snapshot."""


@dataclass(slots=True, frozen=True)
class KeyedRecord:
    """A key and its value; an empty value removes the key."""

    key: str
    value: bytes

    @property
    def stored_bytes(self):
        """Size that counts against the store's limit on a record."""
        return KEY_LENGTH_BYTES + len(self.key.encode()) + len(self.value)


@dataclass(slots=True)
class Writer:
    """Identity of a writer, for fencing and idempotent appends.

    A retry with the same sequence number gets the reply of the first attempt.
    """

    name: str
    epoch: int
    sequence: int


@dataclass(slots=True, frozen=True)
class StreamSnapshot:
    """Newest record of each key, and the end offset of the stream before the read."""

    records_by_key: dict[str, KeyedRecord]
    end: int


@dataclass(slots=True, frozen=True)
class Tail:
    """Consecutive records, and the offset after the last of them."""

    records: tuple[KeyedRecord, ...]
    next_offset: int


@dataclass(slots=True, frozen=True)
class Membership:
    """State of a group as reported to one of its members."""

    generation: int
    #: Whether the only partition of the group is assigned to this member.
    is_holder: bool


class Journal:
    """Base class of log store adapters."""

    async def append(
        self, stream, records, writer=None, expected_end=None, timeout_s=1.5
    ):
        """Append records atomically and return the offset of the first.

        Parameters
        ----------
        stream : str
        records : list of KeyedRecord
        writer : Writer, optional
            Fences writers of earlier epochs.
        expected_end : int, optional
            Append only if the stream ends at this offset.
        timeout_s : float
            Timeout of the call.
        """
        raise NotImplementedError

    async def snapshot(self, stream):
        """Return a `StreamSnapshot`; it is inconsistent under concurrent appends."""
        raise NotImplementedError

    async def follow(self, stream, from_offset, wait_s):
        """Return a `Tail` once there are records, or an empty one after ``wait_s``."""
        raise NotImplementedError

    async def join(self, group, member, stream, ttl_ms, generation):
        """Join a group or renew the membership, and return a `Membership`."""
        raise NotImplementedError

    async def leave(self, group, member):
        """Leave a group without waiting for the membership to expire."""
        raise NotImplementedError
