"""Replicated state derived from one stream, preserved past the log's retention.

A `Replica` reads the stream from its start, or from the first usable snapshot in it, or
from a snapshot that a peer transfers; and appends a snapshot well before the last one
expires. When records expire that no process has read, as in an outage longer than the
retention, a recoverable state continues without them. A `StreamState` defines how
records change the state.
"""

import math
from dataclasses import dataclass

from .backoff import suppression_delay_s
from .record import Envelope, Record, RecordError, decode_record, encode_record
from .reducer import Effect, Event, reduce
from .stream import Batch, WriterSequences

__all__ = [
    "AppendRecord",
    "QueryState",
    "Replica",
    "ReplicaRead",
    "ReplicaStarted",
    "ReplicaTicked",
    "ReplicaTruncated",
    "StateOffered",
    "StreamState",
    "decode_state",
    "encode_state",
]

#: Fraction of the retention after which a snapshot is due.
SNAPSHOT_DUE_RATIO = 1 / 3
#: Seconds after which a snapshot that was appended but not read back is retried.
SNAPSHOT_RETRY_S = 30.0
#: Seconds that replicas lacking expired records wait for one that has read them.
RECOVERY_DELAY_S = 30.0
#: Maximum seconds since the stream was read to its end for a snapshot to be made.
CAUGHT_UP_MAX_AGE_S = 10.0


def encode_state(snapshot):
    """Return a snapshot record encoded for transfer to a peer."""
    return encode_record((Envelope(0, 0, snapshot),))


def decode_state(data):
    """Return the snapshot record received from a peer.

    Raises
    ------
    RecordError
        When the bytes are not one record with an ``as_of``.
    """
    envelopes = decode_record(data)
    if len(envelopes) != 1 or not hasattr(envelopes[0].record, "as_of"):
        raise RecordError("expected exactly one snapshot record")
    return envelopes[0].record


class StreamState:
    """Base class of the states that a `Replica` maintains."""

    #: Type of the state's snapshot record, which has ``as_of`` and ``sequences``.
    snapshot_type = None
    #: Whether the state may continue without expired records that no process has read.
    is_recoverable = False

    def apply(self, offset, record, now_s):
        """Change the state by one record and return effects.

        The state must depend on the offsets and records only; effects may use the time.
        """
        raise NotImplementedError

    def to_snapshot(self, as_of, sequences):
        """Return the snapshot record of the state."""
        raise NotImplementedError

    def restore(self, snapshot, now_s):
        """Restore the state from ``snapshot`` and return effects."""
        raise NotImplementedError


@dataclass(slots=True, frozen=True)
class ReplicaStarted(Event):
    """The process starts."""


@dataclass(slots=True, frozen=True)
class ReplicaRead(Event):
    """A batch of the stream was read."""

    batch: Batch


@dataclass(slots=True, frozen=True)
class ReplicaTruncated(Event):
    """The records at the replica's position have expired."""

    oldest: int


@dataclass(slots=True, frozen=True)
class StateOffered(Event):
    """A peer transferred a snapshot."""

    snapshot: Record


@dataclass(slots=True, frozen=True)
class ReplicaTicked(Event):
    """Time has passed; sent about once a second."""


@dataclass(slots=True, frozen=True)
class AppendRecord(Effect):
    """Append a record to a stream, retrying until it is written."""

    stream: str
    record: Record


@dataclass(slots=True, frozen=True)
class QueryState(Effect):
    """Query peers for a snapshot of the stream's state."""

    stream: str


class Replica:
    """The state of one stream in one process.

    Parameters
    ----------
    stream : str
    make_state : callable
        Returns an empty `StreamState`.
    retention_s : float
        Minimum seconds for which the log retains a record.
    rng : random.Random
    """

    __slots__ = (
        "caught_up_s",
        "is_complete",
        "is_stale",
        "make_state",
        "next_offset",
        "retention_s",
        "rng",
        "searched_from",
        "sequences",
        "snapshot_at_s",
        "snapshot_s",
        "state",
        "stream",
        "truncated_s",
    )

    def __init__(self, stream, make_state, retention_s, rng):
        self.stream = stream
        self.make_state = make_state
        self.retention_s = retention_s
        self.rng = rng
        self.state = make_state()
        self.next_offset = 0
        self.sequences = WriterSequences()
        #: True once the state reflects every record before ``next_offset``.
        self.is_complete = False
        #: True when the state was complete before and now lacks records.
        self.is_stale = False
        #: Last time at which the stream was read to its end.
        self.caught_up_s = None
        self.searched_from = 0
        self.truncated_s = -math.inf
        #: When the last snapshot was read, and when the next is to be appended.
        self.snapshot_s = -math.inf
        self.snapshot_at_s = None

    @property
    def is_ready(self):
        """Whether the state has ever been complete up to the stream's end."""
        return self.is_complete and self.caught_up_s is not None

    def to_snapshot(self):
        """Return the snapshot record of the state now, or None when incomplete."""
        return self.make_snapshot() if self.is_complete else None

    def make_snapshot(self):
        """Return the snapshot record of the state, even if it is stale."""
        return self.state.to_snapshot(self.next_offset, self.sequences.to_items())

    def move(self, offset, sequences):
        """Continue from ``offset``; followers detect it by the new ``sequences``."""
        self.next_offset = offset
        self.sequences = sequences

    def adopt(self, snapshot, now_s):
        """Replace the state with that in ``snapshot`` and return effects."""
        self.state = self.make_state()
        self.is_complete = True
        self.is_stale = False
        self.move(snapshot.as_of, WriterSequences(snapshot.sequences))
        return self.state.restore(snapshot, now_s)

    def is_usable(self, record):
        """Tell whether ``record`` is a snapshot after which nothing has expired."""
        if type(record) is not self.state.snapshot_type:
            return False
        return record.as_of >= self.searched_from

    def search(self, batch, now_s):
        """Look for a usable snapshot in ``batch`` and return effects."""
        for entry in batch.entries:
            if self.is_usable(entry.envelope.record):
                self.snapshot_s = now_s
                return self.adopt(entry.envelope.record, now_s)
        return []

    def apply(self, batch, now_s):
        """Apply the records of ``batch`` and return effects."""
        effects = []
        for entry in batch.entries:
            record = entry.envelope.record
            effects += self.state.apply(entry.offset, record, now_s)
            if type(record) is self.state.snapshot_type:
                self.snapshot_s = now_s
                self.snapshot_at_s = None
        return effects

    def is_snapshot_due(self, now_s):
        """Tell whether a snapshot should be appended by one of the members."""
        if self.caught_up_s is None or self.next_offset == 0:
            return False
        if now_s - self.caught_up_s > CAUGHT_UP_MAX_AGE_S:
            return False
        if self.is_complete:
            return now_s - self.snapshot_s > self.retention_s * SNAPSHOT_DUE_RATIO
        return self.is_stale and now_s - self.truncated_s > RECOVERY_DELAY_S


@reduce.register
def _(event: ReplicaStarted, state):
    return [QueryState(state.stream)]


@reduce.register
def _(event: ReplicaRead, state):
    batch = event.batch
    if batch.from_offset != state.next_offset:
        return []
    if not state.is_complete and batch.from_offset == 0:
        state.is_complete = True
    if not state.is_complete:
        effects = state.search(batch, event.now_s)
        if state.is_complete:
            return effects
    else:
        effects = state.apply(batch, event.now_s)
    state.next_offset = batch.next_offset
    if batch.caught_up_s is not None:
        state.caught_up_s = batch.caught_up_s
    return effects


@reduce.register
def _(event: ReplicaTruncated, state):
    if state.is_complete and state.state.is_recoverable:
        state.is_stale = True
    state.is_complete = False
    state.caught_up_s = None
    state.truncated_s = event.now_s
    state.searched_from = event.oldest
    state.snapshot_at_s = None
    state.move(event.oldest, WriterSequences())
    return [QueryState(state.stream)]


@reduce.register
def _(event: StateOffered, state):
    if state.is_complete or not state.is_usable(event.snapshot):
        return []
    return state.adopt(event.snapshot, event.now_s)


@reduce.register
def _(event: ReplicaTicked, state):
    if not state.is_snapshot_due(event.now_s):
        state.snapshot_at_s = None
        return []
    if state.snapshot_at_s is None:
        state.snapshot_at_s = event.now_s + suppression_delay_s(state.rng)
    if event.now_s < state.snapshot_at_s:
        return []
    state.snapshot_at_s = event.now_s + SNAPSHOT_RETRY_S
    return [AppendRecord(state.stream, state.make_snapshot())]
