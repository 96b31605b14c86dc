"""A fixed limit on batch tasks, with eviction when latency exceeds the target."""

from ..controller import BatchDecision, Controller, cheapest_victim, cores_by_program

__all__ = ["FixedController"]

#: Fraction of the wanted cores that batch tasks get.
FIXED_SHARE = 0.6


class FixedController(Controller):
    """Limits batch tasks to a fixed share and evicts above a threshold; a baseline."""

    name = "fixed"

    def __init__(self, target_s, objectives):
        super().__init__(target_s, objectives)
        self._is_above_target = False

    def report(self, sample):
        """Record whether the latest report is above the target."""
        self._is_above_target = sample.p99_s > self.target_s

    def decide(self, now_s, load, tasks):
        """Return the fixed share; evict one task for each report above the target."""
        shares = dict.fromkeys(cores_by_program(tasks), FIXED_SHARE)
        victim = cheapest_victim(tasks) if self._is_above_target else None
        self._is_above_target = False
        if victim is None:
            return BatchDecision(FIXED_SHARE, shares, reason="fixed cap")
        evicted = (victim.task_id,)
        return BatchDecision(FIXED_SHARE, shares, evicted, "p99 above target")
