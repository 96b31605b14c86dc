"""When an entry appends a snapshot of a stream of claims.

Every entry follows all streams of claims, and any may append a snapshot; a random delay
lets one of them be first, and the others then wait for the next.
"""

__all__ = ["ClaimSnapshotTimer"]

#: Part of the log's retention after which a snapshot is due.
SNAPSHOT_RETENTION_RATIO = 1 / 3
#: Longest random delay beyond that, as a part of the same time.
MAX_JITTER_RATIO = 0.2


class ClaimSnapshotTimer:
    """Tells when the snapshot of one stream is due; use one for each stream.

    Parameters
    ----------
    retention_s : float
        Least seconds for which the log keeps a record.
    rng : random.Random
    now_s : float
    """

    __slots__ = ("_due_s", "_period_s", "_rng")

    def __init__(self, retention_s, rng, now_s):
        self._period_s = retention_s * SNAPSHOT_RETENTION_RATIO
        self._rng = rng
        self.restart(now_s)

    def restart(self, now_s):
        """Start the time anew, since a snapshot was read or has been sent."""
        self._due_s = now_s + self._period_s * (
            1 + MAX_JITTER_RATIO * self._rng.random()
        )

    def is_due(self, now_s, table):
        """Tell whether this entry shall append a snapshot of a `ClaimTable` now."""
        return now_s >= self._due_s and table.is_complete and table.offset >= 0
