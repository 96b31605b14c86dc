"""Budget of the bytes that callers make a process hold.

Each listener of the process has a share of its own, so that callers cannot use up what
the load balancer and the operators need. Shares count; `shedding` decides what to give
up when one is exhausted.
"""

__all__ = ["ByteBudget", "ByteShare", "make_unlimited_share"]


class ByteShare:
    """Part of a `ByteBudget`.

    Parameters
    ----------
    max_bytes : int
    """

    __slots__ = ("max_bytes", "used_bytes")

    def __init__(self, max_bytes):
        self.max_bytes = max_bytes
        #: Bytes that are held at present; may exceed ``max_bytes`` by one read.
        self.used_bytes = 0

    @property
    def excess_bytes(self):
        """Bytes by which the share is exceeded; negative while some are left."""
        return self.used_bytes - self.max_bytes


class ByteBudget:
    """Bytes of a process that are divided into shares.

    Parameters
    ----------
    max_bytes : int
    """

    __slots__ = ("_unassigned_bytes", "max_bytes")

    def __init__(self, max_bytes):
        self.max_bytes = max_bytes
        self._unassigned_bytes = max_bytes

    def open_share(self, max_bytes):
        """Return a new `ByteShare`.

        Raises
        ------
        ValueError
            When less than ``max_bytes`` is left.
        """
        if max_bytes > self._unassigned_bytes:
            raise ValueError(f"{max_bytes} bytes: only {self._unassigned_bytes} left")
        self._unassigned_bytes -= max_bytes
        return ByteShare(max_bytes)

    def open_rest(self):
        """Return a new `ByteShare` of all that is left."""
        return self.open_share(self._unassigned_bytes)


def make_unlimited_share():
    """Return a `ByteShare` that no process can exceed."""
    return ByteShare(1 << 62)
