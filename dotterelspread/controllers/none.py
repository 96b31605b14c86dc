"""No control of batch work: every task may use all it wants."""

from ..controller import BatchDecision, Controller, cores_by_program

__all__ = ["NoController"]


class NoController(Controller):
    """Never throttles or evicts; use it where no service runs, or as a baseline."""

    name = "none"

    def decide(self, now_s, load, tasks):
        """Return full shares for all programs."""
        shares = dict.fromkeys(cores_by_program(tasks), 1.0)
        return BatchDecision(1.0, shares, reason="no control")
