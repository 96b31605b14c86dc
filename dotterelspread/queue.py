"""Queues of admitted requests that wait for a slot of an instance.

`Queue` is the base; the variants in ``queues`` differ in which request starts next.
`find_queue` returns a variant by name.
"""

from collections import deque
from dataclasses import dataclass
from importlib import import_module

__all__ = ["Queue", "QueueError", "WaitingRequest", "find_queue"]

#: Module and class of each variant.
QUEUES = {
    "fair": ("fair", "FairQueue"),
    "fifo": ("fifo", "FifoQueue"),
    "strict": ("strict", "StrictQueue"),
}


class QueueError(Exception):
    """No queue has the name."""


@dataclass(slots=True, frozen=True)
class WaitingRequest:
    """A request that waits for a slot."""

    request_id: str
    kind: str
    urgency: int
    #: Seconds on the monotonic clock after which the answer is of no use.
    deadline_s: float
    arrived_s: float


class Queue:
    """Requests that wait for a slot, by kind.

    Parameters
    ----------
    slots : int
        Slots of the instance.
    kinds_by_name : dict of str to KindConfig
        Kinds with their shares and urgencies.
    """

    __slots__ = ("kinds_by_name", "slots", "waiting_by_kind")

    #: Whether kinds have guaranteed shares, so that each may only fill its own.
    has_shares = False

    def __init__(self, slots, kinds_by_name):
        self.slots = slots
        self.waiting_by_kind = {}
        self.configure(kinds_by_name)

    def __len__(self):
        return sum(len(waiting) for waiting in self.waiting_by_kind.values())

    def configure(self, kinds_by_name):
        """Take over new kinds; what waits keeps its place."""
        self.kinds_by_name = dict(kinds_by_name)

    def push(self, waiting):
        """Add a request at the end of its kind."""
        self.waiting_by_kind.setdefault(waiting.kind, deque()).append(waiting)

    def pop(self, now_s):
        """Remove and return the request that starts next; None when empty."""
        raise NotImplementedError

    def count(self, kind):
        """Return how many requests of a kind wait."""
        return len(self.waiting_by_kind.get(kind, ()))

    def count_ahead(self, kind):
        """Return how many waiting requests start before a new one of a kind."""
        return len(self)

    def credit(self, kind, now_s):
        """Return the slot seconds that a kind may use before all others."""
        return 0.0

    def charge(self, kind, slot_s, now_s):
        """Count slot seconds against a kind; negative gives back."""

    def heads(self):
        """Return the first waiting request of each kind."""
        return [waiting[0] for waiting in self.waiting_by_kind.values() if waiting]

    def remove_expired(self, now_s):
        """Remove and return the requests whose deadline has passed."""
        expired = []
        for kind, waiting in self.waiting_by_kind.items():
            late = [item for item in waiting if item.deadline_s <= now_s]
            if late:
                expired += late
                kept = (item for item in waiting if item.deadline_s > now_s)
                self.waiting_by_kind[kind] = deque(kept)
        return expired


def find_queue(name):
    """Return the queue class with the name.

    Raises
    ------
    QueueError
        When there is none.
    """
    try:
        module, class_name = QUEUES[name]
    except KeyError:
        raise QueueError(f"no queue is called {name!r}") from None
    return getattr(import_module(f".queues.{module}", __package__), class_name)
