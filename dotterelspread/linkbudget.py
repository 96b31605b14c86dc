"""Byte budget for the link between regions."""

__all__ = ["LinkBudget"]

#: Bandwidth of the link in each direction.
LINK_BITS_PER_S = 15_000_000
#: Fraction of the link bandwidth that requests may use.
REQUEST_LINK_RATIO = 0.5
#: Bucket size, in seconds at the budget's rate.
MAX_BURST_S = 0.5


def _bytes_per_s(entries):
    return LINK_BITS_PER_S / 8 * REQUEST_LINK_RATIO / max(1, entries)


class LinkBudget:
    """Token bucket that limits the bytes an entry exchanges with other regions.

    Parameters
    ----------
    bytes_per_s : float
        Refill rate: the share of this entry.
    """

    __slots__ = ("bytes_per_s", "refilled_s", "tokens", "used_bytes")

    def __init__(self, bytes_per_s):
        self.bytes_per_s = bytes_per_s
        self.tokens = bytes_per_s * MAX_BURST_S
        self.refilled_s = None
        #: Total bytes charged since the start.
        self.used_bytes = 0

    @classmethod
    def from_entries(cls, entries):
        """Return the budget of one of ``entries`` that share the link."""
        return cls(_bytes_per_s(entries))

    def share_with(self, entries):
        """Set the rate to an equal share among ``entries``."""
        self.bytes_per_s = _bytes_per_s(entries)

    def has_room(self, size_bytes, now_s):
        """Return whether a request of ``size_bytes`` may be sent now."""
        self._refill(now_s)
        return self.tokens >= size_bytes

    def charge(self, size_bytes, now_s):
        """Charge bytes that cross the link; answers may make the budget negative."""
        self._refill(now_s)
        self.tokens -= size_bytes
        self.used_bytes += size_bytes

    def _refill(self, now_s):
        elapsed_s = (
            0.0 if self.refilled_s is None else max(0.0, now_s - self.refilled_s)
        )
        self.refilled_s = now_s
        full = self.bytes_per_s * MAX_BURST_S
        self.tokens = min(full, self.tokens + elapsed_s * self.bytes_per_s)
