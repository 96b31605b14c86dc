"""Timer for the snapshots that an entry appends to a stream of claims.

Every entry follows all streams of claims, and any of them may append a snapshot. Random
jitter lets one entry go first; the others restart their timers when they read it.
"""

__all__ = ["ClaimSnapshotTimer"]

#: Snapshot interval as a fraction of the log's retention.
SNAPSHOT_RETENTION_RATIO = 1 / 3
#: Maximum jitter as a fraction of the snapshot interval.
MAX_JITTER_RATIO = 0.2


class ClaimSnapshotTimer:
    """Determines when a snapshot of a stream is due; create one per stream.

    Parameters
    ----------
    retention_s : float
        Minimum time in seconds for which the log retains a record.
    rng : random.Random
    now_s : float
    """

    __slots__ = ("_due_s", "_period_s", "_rng")

    def __init__(self, retention_s, rng, now_s):
        self._period_s = retention_s * SNAPSHOT_RETENTION_RATIO
        self._rng = rng
        self.restart(now_s)

    def restart(self, now_s):
        """Restart the timer after a snapshot was read or sent."""
        self._due_s = now_s + self._period_s * (
            1 + MAX_JITTER_RATIO * self._rng.random()
        )

    def is_due(self, now_s, table):
        """Return whether this entry is to append a snapshot of a `ClaimTable` now."""
        return now_s >= self._due_s and table.is_complete and table.offset >= 0
