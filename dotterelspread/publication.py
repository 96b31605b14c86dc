"""Which configuration is in force: published through the log, passed between peers.

`PublicationState` is a pure function of the ``configuration`` stream: a configuration
is accepted only when it names the accepted one before it as its base and its text can
be read. `ConfigurationInForce` takes the highest version of what the stream and peers
say, and only goes up.
"""

import enum
from collections import deque
from dataclasses import dataclass

from .configuration import Configuration
from .record import ConfigurationPublished, ConfigurationSnapshot
from .reducer import Effect, Event, reduce
from .snapshot import AppendRecord, StreamState

__all__ = [
    "NO_VERSION",
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

#: Name of the stream of configurations.
STREAM = "configuration"
#: Version when there is no configuration.
NO_VERSION = -1
#: Publications of which the fate is remembered.
MAX_RESULTS = 64
#: Answers from peers, or seconds, that a start waits for while the log is not read.
START_ANSWERS = 3
START_WAIT_S = 3.0


@dataclass(slots=True, frozen=True)
class Version:
    """An accepted configuration."""

    #: Offset at which it was published.
    number: int
    author: str
    text: str
    #: None when only an earlier or later release can read the text.
    configuration: Configuration | None


class PublicationFate(enum.Enum):
    """What became of a publication."""

    ACCEPTED = "accepted"
    SUPERSEDED = "superseded"
    INVALID = "invalid"
    #: Its record has expired or was not read yet.
    UNKNOWN = "unknown"


@dataclass(slots=True, frozen=True)
class PublicationResult:
    """What became of the publication at an offset, as every reader judges it."""

    offset: int
    fate: PublicationFate
    #: Version that was accepted when the publication was judged.
    accepted: int
    detail: str = ""


@dataclass(slots=True, frozen=True)
class VersionRead(Effect):
    """The stream says that a configuration is accepted."""

    version: Version


class PublicationState(StreamState):
    """The accepted configuration by the stream alone; keep it in a `Replica`.

    Parameters
    ----------
    parse : callable
        Takes a text and a name for it and returns a `Configuration`; must depend on
        the text only, so that every reader agrees.
    parse_error : type
        What ``parse`` raises when the text cannot be read.
    """

    __slots__ = ("accepted", "parse", "parse_error", "results")

    snapshot_type = ConfigurationSnapshot
    # A process with a later version in force appends it (`reconcile`).
    is_recoverable = True

    def __init__(self, parse, parse_error):
        self.parse = parse
        self.parse_error = parse_error
        self.accepted = None
        self.results = deque(maxlen=MAX_RESULTS)

    @property
    def number(self):
        """Version accepted, or `NO_VERSION`."""
        return NO_VERSION if self.accepted is None else self.accepted.number

    def apply(self, offset, record, now_s):
        """Judge one record and return effects."""
        if isinstance(record, ConfigurationSnapshot):
            return self.restore(record, now_s) if record.version > self.number else []
        if not isinstance(record, ConfigurationPublished):
            return []
        if record.base_offset != self.number or offset <= self.number:
            detail = f"based on {record.base_offset}, but {self.number} was accepted"
            self._note(offset, PublicationFate.SUPERSEDED, detail)
            return []
        try:
            configuration = self.parse(record.text, f"{STREAM}@{offset}")
        except self.parse_error as error:
            self._note(offset, PublicationFate.INVALID, str(error))
            return []
        self.accepted = Version(offset, record.author, record.text, configuration)
        self._note(offset, PublicationFate.ACCEPTED, "")
        return [VersionRead(self.accepted)]

    def result_at(self, offset):
        """Return the `PublicationResult` of what was published at ``offset``."""
        for result in self.results:
            if result.offset == offset:
                return result
        return PublicationResult(offset, PublicationFate.UNKNOWN, self.number)

    def to_snapshot(self, as_of, sequences):
        """Return the `ConfigurationSnapshot` of the accepted configuration."""
        return _to_snapshot(self.accepted, as_of, sequences)

    def restore(self, snapshot, now_s):
        """Take the configuration in a `ConfigurationSnapshot` and return effects."""
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

    def _note(self, offset, fate, detail):
        self.results.append(PublicationResult(offset, fate, self.number, detail))


def _to_snapshot(version, as_of, sequences):
    if version is None:
        return ConfigurationSnapshot(as_of, NO_VERSION, "", "", sequences)
    return ConfigurationSnapshot(
        as_of, version.number, version.author, version.text, sequences
    )


def reconcile(replica, in_force):
    """Return the effects that tell the stream of a version that it lost.

    Records that expired before most had read them may have held the version that is
    in force here; a `Replica` that is past its offset without it proves the loss.
    """
    is_past = replica.is_ready and replica.next_offset > in_force.number
    if not is_past or in_force.number <= replica.state.number:
        return []
    sequences = replica.sequences.to_items()
    record = _to_snapshot(in_force.version, replica.next_offset, sequences)
    return [AppendRecord(STREAM, record)]


@dataclass(slots=True, frozen=True)
class ConfigurationAccepted(Event):
    """The stream says that a configuration is accepted (`VersionRead`)."""

    version: Version


@dataclass(slots=True, frozen=True)
class ConfigurationReceived(Event):
    """A peer answered with the configuration that it has in force.

    The number is `NO_VERSION` when it has none above the one asked for.
    """

    number: int
    text: str = ""


@dataclass(slots=True, frozen=True)
class ConfigurationChanged(Effect):
    """A later configuration is in force."""

    version: Version


class ConfigurationInForce:
    """The configuration of one process; its version only goes up.

    Parameters
    ----------
    parse, parse_error
        As for `PublicationState`.
    started_s : float
        When the process started.
    """

    __slots__ = ("answers", "faults", "parse", "parse_error", "started_s", "version")

    def __init__(self, parse, parse_error, started_s):
        self.parse = parse
        self.parse_error = parse_error
        self.started_s = started_s
        self.version = None
        #: Answers from peers since the start.
        self.answers = 0
        #: Configurations from peers that could not be read.
        self.faults = 0

    @property
    def number(self):
        """Version in force, or `NO_VERSION`."""
        return NO_VERSION if self.version is None else self.version.number

    def is_ready(self, now_s, is_log_read):
        """Tell whether the process may serve.

        Before it has read the stream to its end, it waits for the answers of several
        peers, since a single one may be behind.
        """
        if self.version is None:
            return False
        is_waited = now_s - self.started_s >= START_WAIT_S
        return is_log_read or is_waited or self.answers >= START_ANSWERS

    def put(self, version):
        """Put a version in force unless it is older, and return effects."""
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
