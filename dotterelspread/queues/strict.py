"""Strict priority by urgency."""

from ..queue import Queue

__all__ = ["StrictQueue"]


class StrictQueue(Queue):
    """Starts the most urgent request, oldest first; a baseline for comparison."""

    __slots__ = ()

    def count_ahead(self, kind):
        """Return the number of queued requests that precede a new one of a kind."""
        config = self.kinds_by_name.get(kind)
        urgency = config.urgency if config else 0
        return sum(
            len(waiting)
            for waiting in self.waiting_by_kind.values()
            if waiting and waiting[0].urgency >= urgency
        )

    def pop(self, now_s):
        """Remove and return the most urgent request; None when empty."""
        heads = self.heads()
        if not heads:
            return None
        first = min(heads, key=lambda head: (-head.urgency, head.arrived_s))
        return self.waiting_by_kind[first.kind].popleft()
