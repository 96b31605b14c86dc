"""Lease timing, for the owner of a task and for the observers of its lease.

The owner measures its lease from the time when it sent the latest renewal that it has
read back. An observer measures from the time when it read that renewal, and only while
it follows the stream without interruption. An observer therefore never records a lapse
before the owner's lease has expired.
"""

from dataclasses import dataclass, field

__all__ = [
    "LeaseWatch",
    "lapse_wait_s",
    "owner_deadline_s",
    "renewal_interval_s",
    "stop_margin_s",
    "worker_deadline_s",
]

#: Maximum drift between two clocks, as a fraction of the elapsed time.
MAX_CLOCK_RATE_ERROR_RATIO = 0.01
#: Time in seconds that an observer waits in addition to the lease and clock drift.
LAPSE_MARGIN_S = 2.0
#: Time before the end of a lease at which the owner stops the task: an upper bound in
#: seconds, and the fraction of the lease.
MAX_STOP_MARGIN_S = 5.0
STOP_MARGIN_RATIO = 0.1
#: Duration in seconds of the short lease under which the worker runs a task.
WORKER_LEASE_S = 20.0
#: Time in seconds without a caught-up read after which reading counts as interrupted.
MAX_CATCH_UP_GAP_S = 5.0
#: Number of renewals within the shortest lease in use.
RENEWALS_PER_LEASE = 4
#: Upper bound of the renewal interval in seconds; renewals also carry checkpoints.
MAX_RENEWAL_INTERVAL_S = 60.0


def owner_deadline_s(sent_s, lease_s):
    """Return the owner's deadline for stopping the task, on its own clock."""
    return sent_s + lease_s


def stop_margin_s(lease_s):
    """Return how many seconds before the end of its lease the owner stops a task."""
    return min(MAX_STOP_MARGIN_S, STOP_MARGIN_RATIO * lease_s)


def renewal_interval_s(lease_s):
    """Return the interval in seconds between an owner's renewals."""
    return min(lease_s / RENEWALS_PER_LEASE, MAX_RENEWAL_INTERVAL_S)


def worker_deadline_s(now_s, deadline_s):
    """Return the end of the worker's short lease, bounded by the owner's deadline."""
    return min(now_s + WORKER_LEASE_S, deadline_s)


def lapse_wait_s(lease_s):
    """Return how long an observer waits after reading a renewal, on its own clock."""
    return lease_s * (1 + 2 * MAX_CLOCK_RATE_ERROR_RATIO) + LAPSE_MARGIN_S


@dataclass(slots=True)
class LeaseWatch:
    """Times at which a reader of a cell read each owner's latest renewal.

    Used to determine, on the reader's clock, which leases have lapsed.
    """

    #: (offset, time of reading) of the latest renewal, by (instance, incarnation).
    read_by_owner: dict = field(default_factory=dict)
    #: Start of the current uninterrupted period of caught-up reads; None before one.
    live_since_s: float | None = None
    caught_up_s: float = 0.0

    def record_renewal(self, now_s, owner, offset):
        """Record that a renewal by ``owner`` was read."""
        self.read_by_owner[owner] = (offset, now_s)

    def record_caught_up(self, now_s):
        """Record a read that reached the end of the stream."""
        if not self.is_live(now_s):
            self.live_since_s = now_s
        self.caught_up_s = now_s

    def is_live(self, now_s):
        """Return whether the stream is being followed without interruption."""
        is_recent = now_s - self.caught_up_s <= MAX_CATCH_UP_GAP_S
        return self.live_since_s is not None and is_recent

    def silent_s(self, now_s, owner, renewal_offset):
        """Return how long the stream has been followed since the renewal was read.

        Returns
        -------
        float
            Seconds; 0 while reading is interrupted, or when the latest renewal that was
            read is not the one at ``renewal_offset``.
        """
        if not self.is_live(now_s):
            return 0.0
        offset, read_s = self.read_by_owner.get(owner, (-1, now_s))
        if offset < renewal_offset:
            self.record_renewal(now_s, owner, renewal_offset)
        if offset != renewal_offset:
            return 0.0
        return now_s - max(read_s, self.live_since_s)
