"""Residual lease: a lease that a worker got from calls to an earlier incarnation.

Lease ends are times on the worker's clock, which starts anew with each incarnation. To
a later incarnation the end of an earlier lease may be far ahead, and it then holds the
longest lease that it accepts, which may be longer than any that a leader grants.
"""

from math import ceil

from .leaseend import MAX_CLOCK_DRIFT_RATIO

__all__ = ["ResidualLease"]


class ResidualLease:
    """Bound on the residual lease of one incarnation, kept by its agent.

    Parameters
    ----------
    max_lease_ms : int
        Longest lease that the worker accepts.
    clock_ms : callable
        The agent's clock.
    """

    __slots__ = ("_clock_ms", "_end_ms", "_longest_ms")

    def __init__(self, max_lease_ms, clock_ms):
        self._clock_ms = clock_ms
        #: Duration of the longest lease, by a slow clock of the worker.
        self._longest_ms = ceil(max_lease_ms * MAX_CLOCK_DRIFT_RATIO)
        #: None while calls to earlier incarnations may still extend the lease.
        self._end_ms = None

    @property
    def is_bounded(self):
        """Whether the worker refuses calls to earlier incarnations."""
        return self._end_ms is not None

    def bound(self):
        """Record that the worker refuses calls to earlier incarnations from now on."""
        if self._end_ms is None:
            self._end_ms = self._clock_ms() + self._longest_ms

    def remaining_ms(self):
        """Return the time by which such a lease has certainly expired."""
        if self._end_ms is None:
            return self._longest_ms
        return max(0, self._end_ms - self._clock_ms())
