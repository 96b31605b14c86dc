"""First in, first out, whatever the kind."""

from ..queue import Queue

__all__ = ["FifoQueue"]


class FifoQueue(Queue):
    """Starts the request that came first; a baseline for comparison."""

    __slots__ = ()

    def pop(self, now_s):
        """Remove and return the oldest request; None when empty."""
        heads = self.heads()
        if not heads:
            return None
        first = min(heads, key=lambda head: head.arrived_s)
        return self.waiting_by_kind[first.kind].popleft()
