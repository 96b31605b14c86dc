"""When an attempt may be followed by another, and the budget for it."""

from .outcome import RefusalReason

__all__ = ["MAX_ATTEMPTS", "RetryBudget", "is_retryable"]

#: Retries that each first attempt pays for.
RETRY_RATIO = 0.1
#: Retries that may be saved up.
MAX_SAVED_RETRIES = 20.0
#: Attempts of one request, the first included.
MAX_ATTEMPTS = 3

#: Refusals after which another instance may take the request.
RETRYABLE_REASONS = frozenset(
    {
        RefusalReason.NO_CAPACITY,
        RefusalReason.DEADLINE,
        RefusalReason.DRAINING,
        RefusalReason.SHED,
        RefusalReason.FENCED,
        RefusalReason.NO_INSTANCE,
        RefusalReason.NOT_READY,
        RefusalReason.UNKNOWN_SERVICE,
    }
)


class RetryBudget:
    """Token bucket that bounds an entry's retries to a part of its first attempts."""

    __slots__ = ("ratio", "tokens")

    def __init__(self, ratio=RETRY_RATIO):
        self.ratio = ratio
        self.tokens = MAX_SAVED_RETRIES / 2

    def note_first_attempt(self):
        """Count a request's first attempt."""
        self.tokens = min(MAX_SAVED_RETRIES, self.tokens + self.ratio)

    def take(self):
        """Take one retry from the budget; False when it is spent."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def is_retryable(reason):
    """Tell whether another instance may accept what was refused for a reason."""
    return reason in RETRYABLE_REASONS
