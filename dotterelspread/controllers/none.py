"""No control of batch tasks: every task may use all cores it wants."""

from ..controller import BatchDecision, Controller, cores_by_program

__all__ = ["NoController"]


class NoController(Controller):
    """Never throttles or evicts; for instances without a service, or as a baseline."""

    name = "none"

    def decide(self, now_s, load, tasks):
        """Return a share of 1 for all programs."""
        shares = dict.fromkeys(cores_by_program(tasks), 1.0)
        return BatchDecision(1.0, shares, reason="batch tasks are not controlled")
