"""Fair queueing: guaranteed share for each kind, spare capacity by urgency."""

from ..queue import Queue

__all__ = ["FairQueue"]

#: Bucket size, in seconds at the guaranteed rate, that an idle kind can accumulate.
MAX_CREDIT_S = 0.5


class FairQueue(Queue):
    """Hierarchical token buckets: a guaranteed rate, then borrowing by urgency.

    Each kind accrues credit, in slot seconds, at the rate of its share of the slots,
    and is charged for the slot time that it uses while its credit is positive. Kinds
    with credit have precedence; spare capacity goes to the most urgent kind and is not
    charged. Use it wherever several kinds share an instance.
    """

    __slots__ = ("credit_by_kind", "refilled_s")

    has_shares = True

    def __init__(self, slots, kinds_by_name):
        self.credit_by_kind = {}
        self.refilled_s = None
        super().__init__(slots, kinds_by_name)

    def count_ahead(self, kind):
        """Return the number of queued requests that precede a new one of a kind."""
        return self.count(kind)

    def rate(self, kind):
        """Return the number of slots guaranteed to a kind."""
        config = self.kinds_by_name.get(kind)
        return config.share * self.slots if config else 0.0

    def credit(self, kind, now_s):
        """Return the slot seconds that a kind may use with precedence over others."""
        self._refill(now_s)
        return self.credit_by_kind.get(kind, 0.0)

    def charge(self, kind, slot_s, now_s):
        """Charge slot seconds to a kind's credit; a negative value refunds them."""
        self._refill(now_s)
        credit = self.credit_by_kind.get(kind, 0.0) - slot_s
        self.credit_by_kind[kind] = min(MAX_CREDIT_S * self.rate(kind), credit)

    def pop(self, now_s):
        """Remove and return the next request to start; None when empty."""
        self._refill(now_s)
        heads = self.heads()
        if not heads:
            return None
        entitled = [head for head in heads if self._is_entitled(head.kind)]
        if entitled:
            first = max(entitled, key=self._credit_s)
        else:
            first = min(heads, key=lambda head: (-head.urgency, head.arrived_s))
        return self.waiting_by_kind[first.kind].popleft()

    def _is_entitled(self, kind):
        return self.credit_by_kind.get(kind, 0.0) > 0

    def _credit_s(self, head):
        return self.credit_by_kind[head.kind] / self.rate(head.kind)

    def _refill(self, now_s):
        elapsed_s = (
            0.0 if self.refilled_s is None else max(0.0, now_s - self.refilled_s)
        )
        self.refilled_s = now_s
        for kind in self.kinds_by_name:
            rate = self.rate(kind)
            credit = self.credit_by_kind.get(kind, MAX_CREDIT_S * rate)
            self.credit_by_kind[kind] = min(
                MAX_CREDIT_S * rate, credit + rate * elapsed_s
            )
