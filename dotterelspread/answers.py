"""What an instance remembers of the requests that it has answered.

Answers are kept for a while, bounded by count and bytes. That an id was seen is kept
longer, as eight bytes each, so that no request runs a second time.
"""

from array import array
from bisect import bisect_left
from collections import OrderedDict, deque
from hashlib import blake2b

from .outcome import Completed

__all__ = ["AnswerCache", "IdSet"]

#: Most answers kept.
MAX_ANSWERS = 4096
#: Most bytes of bodies kept.
MAX_ANSWER_BYTES = 16 * 2**20
#: Ids that share one sorted array.
SEGMENT_ID_COUNT = 4096


class AnswerCache:
    """The latest answers by request id, bounded by count and bytes."""

    __slots__ = ("bytes", "max_answers", "max_bytes", "outcomes_by_id")

    def __init__(self, max_answers=MAX_ANSWERS, max_bytes=MAX_ANSWER_BYTES):
        self.max_answers = max_answers
        self.max_bytes = max_bytes
        self.outcomes_by_id = OrderedDict()
        self.bytes = 0

    def __len__(self):
        return len(self.outcomes_by_id)

    def get(self, request_id):
        """Return the outcome of a request; None when it is not kept."""
        return self.outcomes_by_id.get(request_id)

    def put(self, request_id, outcome):
        """Keep an outcome, dropping the oldest ones beyond the bounds."""
        self.outcomes_by_id[request_id] = outcome
        self.bytes += body_bytes(outcome)
        while len(self) > self.max_answers or self.bytes > self.max_bytes:
            _, dropped = self.outcomes_by_id.popitem(last=False)
            self.bytes -= body_bytes(dropped)


class IdSet:
    """Request ids seen within a horizon, as eight-byte digests in sorted arrays.

    Parameters
    ----------
    horizon_s : float
        Seconds for which an id is remembered at least.
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
        """Tell whether no further id can be remembered."""
        return self.count >= self.max_ids

    def add(self, request_id, now_s):
        """Remember an id that was seen at ``now_s``."""
        self.recent.add(id_digest(request_id))
        self.count += 1
        if len(self.recent) >= SEGMENT_ID_COUNT:
            self.segments.append((now_s, array("Q", sorted(self.recent))))
            self.recent = set()
        self.expire(now_s)

    def expire(self, now_s):
        """Forget the arrays whose newest id is older than the horizon."""
        while self.segments and self.segments[0][0] + self.retention_s < now_s:
            _, ids = self.segments.popleft()
            self.count -= len(ids)


def body_bytes(outcome):
    """Return the bytes of an outcome's body."""
    return len(outcome.body) if isinstance(outcome, Completed) else 0


def id_digest(request_id):
    """Return eight bytes of a request id's digest as an integer."""
    return int.from_bytes(blake2b(request_id.encode(), digest_size=8).digest())


def is_in_sorted(ids, digest):
    """Tell whether a sorted array holds a digest."""
    index = bisect_left(ids, digest)
    return index < len(ids) and ids[index] == digest
