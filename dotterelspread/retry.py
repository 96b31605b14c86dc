"""Retry policy: retryable refusals and the retry budget."""

from .outcome import RefusalReason

__all__ = ["MAX_ATTEMPTS", "RetryBudget", "is_retryable"]

#: Retries added to the budget by each first attempt.
RETRY_RATIO = 0.1
#: Maximum number of retries in the budget.
MAX_SAVED_RETRIES = 20.0
#: Maximum attempts of one request, including the first.
MAX_ATTEMPTS = 3

#: Refusal reasons after which another instance may accept the request.
RETRYABLE_REASONS = frozenset(
    {
        RefusalReason.NO_CAPACITY,
        RefusalReason.DEADLINE,
        RefusalReason.DRAINING,
        RefusalReason.EVACUATED,
        RefusalReason.SHED,
        RefusalReason.FENCED,
        RefusalReason.NO_INSTANCE,
        RefusalReason.NOT_READY,
        RefusalReason.UNKNOWN_SERVICE,
    }
)


class RetryBudget:
    """Token bucket that limits an entry's retries to a ratio of its first attempts."""

    __slots__ = ("ratio", "tokens")

    def __init__(self, ratio=RETRY_RATIO):
        self.ratio = ratio
        self.tokens = MAX_SAVED_RETRIES / 2

    def note_first_attempt(self):
        """Count a request's first attempt."""
        self.tokens = min(MAX_SAVED_RETRIES, self.tokens + self.ratio)

    def take(self):
        """Consume one retry; return False if the budget is exhausted."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def is_retryable(reason):
    """Return whether another instance may accept work refused for ``reason``."""
    return reason in RETRYABLE_REASONS
