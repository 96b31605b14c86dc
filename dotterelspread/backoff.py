"""Random delays that keep many processes from acting at the same moment."""

import math

__all__ = ["Backoff", "suppression_delay_s"]

MIN_RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 4.0
#: Seconds within which one of many members acts.
MAX_SUPPRESSION_DELAY_S = 5.0
#: The larger, the fewer members act before they see that another has.
SUPPRESSION_STEEPNESS = 10.0


class Backoff:
    """Delays between attempts: exponential, bounded, and random to avoid a herd."""

    __slots__ = ("failures", "rng")

    def __init__(self, rng):
        self.rng = rng
        self.failures = 0

    def next_delay_s(self):
        """Count one more failure and return the seconds to wait after it."""
        limit_s = min(
            MAX_RETRY_DELAY_S, MIN_RETRY_DELAY_S * 2 ** min(self.failures, 16)
        )
        self.failures += 1
        return self.rng.uniform(limit_s / 4, limit_s)

    def reset(self):
        """Forget the failures after a success."""
        self.failures = 0


def suppression_delay_s(rng):
    """Return a delay such that, of many that draw one, few draw about the least.

    A member that sees another act during its delay need not act. Most draw a delay
    near the longest, so that those that act are few however many members there are.
    """
    scale = math.expm1(SUPPRESSION_STEEPNESS)
    return (
        MAX_SUPPRESSION_DELAY_S
        * math.log1p(rng.random() * scale)
        / SUPPRESSION_STEEPNESS
    )
