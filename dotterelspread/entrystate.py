"""What an entry knows of its requests, of the instances and of the claims."""

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

#: Most settlements that wait to be read back.
MAX_SETTLEMENTS = 10_000
#: Most requests given up whose claims may still surface in the log.
MAX_ABANDONED_CLAIMS = 10_000


class AttemptState(enum.Enum):
    """What is known of one attempt."""

    SENT = enum.auto()
    #: The connection is suspected; the instance is being asked.
    QUERYING = enum.auto()
    NOT_RUN = enum.auto()
    UNKNOWN = enum.auto()


@dataclass(slots=True, frozen=True)
class EntryLocation:
    """Who and where an entry is."""

    entry_id: str
    data_centre: str
    region: str


@dataclass(slots=True)
class Attempt:
    """One sending of a request to an instance."""

    number: int
    instance_id: str
    incarnation: int
    sent_s: float
    #: When the instance is asked next unless an answer comes before.
    query_due_s: float
    state: AttemptState = AttemptState.SENT

    @property
    def is_open(self):
        """Whether an answer may still come."""
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
    #: Attempt that its own claim in the log is for; None when none is awaited.
    claiming_attempt: int | None = None
    #: When the claim is appended again; None unless it is proved to be absent.
    append_due_s: float | None = None
    #: Record of the claim that is awaited.
    claim: object = None
    #: When the instance of another's claim is asked; None when not following one.
    follow_due_s: float | None = None

    @property
    def tried_ids(self):
        """Ids of the instances that it was sent to."""
        return {attempt.instance_id for attempt in self.attempts}

    def find_attempt(self, number):
        """Return the attempt with a number; None when there is none."""
        return next((a for a in self.attempts if a.number == number), None)


@dataclass(slots=True)
class PendingSettlement:
    """The settlement of a claim on its way into the log."""

    record: RequestSettled
    #: When it is appended again; None unless it is proved to be absent.
    append_due_s: float | None = None


@dataclass(slots=True)
class EntryState:
    """All that an entry's decisions on requests depend on."""

    location: EntryLocation
    incarnation: int
    rng: random.Random
    #: Unix time minus monotonic time, in seconds.
    unix_offset_s: float = 0.0
    configuration: Configuration | None = None
    instances_by_id: dict = field(default_factory=dict)
    requests_by_id: dict = field(default_factory=dict)
    #: Ids of the keyed requests here, by service and key.
    ids_by_key: dict = field(default_factory=dict)
    tables_by_stream: dict = field(default_factory=dict)
    #: Attempt claimed by each request that was given up, by id; never to be sent.
    abandoned_ids: OrderedDict = field(default_factory=OrderedDict)
    #: Settlements that have not been read back, by request id.
    settlements_by_id: OrderedDict = field(default_factory=OrderedDict)
    retries: RetryBudget = field(default_factory=RetryBudget)
    link: LinkBudget = field(default_factory=lambda: LinkBudget.from_entries(1))

    @classmethod
    def from_config(cls, location, incarnation, seed, unix_offset_s=0.0, entries=1):
        """Return the state of an entry that starts and has read nothing."""
        state = cls(location, incarnation, random.Random(seed), unix_offset_s)
        state.link = LinkBudget.from_entries(entries)
        for number in range(CLAIM_STREAM_COUNT):
            state.tables_by_stream[f"claims.{number}"] = ClaimTable()
        return state

    def table(self, request):
        """Return the claim table of a request's key."""
        return self.tables_by_stream[claim_stream(request.service_name, request.key)]

    def abandon(self, request_id, attempt):
        """Remember that the claim of an attempt must never be acted on."""
        self.abandoned_ids[request_id] = attempt
        while len(self.abandoned_ids) > MAX_ABANDONED_CLAIMS:
            self.abandoned_ids.popitem(last=False)

    def note_settlement(self, record):
        """Remember a settlement until it is read back."""
        self.settlements_by_id[record.request_id] = PendingSettlement(record)
        while len(self.settlements_by_id) > MAX_SETTLEMENTS:
            self.settlements_by_id.popitem(last=False)
