"""The byte budget of the link between regions."""

__all__ = ["LinkBudget"]

#: Rate of the link each way, in bits per second.
LINK_BITS_PER_S = 15_000_000
#: Part of the link that requests may use.
REQUEST_LINK_RATIO = 0.5
#: Seconds of the budget that may be saved up.
MAX_BURST_S = 0.5


def _bytes_per_s(entries):
    return LINK_BITS_PER_S / 8 * REQUEST_LINK_RATIO / max(1, entries)


class LinkBudget:
    """Token bucket of the bytes that an entry may send to other regions.

    Parameters
    ----------
    bytes_per_s : float
        Bytes per second that this entry may use.
    """

    __slots__ = ("bytes_per_s", "refilled_s", "tokens", "used_bytes")

    def __init__(self, bytes_per_s):
        self.bytes_per_s = bytes_per_s
        self.tokens = bytes_per_s * MAX_BURST_S
        self.refilled_s = None
        #: Bytes taken since the start.
        self.used_bytes = 0

    @classmethod
    def from_entries(cls, entries):
        """Return the budget of one of several entries that share the link."""
        return cls(_bytes_per_s(entries))

    def share_with(self, entries):
        """Take the share of one of so many entries from now on."""
        self.bytes_per_s = _bytes_per_s(entries)

    def has_room(self, size_bytes, now_s):
        """Tell whether a request of a size may be sent now."""
        self._refill(now_s)
        return self.tokens >= size_bytes

    def charge(self, size_bytes, now_s):
        """Count bytes that cross the link; answers may overdraw the budget."""
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
