"""Queues of admitted requests waiting for a slot of an instance.

`Queue` is the base class; the variants in ``queues`` differ in the scheduling order.
`find_queue` returns a variant by name.
"""

from collections import deque
from dataclasses import dataclass
from importlib import import_module

__all__ = ["Queue", "QueueError", "WaitingRequest", "find_queue"]

#: Module and class of each variant, by name.
QUEUES = {
    "fair": ("fair", "FairQueue"),
    "fifo": ("fifo", "FifoQueue"),
    "strict": ("strict", "StrictQueue"),
}


class QueueError(Exception):
    """No queue variant has the given name."""


@dataclass(slots=True, frozen=True)
class WaitingRequest:
    """A request that waits for a slot."""

    request_id: str
    kind: str
    urgency: int
    #: Deadline of the answer, in monotonic seconds.
    deadline_s: float
    arrived_s: float


class Queue:
    """Requests waiting for a slot, in a FIFO queue for each kind.

    Parameters
    ----------
    slots : int
        Number of slots of the instance.
    kinds_by_name : dict of str to KindConfig
        Kinds with their shares and urgencies.
    """

    __slots__ = ("kinds_by_name", "slots", "waiting_by_kind")

    #: Whether kinds have guaranteed shares; if so, requests beyond a share may be shed.
    has_shares = False

    def __init__(self, slots, kinds_by_name):
        self.slots = slots
        self.waiting_by_kind = {}
        self.configure(kinds_by_name)

    def __len__(self):
        return sum(len(waiting) for waiting in self.waiting_by_kind.values())

    def configure(self, kinds_by_name):
        """Replace the kinds; queued requests keep their position."""
        self.kinds_by_name = dict(kinds_by_name)

    def push(self, waiting):
        """Append a request to the queue of its kind."""
        self.waiting_by_kind.setdefault(waiting.kind, deque()).append(waiting)

    def pop(self, now_s):
        """Remove and return the next request to start; None when empty."""
        raise NotImplementedError

    def count(self, kind):
        """Return the number of queued requests of a kind."""
        return len(self.waiting_by_kind.get(kind, ()))

    def count_ahead(self, kind):
        """Return the number of queued requests that precede a new one of a kind."""
        return len(self)

    def credit(self, kind, now_s):
        """Return the slot seconds that a kind may use with precedence over others."""
        return 0.0

    def charge(self, kind, slot_s, now_s):
        """Charge slot seconds to a kind's credit; a negative value refunds them."""

    def heads(self):
        """Return the first queued request of each kind."""
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
    """Return the queue class with the given name.

    Raises
    ------
    QueueError
        If there is no such variant.
    """
    try:
        module, class_name = QUEUES[name]
    except KeyError:
        raise QueueError(f"unknown queue variant {name!r}") from None
    return getattr(import_module(f".queues.{module}", __package__), class_name)
