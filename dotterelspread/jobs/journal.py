"""The log store as the leader and its candidates use it.

Each stream keeps the newest record of each key. The edge to the store is a subclass.
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
    "StreamSnapshot",
    "Tail",
    "Writer",
]


class JournalError(Exception):
    """The store did not do what was asked."""


class JournalUnavailableError(JournalError):
    """The store did nothing; the call may be repeated."""


class JournalUncertainError(JournalError):
    """No reply came; the call may have been carried out, or may be later."""


class JournalRejectedError(JournalError):
    """The store refused the call, and would refuse it again."""


class JournalFencedError(JournalError):
    """A writer of a later epoch has written; this one may not write any more."""


class JournalMovedError(JournalError):
    """The stream does not end where the writer expected; nothing was appended."""


class JournalTruncatedError(JournalError):
    """Records that were asked for have expired; take a new snapshot."""


@dataclass(slots=True, frozen=True)
class KeyedRecord:
    """A key and its value; an empty value removes the key."""

    key: str
    value: bytes


@dataclass(slots=True)
class Writer:
    """Identity under which appends are fenced and repeated.

    A repeat with the same sequence number is answered as the first was.
    """

    name: str
    epoch: int
    sequence: int


@dataclass(slots=True, frozen=True)
class StreamSnapshot:
    """Newest record of each key, and the offset at which the stream ended before."""

    records_by_key: dict[str, KeyedRecord]
    end: int


@dataclass(slots=True, frozen=True)
class Tail:
    """Records read in order, and the offset of the next one."""

    records: tuple[KeyedRecord, ...]
    next_offset: int


@dataclass(slots=True, frozen=True)
class Membership:
    """What a member of a group was told."""

    generation: int
    #: Whether the group's only partition belongs to this member.
    is_holder: bool


class Journal:
    """Base of the edges to a log store."""

    async def append(
        self, stream, records, writer=None, expected_end=None, timeout_s=1.5
    ):
        """Append records as one unit and return the offset of the first.

        Parameters
        ----------
        stream : str
        records : list of KeyedRecord
        writer : Writer, optional
            Fences writers of earlier epochs.
        expected_end : int, optional
            Append only if the stream ends here.
        timeout_s : float
            Seconds to wait for the reply.
        """
        raise NotImplementedError

    async def snapshot(self, stream):
        """Return a `StreamSnapshot`; it is consistent only while nobody appends."""
        raise NotImplementedError

    async def follow(self, stream, from_offset, wait_s):
        """Return a `Tail` as soon as there are records, at most after ``wait_s``."""
        raise NotImplementedError

    async def join(self, group, member, stream, ttl_ms, generation):
        """Join a group, or keep the membership, and return a `Membership`."""
        raise NotImplementedError

    async def leave(self, group, member):
        """Give up a membership at once."""
        raise NotImplementedError
