"""State of an entry: its open requests, the known instances and the claims."""

import enum
import random
from collections import OrderedDict
from dataclasses import dataclass, field

from .configuration import Configuration, KindConfig, Urgency
from .linkbudget import LinkBudget
from .record import RequestSettled
from .requestclaim import CLAIM_STREAM_COUNT, ClaimTable, claim_stream
from .retry import RetryBudget

__all__ = [
    "Attempt",
    "AttemptState",
    "EntryLocation",
    "EntryState",
    "PendingSettlement",
    "Request",
]

#: Maximum number of settlements not yet read back from the log; the oldest are dropped.
MAX_SETTLEMENTS = 10_000
#: Maximum number of abandoned claims that may still appear in the log.
MAX_ABANDONED_CLAIMS = 10_000


class AttemptState(enum.Enum):
    """State of one attempt."""

    SENT = enum.auto()
    #: The connection may have failed; the instance is queried for the outcome.
    QUERYING = enum.auto()
    NOT_RUN = enum.auto()
    UNKNOWN = enum.auto()


@dataclass(slots=True, frozen=True)
class EntryLocation:
    """Id, data centre and region of an entry."""

    entry_id: str
    data_centre: str
    region: str


@dataclass(slots=True)
class Attempt:
    """One attempt to run a request at an instance."""

    number: int
    instance_id: str
    incarnation: int
    sent_s: float
    #: When the instance is queried next if no answer has arrived.
    query_due_s: float
    state: AttemptState = AttemptState.SENT

    @property
    def is_open(self):
        """Whether an answer may still arrive."""
        return self.state in (AttemptState.SENT, AttemptState.QUERYING)


@dataclass(slots=True)
class Request:
    """A caller's request that has not been answered."""

    request_id: str
    service_name: str
    kind: KindConfig
    deadline_s: float
    key: str | None
    fingerprint: bytes
    size_bytes: int
    body: object
    urgency: Urgency = Urgency.NORMAL
    attempts: list = field(default_factory=list)
    #: Outcome of the latest refused attempt.
    refused: object = None
    #: Data centres whose instances refused the request as evacuated.
    evacuated_names: set = field(default_factory=set)
    #: Attempt number of its own claim that is being appended; None when there is none.
    claiming_attempt: int | None = None
    #: When the append of the claim is retried; None unless it is proved absent.
    append_due_s: float | None = None
    #: Record of the claim that is being appended.
    claim: object = None
    #: When the instance of another request's claim is queried; None when not following.
    follow_due_s: float | None = None

    @property
    def tried_ids(self):
        """Ids of the instances that the request was sent to."""
        return {attempt.instance_id for attempt in self.attempts}

    def find_attempt(self, number):
        """Return the attempt with the given number, or None."""
        return next((a for a in self.attempts if a.number == number), None)


@dataclass(slots=True)
class PendingSettlement:
    """A settlement that has not been read back from the log."""

    record: RequestSettled
    #: When the append is retried; None unless the record is proved absent.
    append_due_s: float | None = None


@dataclass(slots=True)
class EntryState:
    """State that the request handling of an entry depends on."""

    location: EntryLocation
    incarnation: int
    rng: random.Random
    #: Unix time minus monotonic time, in seconds.
    unix_offset_s: float = 0.0
    configuration: Configuration | None = None
    #: Names of the evacuated data centres, whose instances get no requests.
    evacuated_names: frozenset = frozenset()
    instances_by_id: dict = field(default_factory=dict)
    requests_by_id: dict = field(default_factory=dict)
    #: Ids of the open keyed requests, by service and key.
    ids_by_key: dict = field(default_factory=dict)
    tables_by_stream: dict = field(default_factory=dict)
    #: Claimed attempt of each abandoned request, by request id; never sent.
    abandoned_ids: OrderedDict = field(default_factory=OrderedDict)
    #: Settlements not yet read back from the log, by request id.
    settlements_by_id: OrderedDict = field(default_factory=OrderedDict)
    retries: RetryBudget = field(default_factory=RetryBudget)
    link: LinkBudget = field(default_factory=lambda: LinkBudget.from_entries(1))

    @classmethod
    def from_config(cls, location, incarnation, seed, unix_offset_s=0.0, entries=1):
        """Return the initial state of an entry, before any claim is read."""
        state = cls(location, incarnation, random.Random(seed), unix_offset_s)
        state.link = LinkBudget.from_entries(entries)
        for number in range(CLAIM_STREAM_COUNT):
            state.tables_by_stream[f"claims.{number}"] = ClaimTable()
        return state

    def table(self, request):
        """Return the claim table that covers a request's key."""
        return self.tables_by_stream[claim_stream(request.service_name, request.key)]

    def abandon(self, request_id, attempt):
        """Mark the claim of an attempt so that it is never sent."""
        self.abandoned_ids[request_id] = attempt
        while len(self.abandoned_ids) > MAX_ABANDONED_CLAIMS:
            self.abandoned_ids.popitem(last=False)

    def note_settlement(self, record):
        """Keep a settlement until it is read back from the log."""
        self.settlements_by_id[record.request_id] = PendingSettlement(record)
        while len(self.settlements_by_id) > MAX_SETTLEMENTS:
            self.settlements_by_id.popitem(last=False)
