"""Cache of an instance's answers, and the set of request ids it has seen.

Answers are cached within limits on count and bytes. Request ids are retained for
longer, as eight-byte digests, so that no request is executed twice.
"""

from array import array
from bisect import bisect_left
from collections import OrderedDict, deque
from hashlib import blake2b

from .outcome import Completed

__all__ = ["AnswerCache", "IdSet"]

#: Maximum number of cached answers.
MAX_ANSWERS = 4096
#: Maximum total size of the cached bodies.
MAX_ANSWER_BYTES = 16 * 2**20
#: Number of ids in one sorted array.
SEGMENT_ID_COUNT = 4096


class AnswerCache:
    """Most recent answers by request id, bounded by count and bytes."""

    __slots__ = ("bytes", "max_answers", "max_bytes", "outcomes_by_id")

    def __init__(self, max_answers=MAX_ANSWERS, max_bytes=MAX_ANSWER_BYTES):
        self.max_answers = max_answers
        self.max_bytes = max_bytes
        self.outcomes_by_id = OrderedDict()
        self.bytes = 0

    def __len__(self):
        return len(self.outcomes_by_id)

    def get(self, request_id):
        """Return the outcome of a request; None when it is not cached."""
        return self.outcomes_by_id.get(request_id)

    def put(self, request_id, outcome):
        """Cache an outcome, evicting the oldest ones beyond the limits."""
        self.outcomes_by_id[request_id] = outcome
        self.bytes += body_bytes(outcome)
        while len(self) > self.max_answers or self.bytes > self.max_bytes:
            _, dropped = self.outcomes_by_id.popitem(last=False)
            self.bytes -= body_bytes(dropped)


class IdSet:
    """Request ids seen within a retention period, as eight-byte digests.

    Parameters
    ----------
    retention_s : float
        Minimum seconds for which an id is retained.
    max_ids : int
        Number of ids at which the set is full.
    """

    __slots__ = ("count", "max_ids", "recent", "retention_s", "segments")

    def __init__(self, retention_s, max_ids):
        self.retention_s = retention_s
        self.max_ids = max_ids
        self.recent = set()
        self.segments = deque()
        self.count = 0

    def __contains__(self, request_id):
        digest = id_digest(request_id)
        return digest in self.recent or any(
            is_in_sorted(ids, digest) for _, ids in self.segments
        )

    def is_full(self):
        """Return whether the set has reached ``max_ids``."""
        return self.count >= self.max_ids

    def add(self, request_id, now_s):
        """Add an id that was seen at ``now_s``."""
        self.recent.add(id_digest(request_id))
        self.count += 1
        if len(self.recent) >= SEGMENT_ID_COUNT:
            self.segments.append((now_s, array("Q", sorted(self.recent))))
            self.recent = set()
        self.expire(now_s)

    def expire(self, now_s):
        """Drop the arrays whose newest id is older than the retention period."""
        while self.segments and self.segments[0][0] + self.retention_s < now_s:
            _, ids = self.segments.popleft()
            self.count -= len(ids)


def body_bytes(outcome):
    """Return the size of an outcome's body in bytes."""
    return len(outcome.body) if isinstance(outcome, Completed) else 0


def id_digest(request_id):
    """Return the eight-byte digest of a request id as an integer."""
    return int.from_bytes(blake2b(request_id.encode(), digest_size=8).digest())


def is_in_sorted(ids, digest):
    """Return whether a sorted array contains a digest."""
    index = bisect_left(ids, digest)
    return index < len(ids) and ids[index] == digest
