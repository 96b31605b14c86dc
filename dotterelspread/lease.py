"""Leases on tasks, as their owner and as a possible taker count them.

The owner counts from the sending of the latest renewal that it has read back. A taker
counts from its own reading of that renewal, and only while it follows the stream, so
that it always waits longer than the owner runs.
"""

from dataclasses import dataclass, field

__all__ = [
    "LeaseWatch",
    "lapse_wait_s",
    "owner_deadline_s",
    "renewal_interval_s",
    "worker_deadline_s",
    "stop_margin_s",
]

#: Largest difference of two clocks' rates, as a part of the time measured.
MAX_CLOCK_RATE_ERROR_RATIO = 0.01
#: Seconds that a taker waits beyond the lease and the error of the clocks.
LAPSE_MARGIN_S = 2.0
#: Seconds before the end of its lease at which the owner stops a task, at most, and
#: as a part of the lease.
MAX_STOP_MARGIN_S = 5.0
STOP_MARGIN_RATIO = 0.1
#: Seconds of one slice of the worker's own lease on a task.
WORKER_LEASE_S = 20.0
#: Seconds without a caught-up read after which the stream counts as interrupted.
MAX_CATCH_UP_GAP_S = 5.0
#: Renewals within the shortest lease in use.
RENEWALS_PER_LEASE = 4
#: Most seconds between renewals, which also carry checkpoints.
MAX_RENEWAL_INTERVAL_S = 60.0


def owner_deadline_s(sent_s, lease_s):
    """Return when the owner must have stopped, on its own clock."""
    return sent_s + lease_s


def stop_margin_s(lease_s):
    """Return how long before its lease ends the owner stops a task."""
    return min(MAX_STOP_MARGIN_S, STOP_MARGIN_RATIO * lease_s)


def renewal_interval_s(lease_s):
    """Return the seconds between an owner's renewals."""
    return min(lease_s / RENEWALS_PER_LEASE, MAX_RENEWAL_INTERVAL_S)


def worker_deadline_s(now_s, deadline_s):
    """Return the deadline to give the worker: a short slice of the owner's lease."""
    return min(now_s + WORKER_LEASE_S, deadline_s)


def lapse_wait_s(lease_s):
    """Return how long a taker waits after it read a renewal, on its own clock."""
    return lease_s * (1 + 2 * MAX_CLOCK_RATE_ERROR_RATIO) + LAPSE_MARGIN_S


@dataclass(slots=True)
class LeaseWatch:
    """When a reader of a cell read the renewals of each owner.

    Use it to judge, on the reader's clock, which owners' leases have lapsed.
    """

    #: (offset, time it was read) of the latest renewal by (instance, incarnation).
    read_by_owner: dict = field(default_factory=dict)
    #: Start of the present stretch of caught-up reads; None while interrupted.
    live_since_s: float | None = None
    caught_up_s: float = 0.0

    def record_renewal(self, now_s, owner, offset):
        """Note that a renewal by ``owner`` was read."""
        self.read_by_owner[owner] = (offset, now_s)

    def record_caught_up(self, now_s):
        """Note a read that reached the end of the stream."""
        if not self.is_live(now_s):
            self.live_since_s = now_s
        self.caught_up_s = now_s

    def is_live(self, now_s):
        """Tell whether the stream has been followed without interruption."""
        is_recent = now_s - self.caught_up_s <= MAX_CATCH_UP_GAP_S
        return self.live_since_s is not None and is_recent

    def silent_s(self, now_s, owner, renewal_offset):
        """Return how long the stream was followed since the renewal was read.

        Returns
        -------
        float
            Seconds; 0 while the stream is interrupted or when a later renewal is known.
        """
        if not self.is_live(now_s):
            return 0.0
        offset, read_s = self.read_by_owner.get(owner, (-1, now_s))
        if offset < renewal_offset:
            self.record_renewal(now_s, owner, renewal_offset)
        if offset != renewal_offset:
            return 0.0
        return now_s - max(read_s, self.live_since_s)
