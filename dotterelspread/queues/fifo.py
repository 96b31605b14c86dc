"""First in, first out across all kinds."""

from ..queue import Queue

__all__ = ["FifoQueue"]


class FifoQueue(Queue):
    """Starts requests in order of arrival; a baseline for comparison."""

    __slots__ = ()

    def pop(self, now_s):
        """Remove and return the oldest request; None when empty."""
        heads = self.heads()
        if not heads:
            return None
        first = min(heads, key=lambda head: head.arrived_s)
        return self.waiting_by_kind[first.kind].popleft()
