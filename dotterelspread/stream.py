"""Following one stream: ordering, deduplication, malformed records, freshness.

The decisions are handlers of `reduce` on a `StreamReader`; `logclient` performs the
effects. Appending is in `appending`.

A writer's sequences only grow within a stream. A record whose sequence is not larger
than one seen before from the same writer is dropped, so that a repeated or late append
has no effect and all readers agree.
"""

from collections import OrderedDict
from dataclasses import dataclass

from .backoff import Backoff
from .log import ReadReply
from .record import Envelope, RecordError, decode_record
from .reducer import Effect, Event, reduce

__all__ = [
    "Batch",
    "Delivered",
    "Entry",
    "FollowStarted",
    "FollowTruncated",
    "ReadFailed",
    "ReadReplied",
    "ReadRetryDue",
    "ReadSent",
    "ReadTimerStarted",
    "ReadTruncated",
    "StreamReader",
    "WriterSequences",
]

#: Maximum number of writers tracked by each reader; least recently seen evicted first.
MAX_WRITERS = 4096
#: Seconds that a read waits for the first record.
READ_WAIT_S = 2.0
#: Maximum relative difference between the rates of two clocks.
CLOCK_RATE_ERROR = 0.01


class WriterSequences:
    """The highest sequence seen from each writer, within bounded memory.

    It is a pure function of the stream, so a snapshot of the stream must hold it.
    """

    __slots__ = ("sequences_by_writer",)

    def __init__(self, items=()):
        self.sequences_by_writer = OrderedDict(items)

    def accept(self, writer, sequence):
        """Return whether the record is new, and record its sequence."""
        if sequence <= self.sequences_by_writer.get(writer, -1):
            return False
        self.sequences_by_writer[writer] = sequence
        self.sequences_by_writer.move_to_end(writer)
        if len(self.sequences_by_writer) > MAX_WRITERS:
            self.sequences_by_writer.popitem(last=False)
        return True

    def to_items(self):
        """Return ``(writer, sequence)`` pairs from which to construct an equal one."""
        return tuple(self.sequences_by_writer.items())


@dataclass(slots=True, frozen=True)
class Entry:
    """One envelope of a stream; those of one append share an offset."""

    offset: int
    envelope: Envelope


@dataclass(slots=True, frozen=True)
class Batch:
    """The result of one read; it never splits the envelopes of one offset."""

    stream: str
    #: Offset from which the read was made.
    from_offset: int
    entries: tuple[Entry, ...]
    #: Offset from which the next read starts; a snapshot here is as of this offset.
    next_offset: int
    #: Time at which the stream ended at ``next_offset``; None when it is known to
    #: continue.
    caught_up_s: float | None


@dataclass(slots=True, frozen=True)
class FollowStarted(Event):
    """Start following the stream."""


@dataclass(slots=True, frozen=True)
class ReadReplied(Event):
    """A read, sent at ``sent_s``, was answered."""

    sent_s: float
    reply: ReadReply


@dataclass(slots=True, frozen=True)
class ReadFailed(Event):
    """A read failed."""


@dataclass(slots=True, frozen=True)
class ReadTruncated(Event):
    """The records from the reader's position on have expired."""

    oldest: int


@dataclass(slots=True, frozen=True)
class ReadRetryDue(Event):
    """The timer set by `ReadTimerStarted` has expired."""


@dataclass(slots=True, frozen=True)
class ReadSent(Effect):
    """Read the stream from an offset."""

    from_offset: int
    wait_s: float


@dataclass(slots=True, frozen=True)
class ReadTimerStarted(Effect):
    """Send `ReadRetryDue` after a delay."""

    delay_s: float


@dataclass(slots=True, frozen=True)
class Delivered(Effect):
    """Deliver a batch to the follower."""

    batch: Batch


@dataclass(slots=True, frozen=True)
class FollowTruncated(Effect):
    """Tell the follower that its position has expired; the reader stops."""

    oldest: int


class StreamReader:
    """State of following one stream.

    Parameters
    ----------
    stream : str
    position : int
        Offset to read next.
    rng : random.Random
    sequences : WriterSequences, optional
        As of ``position``, from a snapshot.
    wait_s : float
        Seconds that a read waits for the first record.
    rechecks : bool
        Whether a reply with records is followed by a read without wait, which proves a
        later end of the stream; for streams that rarely change.
    """

    __slots__ = (
        "backoff",
        "caught_up_s",
        "duplicates",
        "malformed",
        "position",
        "rechecks",
        "sent_wait_s",
        "sequences",
        "stream",
        "wait_s",
    )

    def __init__(
        self,
        stream,
        position,
        rng,
        sequences=None,
        wait_s=READ_WAIT_S,
        rechecks=False,
    ):
        self.stream = stream
        self.position = position
        self.sequences = sequences or WriterSequences()
        self.wait_s = wait_s
        self.rechecks = rechecks
        #: Wait that the latest read asked for.
        self.sent_wait_s = wait_s
        self.backoff = Backoff(rng)
        self.caught_up_s = None
        self.malformed = 0
        self.duplicates = 0

    def send_read(self, wait_s):
        """Return the effect that reads on, waiting for records up to ``wait_s``."""
        self.sent_wait_s = wait_s
        return ReadSent(self.position, wait_s)

    def take(self, records):
        """Move past ``records`` and return the entries among them that are new."""
        entries = []
        for record in records:
            if record.offset < self.position:
                continue
            self.position = record.offset + 1
            entries.extend(self._take_one(record))
        return tuple(entries)

    def _take_one(self, record):
        try:
            envelopes = decode_record(record.data)
        except RecordError:
            self.malformed += 1
            return
        for envelope in envelopes:
            if self.sequences.accept(envelope.writer, envelope.sequence):
                yield Entry(record.offset, envelope)
            else:
                self.duplicates += 1


@reduce.register
def _(event: FollowStarted, state):
    # The first read, and the first after a failure, do not wait, since their replies
    # tell the follower of an idle stream that it has read all.
    return [state.send_read(0.0)]


@reduce.register
def _(event: ReadRetryDue, state):
    return [state.send_read(0.0)]


@reduce.register
def _(event: ReadReplied, state):
    state.backoff.reset()
    from_offset = state.position
    entries = state.take(event.reply.records)
    caught_up_s = None
    if state.position == event.reply.extent.next:
        caught_up_s = _caught_up_s(event, state.sent_wait_s)
        state.caught_up_s = caught_up_s
    batch = Batch(state.stream, from_offset, entries, state.position, caught_up_s)
    is_recheck_due = state.rechecks and event.reply.records
    wait_s = 0.0 if is_recheck_due else state.wait_s
    return [Delivered(batch), state.send_read(wait_s)]


def _caught_up_s(event, wait_s):
    """Return the latest time at which the reply certainly showed the stream's end."""
    if event.reply.records:
        return event.sent_s
    waited_s = event.sent_s + wait_s * (1 - CLOCK_RATE_ERROR)
    return waited_s if waited_s <= event.now_s else event.sent_s


@reduce.register
def _(event: ReadFailed, state):
    return [ReadTimerStarted(state.backoff.next_delay_s())]


@reduce.register
def _(event: ReadTruncated, state):
    return [FollowTruncated(event.oldest)]
