"""Randomised delays that keep processes from acting simultaneously."""

import math

__all__ = ["Backoff", "suppression_delay_s"]

MIN_RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 4.0
#: Maximum suppression delay; one of the members acts within this time.
MAX_SUPPRESSION_DELAY_S = 5.0
#: Larger values let fewer members act before they see that another has acted.
SUPPRESSION_STEEPNESS = 10.0


class Backoff:
    """Bounded exponential backoff with jitter, to avoid a thundering herd."""

    __slots__ = ("failures", "rng")

    def __init__(self, rng):
        self.rng = rng
        self.failures = 0

    def next_delay_s(self):
        """Count a failure and return the seconds to wait before the next attempt."""
        limit_s = min(
            MAX_RETRY_DELAY_S, MIN_RETRY_DELAY_S * 2 ** min(self.failures, 16)
        )
        self.failures += 1
        return self.rng.uniform(limit_s / 4, limit_s)

    def reset(self):
        """Reset the failure count after a success."""
        self.failures = 0


def suppression_delay_s(rng):
    """Return a random delay for actions that only one of many members must take.

    A member that sees another act during its delay need not act. The distribution is
    skewed towards the maximum, so that few members draw a delay near the minimum and
    act before they see another, whatever the number of members.
    """
    scale = math.expm1(SUPPRESSION_STEEPNESS)
    return (
        MAX_SUPPRESSION_DELAY_S
        * math.log1p(rng.random() * scale)
        / SUPPRESSION_STEEPNESS
    )
