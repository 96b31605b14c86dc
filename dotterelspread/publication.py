"""Configuration versions: published through the log, and exchanged between peers.

`PublicationState` is a pure function of the ``configuration`` stream: a publication is
accepted only when its base is the latest accepted version and its text can be parsed.
`ConfigurationInForce` adopts the highest version from the stream and from peers; it
never goes back to a lower one.
"""

import enum
from collections import deque
from dataclasses import dataclass

from .configuration import Configuration
from .record import ConfigurationPublished, ConfigurationSnapshot
from .reducer import Effect, Event, reduce
from .snapshot import AppendRecord, StreamState

__all__ = [
    "MIN_START_ANSWERS",
    "NO_VERSION",
    "START_TIMEOUT_S",
    "STREAM",
    "ConfigurationAccepted",
    "ConfigurationChanged",
    "ConfigurationInForce",
    "ConfigurationReceived",
    "PublicationFate",
    "PublicationResult",
    "PublicationState",
    "Version",
    "VersionRead",
    "reconcile",
]

#: Stream to which configurations are published.
STREAM = "configuration"
#: Version when there is no configuration.
NO_VERSION = -1
#: Number of recent publications whose results are kept.
MAX_RESULTS = 64
#: Until a starting process has read the log to its end, it waits for this many answers
#: from peers, but no longer than the timeout.
MIN_START_ANSWERS = 3
START_TIMEOUT_S = 3.0


@dataclass(slots=True, frozen=True)
class Version:
    """An accepted configuration."""

    #: Offset of its record in the stream.
    number: int
    author: str
    text: str
    #: None when this release can't parse the text, which another release wrote.
    configuration: Configuration | None


class PublicationFate(enum.Enum):
    """Result of a publication."""

    ACCEPTED = "accepted"
    SUPERSEDED = "superseded"
    INVALID = "invalid"
    #: The record has expired or has not been read.
    UNKNOWN = "unknown"


@dataclass(slots=True, frozen=True)
class PublicationResult:
    """Result of the publication at an offset; the same for every reader."""

    offset: int
    fate: PublicationFate
    #: Latest accepted version after the publication was processed.
    accepted: int
    detail: str = ""


@dataclass(slots=True, frozen=True)
class VersionRead(Effect):
    """An accepted configuration was read from the stream."""

    version: Version


class PublicationState(StreamState):
    """The accepted configuration according to the stream alone, kept in a `Replica`.

    Parameters
    ----------
    parse : callable
        Takes a text and a name for it, and returns a `Configuration`. Its result must
        depend on the text only, so that all readers accept the same publications.
    parse_error : type
        What ``parse`` raises when the text is invalid.
    """

    __slots__ = ("accepted", "parse", "parse_error", "results")

    snapshot_type = ConfigurationSnapshot
    # A version lost from the stream is appended again by `reconcile`.
    is_recoverable = True

    def __init__(self, parse, parse_error):
        self.parse = parse
        self.parse_error = parse_error
        self.accepted = None
        self.results = deque(maxlen=MAX_RESULTS)

    @property
    def number(self):
        """Latest accepted version, or `NO_VERSION`."""
        return NO_VERSION if self.accepted is None else self.accepted.number

    def apply(self, offset, record, now_s):
        """Apply a record and return the effects."""
        if isinstance(record, ConfigurationSnapshot):
            return self.restore(record, now_s) if record.version > self.number else []
        if not isinstance(record, ConfigurationPublished):
            return []
        if record.base_offset != self.number or offset <= self.number:
            detail = f"based on {record.base_offset}, but {self.number} was accepted"
            self._record_result(offset, PublicationFate.SUPERSEDED, detail)
            return []
        try:
            configuration = self.parse(record.text, f"{STREAM}@{offset}")
        except self.parse_error as error:
            self._record_result(offset, PublicationFate.INVALID, str(error))
            return []
        self.accepted = Version(offset, record.author, record.text, configuration)
        self._record_result(offset, PublicationFate.ACCEPTED, "")
        return [VersionRead(self.accepted)]

    def result_at(self, offset):
        """Return the `PublicationResult` of the record at ``offset``."""
        for result in self.results:
            if result.offset == offset:
                return result
        return PublicationResult(offset, PublicationFate.UNKNOWN, self.number)

    def to_snapshot(self, as_of, sequences):
        """Return the `ConfigurationSnapshot` of the accepted configuration."""
        return _to_snapshot(self.accepted, as_of, sequences)

    def restore(self, snapshot, now_s):
        """Adopt the configuration in a `ConfigurationSnapshot` and return effects."""
        if snapshot.version == NO_VERSION:
            return []
        name = f"{STREAM}@{snapshot.version}"
        try:
            configuration = self.parse(snapshot.text, name)
        except self.parse_error:
            configuration = None
        self.accepted = Version(
            snapshot.version, snapshot.author, snapshot.text, configuration
        )
        return [] if configuration is None else [VersionRead(self.accepted)]

    def _record_result(self, offset, fate, detail):
        self.results.append(PublicationResult(offset, fate, self.number, detail))


def _to_snapshot(version, as_of, sequences):
    if version is None:
        return ConfigurationSnapshot(as_of, NO_VERSION, "", "", sequences)
    return ConfigurationSnapshot(
        as_of, version.number, version.author, version.text, sequences
    )


def reconcile(replica, in_force):
    """Return the effects that append a version in force which the stream has lost.

    The record of the version may have expired before most processes read it. A
    `Replica` that has read past its offset without finding it proves the loss.
    """
    has_read_past = replica.is_ready and replica.next_offset > in_force.number
    if not has_read_past or in_force.number <= replica.state.number:
        return []
    sequences = replica.sequences.to_items()
    record = _to_snapshot(in_force.version, replica.next_offset, sequences)
    return [AppendRecord(STREAM, record)]


@dataclass(slots=True, frozen=True)
class ConfigurationAccepted(Event):
    """An accepted configuration was read from the stream (see `VersionRead`)."""

    version: Version


@dataclass(slots=True, frozen=True)
class ConfigurationReceived(Event):
    """A peer answered with its configuration in force.

    The number is `NO_VERSION` when the peer has none later than the version in the
    query.
    """

    number: int
    text: str = ""


@dataclass(slots=True, frozen=True)
class ConfigurationChanged(Effect):
    """A later configuration has come into force."""

    version: Version


class ConfigurationInForce:
    """The configuration in force in one process; its version never decreases.

    Parameters
    ----------
    parse, parse_error
        As for `PublicationState`.
    started_s : float
        Start time of the process.
    """

    __slots__ = ("answers", "faults", "parse", "parse_error", "started_s", "version")

    def __init__(self, parse, parse_error, started_s):
        self.parse = parse
        self.parse_error = parse_error
        self.started_s = started_s
        self.version = None
        #: Number of answers from peers since the start.
        self.answers = 0
        #: Number of configurations from peers that could not be parsed.
        self.faults = 0

    @property
    def number(self):
        """Version in force, or `NO_VERSION`."""
        return NO_VERSION if self.version is None else self.version.number

    def is_ready(self, now_s, is_log_read):
        """Tell whether the process may serve requests.

        Until it has read the stream to its end, it waits for answers from several
        peers, since a single peer may have an outdated version.
        """
        if self.version is None:
            return False
        is_timed_out = now_s - self.started_s >= START_TIMEOUT_S
        return is_log_read or is_timed_out or self.answers >= MIN_START_ANSWERS

    def put(self, version):
        """Adopt a version later than the one in force, and return the effects."""
        if version.number <= self.number:
            return []
        self.version = version
        return [ConfigurationChanged(version)]


@reduce.register
def _(event: ConfigurationAccepted, state):
    return state.put(event.version)


@reduce.register
def _(event: ConfigurationReceived, state):
    state.answers += 1
    if event.number <= state.number:
        return []
    try:
        configuration = state.parse(event.text, f"{STREAM}@{event.number}")
    except state.parse_error:
        state.faults += 1
        return []
    return state.put(Version(event.number, "", event.text, configuration))
