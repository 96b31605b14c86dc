"""Grant of a leader, within which an agent extends the leases of its worker."""

from ..decisionlog import log_decision

__all__ = ["LeaseGrant"]

#: Largest multiple of the longest lease by which a grant can be ahead of the clock. One
#: lease is usual; twice that allows for a leader with a longer lease in its settings.
MAX_AHEAD_RATIO = 2


class LeaseGrant:
    """Time up to which the leader grants leases, on the clock of the agent's instance.

    Parameters
    ----------
    max_lease_ms : int
        Longest lease that the worker grants.
    clock_ms : callable
        The agent's clock, which starts anew when the instance boots.
    """

    __slots__ = ("_clock_ms", "_max_lease_ms", "until_ms")

    def __init__(self, max_lease_ms, clock_ms):
        self._max_lease_ms = max_lease_ms
        self._clock_ms = clock_ms
        self.until_ms = 0

    def extend(self, until_ms):
        """Extend the grant; it never gets shorter."""
        if self.is_on_other_clock(until_ms):
            log_decision(
                "grant ignored; it counts from another clock",
                grant_until_ms=until_ms,
                clock_ms=self._clock_ms(),
            )
            return
        self.until_ms = max(self.until_ms, until_ms)

    def is_on_other_clock(self, until_ms):
        """Tell whether a grant counts from a clock value before the instance's boot.

        A leader that has not heard of the boot still grants leases on the earlier,
        larger values. They would never end.
        """
        ahead_ms = until_ms - self._clock_ms()
        return ahead_ms > MAX_AHEAD_RATIO * self._max_lease_ms
