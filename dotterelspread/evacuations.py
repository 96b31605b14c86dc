"""Evacuated data centres: nothing new is started there until they are restored.

`EvacuationState` is a pure function of the ``evacuations`` stream: a request is
accepted only if its data centre has not changed since the version it is based on.
`EvacuationsInForce` adopts the highest version from the stream and from peers; it never
goes back to a lower one.
"""

import enum
import time
from collections import deque
from dataclasses import dataclass

from .evacuationrecord import CentreState, EvacuationRequested, EvacuationSnapshot
from .publication import MIN_START_ANSWERS, NO_VERSION, START_TIMEOUT_S
from .reducer import Effect, Event, reduce
from .snapshot import AppendRecord, StreamState

__all__ = [
    "STREAM",
    "CentresRead",
    "EvacuationFate",
    "EvacuationResult",
    "EvacuationState",
    "EvacuationsInForce",
    "EvacuationsOffered",
    "EvacuationsRead",
    "EvacuationsUpdated",
    "describe_centre",
    "format_time",
    "reconcile",
]

#: Stream to which operators' evacuations and restores are appended.
STREAM = "evacuations"
#: Maximum number of data centres whose state is kept, evacuated or restored.
MAX_CENTRES = 256
#: Format of times for operators.
TIME_FORMAT = "%Y-%m-%d %H:%M:%S UTC"
#: Number of recent requests whose results are kept.
MAX_RESULTS = 64


class EvacuationFate(enum.StrEnum):
    """Result of a request to evacuate or restore a data centre."""

    ACCEPTED = "accepted"
    #: The data centre was already in the requested state.
    UNCHANGED = "unchanged"
    #: Another operator has changed the data centre since the base version.
    SUPERSEDED = "superseded"
    #: `MAX_CENTRES` data centres are evacuated.
    REJECTED = "rejected"
    #: The record has expired or has not been read.
    UNKNOWN = "unknown"


@dataclass(slots=True, frozen=True)
class EvacuationResult:
    """Result of the request with an id; the same for every reader."""

    change_id: str
    fate: EvacuationFate
    #: State of the data centre after the request; None if it was never changed.
    centre: CentreState | None = None


@dataclass(slots=True, frozen=True)
class CentresRead(Effect):
    """The states of the data centres were read from the stream."""

    version: int
    centres: tuple[CentreState, ...]


class EvacuationState(StreamState):
    """The evacuations according to the stream alone, kept in a `Replica`."""

    __slots__ = ("centres_by_name", "results", "version")

    snapshot_type = EvacuationSnapshot
    # A version lost from the stream is appended again by `reconcile`.
    is_recoverable = True

    def __init__(self):
        self.version = NO_VERSION
        #: `CentreState` of each data centre, in the order of the changes. Restored ones
        #: are kept, since their version decides whether later requests are superseded.
        self.centres_by_name = {}
        self.results = deque(maxlen=MAX_RESULTS)

    def apply(self, offset, record, now_s):
        """Apply a record and return the effects."""
        if isinstance(record, EvacuationSnapshot):
            return self.restore(record, now_s) if record.version > self.version else []
        if not isinstance(record, EvacuationRequested):
            return []
        fate = self._judge(record)
        if fate is EvacuationFate.ACCEPTED:
            self._set(offset, record)
        centre = self.centres_by_name.get(record.data_centre)
        self.results.append(EvacuationResult(record.change_id, fate, centre))
        return [self._read()] if fate is EvacuationFate.ACCEPTED else []

    def result_of(self, change_id):
        """Return the `EvacuationResult` of the request with this id."""
        for result in self.results:
            if result.change_id == change_id:
                return result
        return EvacuationResult(change_id, EvacuationFate.UNKNOWN)

    def to_snapshot(self, as_of, sequences):
        """Return the `EvacuationSnapshot` of the state."""
        centres = tuple(self.centres_by_name.values())
        return EvacuationSnapshot(as_of, self.version, centres, sequences)

    def restore(self, snapshot, now_s):
        """Adopt an `EvacuationSnapshot` and return effects."""
        self.version = snapshot.version
        self.centres_by_name = {c.data_centre: c for c in snapshot.centres}
        return [self._read()]

    def _judge(self, record):
        known = self.centres_by_name.get(record.data_centre)
        if record.is_evacuated == (known is not None and known.is_evacuated):
            return EvacuationFate.UNCHANGED
        if known is not None and known.version > record.base_version:
            return EvacuationFate.SUPERSEDED
        if known is None and self._is_full():
            return EvacuationFate.REJECTED
        return EvacuationFate.ACCEPTED

    def _is_full(self):
        if len(self.centres_by_name) < MAX_CENTRES:
            return False
        return all(c.is_evacuated for c in self.centres_by_name.values())

    def _set(self, offset, record):
        self.version = offset
        self.centres_by_name.pop(record.data_centre, None)
        if len(self.centres_by_name) >= MAX_CENTRES:
            restored = (c for c in self.centres_by_name.values() if not c.is_evacuated)
            del self.centres_by_name[next(restored).data_centre]
        self.centres_by_name[record.data_centre] = CentreState(
            record.data_centre,
            record.is_evacuated,
            offset,
            record.author,
            record.requested_at,
        )

    def _read(self):
        return CentresRead(self.version, tuple(self.centres_by_name.values()))


def reconcile(replica, in_force):
    """Return the effects that append evacuations in force which the stream has lost.

    Their records may have expired before most processes read them. A `Replica` that has
    read past the version without finding it proves the loss.
    """
    has_read_past = replica.is_ready and replica.next_offset > in_force.version
    if not has_read_past or in_force.version <= replica.state.version:
        return []
    centres = tuple(in_force.centres_by_name.values())
    sequences = replica.sequences.to_items()
    record = EvacuationSnapshot(
        replica.next_offset, in_force.version, centres, sequences
    )
    return [AppendRecord(STREAM, record)]


@dataclass(slots=True, frozen=True)
class EvacuationsRead(Event):
    """Evacuations were read from the stream (see `CentresRead`)."""

    version: int
    centres: tuple[CentreState, ...]


@dataclass(slots=True, frozen=True)
class EvacuationsOffered(Event):
    """A peer answered with the evacuations that it knows."""

    version: int
    centres: tuple[CentreState, ...]


@dataclass(slots=True, frozen=True)
class EvacuationsUpdated(Effect):
    """The evacuated data centres have changed in this process."""

    #: Names of all evacuated data centres.
    names: frozenset[str]


class EvacuationsInForce:
    """The evacuations in force in one process; their version never decreases.

    Parameters
    ----------
    started_s : float
        Start time of the process.
    """

    __slots__ = ("centres_by_name", "answers", "names", "started_s", "version")

    def __init__(self, started_s):
        self.version = NO_VERSION
        self.centres_by_name = {}
        #: Names of the evacuated data centres.
        self.names = frozenset()
        self.started_s = started_s
        #: Number of answers from peers since the start.
        self.answers = 0

    def is_known(self, now_s, is_log_read):
        """Tell whether the process may start work according to these evacuations.

        Until it has read the stream to its end, it waits for answers from several
        peers, since a single peer may have an outdated version.
        """
        is_timed_out = now_s - self.started_s >= START_TIMEOUT_S
        return is_log_read or is_timed_out or self.answers >= MIN_START_ANSWERS

    def put(self, version, centres):
        """Adopt the states of the data centres and return the effects."""
        self.version = version
        self.centres_by_name = {c.data_centre: c for c in centres}
        names = frozenset(c.data_centre for c in centres if c.is_evacuated)
        if names == self.names:
            return []
        self.names = names
        return [EvacuationsUpdated(names)]

    def describe(self, data_centre):
        """Return why nothing is started in a data centre; empty if it may be."""
        centre = self.centres_by_name.get(data_centre)
        if centre is None or not centre.is_evacuated:
            return ""
        return describe_centre(centre)


def describe_centre(centre):
    """Return a sentence part on the state of a data centre: what, who and when."""
    state = "evacuated" if centre.is_evacuated else "restored"
    return (
        f"data centre {centre.data_centre} was {state} by {centre.author} "
        f"at {format_time(centre.changed_at)} (version {centre.version})"
    )


def format_time(unix_s):
    """Return a Unix time as text, in UTC."""
    return time.strftime(TIME_FORMAT, time.gmtime(unix_s))


@reduce.register
def _(event: EvacuationsRead, state):
    # Two requests in one append have the same version.
    if event.version < state.version:
        return []
    return state.put(event.version, event.centres)


@reduce.register
def _(event: EvacuationsOffered, state):
    state.answers += 1
    if event.version <= state.version:
        return []
    return state.put(event.version, event.centres)
