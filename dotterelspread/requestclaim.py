"""Claims on the idempotency keys of non-idempotent requests, ordered by the log.

An entry claims a request's key for one instance before it sends the request there. For
each key and attempt the claim with the lowest offset wins, so that all readers of the
stream agree on the current claim.
"""

from collections import OrderedDict, deque
from dataclasses import dataclass
from functools import singledispatchmethod
from hashlib import blake2b
from statistics import median_low

from .outcome import Completed, Failed, Refused, Unknown
from .record import ClaimsSnapshot, ClaimState, RequestClaimed, RequestSettled

__all__ = ["Claim", "ClaimTable", "claim_stream", "settled_record"]

#: Number of streams over which the keys are partitioned.
CLAIM_STREAM_COUNT = 8
#: Seconds for which a claim is retained.
CLAIM_RETENTION_S = 24 * 3600
#: Number of recent claims; the median of their times is the stream's clock.
CLOCK_CLAIM_COUNT = 9
#: Largest response body that is stored in the log, in bytes.
MAX_SETTLED_BODY_BYTES = 16 * 2**10

COMPLETED = "completed"
FAILED = "failed"
REFUSED = "refused"


def claim_stream(service, key):
    """Return the name of the stream that holds the claims of a key."""
    digest = blake2b(f"{service}\0{key}".encode(), digest_size=8).digest()
    return f"claims.{int.from_bytes(digest) % CLAIM_STREAM_COUNT}"


def settled_record(claim, outcome):
    """Return the record that settles a claim; None when the outcome is unknown."""
    ids = (claim.service, claim.key, claim.request_id)
    if isinstance(outcome, Completed):
        is_large = len(outcome.body) > MAX_SETTLED_BODY_BYTES
        return RequestSettled(
            *ids,
            COMPLETED,
            status=outcome.status,
            headers=tuple(outcome.headers),
            body=b"" if is_large else outcome.body,
            attempt=claim.attempt,
            body_at_instance=is_large,
        )
    if isinstance(outcome, Failed):
        return RequestSettled(
            *ids, FAILED, detail=outcome.detail, attempt=claim.attempt
        )
    if isinstance(outcome, Refused):
        return RequestSettled(
            *ids, REFUSED, detail=outcome.detail, attempt=claim.attempt
        )
    return None


@dataclass(slots=True)
class Claim:
    """The current claim of a key, with the outcome of its request."""

    record: RequestClaimed
    settled: RequestSettled | None = None

    @property
    def was_not_run(self):
        """Whether the claim is settled with the request not executed."""
        return self.settled is not None and self.settled.outcome == REFUSED

    @property
    def outcome(self):
        """The settled outcome; None when the log does not contain it."""
        settled = self.settled
        if settled is None or self.was_not_run or settled.body_at_instance:
            return None
        if settled.outcome == COMPLETED:
            return Completed(settled.status, settled.headers, settled.body)
        if settled.outcome == FAILED:
            return Failed(settled.detail)
        return Unknown(
            f"claim settled with the unrecognised outcome {settled.outcome!r}"
        )


class ClaimTable:
    """The claims of one stream, built from the records of the log.

    Parameters
    ----------
    first_offset : int
        Offset of the oldest record in the log. If it is above zero, the table is
        incomplete until a snapshot is read.
    """

    __slots__ = (
        "claims_by_key",
        "clock_s",
        "first_offset",
        "is_complete",
        "offset",
        "pending",
        "times",
    )

    def __init__(self, first_offset=0):
        self.claims_by_key = OrderedDict()
        self.clock_s = 0
        self.times = deque(maxlen=CLOCK_CLAIM_COUNT)
        self.offset = -1
        self.first_offset = first_offset
        self.is_complete = first_offset <= 0
        #: Records read while the table is incomplete, with their offsets.
        self.pending = []

    def find(self, service, key):
        """Return the current claim of a key, or None."""
        return self.claims_by_key.get((service, key))

    def truncate(self, first_offset):
        """Handle the expiry of unread records below ``first_offset``."""
        if first_offset > self.offset + 1:
            self.first_offset = first_offset
            self.is_complete = False
            self.pending = []

    def apply(self, offset, record):
        """Apply a record of the stream.

        Records of one append share an offset and are applied in their order.
        """
        if offset < self.offset:
            return
        self.offset = offset
        if not self.is_complete and not isinstance(record, ClaimsSnapshot):
            self.pending.append((offset, record))
            return
        self._apply(record)

    def snapshot(self):
        """Return the table's state as a `ClaimsSnapshot` record."""
        claims = (
            ClaimState(claim.record, claim.settled)
            for claim in self.claims_by_key.values()
        )
        times = tuple(self.times)
        return ClaimsSnapshot(self.offset, self.clock_s, times, tuple(claims))

    @singledispatchmethod
    def _apply(self, record):
        """Ignore records of other types."""

    @_apply.register
    def _(self, record: RequestClaimed):
        key = (record.service, record.key)
        current = self.claims_by_key.get(key)
        if current is None or supersedes(record, current):
            self.claims_by_key[key] = Claim(record)
            self.claims_by_key.move_to_end(key)
        self.times.append(record.claimed_at)
        self.clock_s = max(self.clock_s, median_low(self.times))
        self._expire()

    @_apply.register
    def _(self, record: RequestSettled):
        claim = self.claims_by_key.get((record.service, record.key))
        if claim is None or claim.settled is not None:
            return
        settled = (record.request_id, record.attempt)
        if settled == (claim.record.request_id, claim.record.attempt):
            claim.settled = record

    @_apply.register
    def _(self, record: ClaimsSnapshot):
        if self.is_complete or record.as_of < self.first_offset - 1:
            return
        self.claims_by_key = OrderedDict(
            ((state.claim.service, state.claim.key), Claim(state.claim, state.settled))
            for state in record.claims
        )
        self.clock_s = record.clock_s
        self.times = deque(record.times, maxlen=CLOCK_CLAIM_COUNT)
        self.is_complete = True
        later, self.pending = self.pending, []
        for offset, waiting in later:
            if offset > record.as_of:
                self._apply(waiting)

    def _expire(self):
        oldest_s = self.clock_s - CLAIM_RETENTION_S
        while self.claims_by_key:
            key, claim = next(iter(self.claims_by_key.items()))
            if claim.record.claimed_at >= oldest_s:
                break
            del self.claims_by_key[key]


def supersedes(record, current):
    """Return whether a claim supersedes the current claim of its key.

    The writer of the next attempt's claim has proof that the request of the current
    claim was not executed.
    """
    is_open = current.settled is None or current.was_not_run
    return (
        is_open
        and record.attempt == current.record.attempt + 1
        and record.fingerprint == current.record.fingerprint
    )
