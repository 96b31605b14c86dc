"""Whether the worker of an agent has announced its shutdown, and whether it ended."""

from ..decisionlog import log_decision
from .workeradapter import WorkerGoneError

__all__ = ["Departure"]

#: Longest time between the announcement and the end of a worker; one that answers
#: after it does not shut down.
SHUTDOWN_TIMEOUT_MS = 2000
#: Delay before a failed call to the worker is retried, and that of one to a worker
#: that has announced its shutdown.
RETRY_INTERVAL_S = 0.2
LEAVING_RETRY_INTERVAL_S = 0.02


class Departure:
    """Announced and certain end of one incarnation of a worker.

    Silence is no proof of the end: a worker whose deregistration was not acknowledged,
    since it is partitioned, runs on until its leases expire.
    """

    __slots__ = ("_announced_ms", "has_left")

    def __init__(self):
        #: When the shutdown was announced, on the agent's clock; None if it was not.
        self._announced_ms = None
        self.has_left = False

    def retry_interval_s(self, now_ms):
        """Return the delay before a failed call to the worker is retried."""
        if self.has_left or self._announced_ms is None:
            return RETRY_INTERVAL_S
        is_due = now_ms - self._announced_ms <= SHUTDOWN_TIMEOUT_MS
        return LEAVING_RETRY_INTERVAL_S if is_due else RETRY_INTERVAL_S

    def announce(self, now_ms):
        """Record that the worker says that it shuts down."""
        self._announced_ms = now_ms

    def observe_answer(self, sent_ms):
        """Apply an answer to a call sent at ``sent_ms``; return if this is a change."""
        was_left, self.has_left = self.has_left, False
        if self._announced_ms is None:
            return was_left
        if was_left or sent_ms - self._announced_ms > SHUTDOWN_TIMEOUT_MS:
            self._announced_ms = None
            log_decision("worker did not leave", was_left=was_left)
        return was_left

    def observe_failure(self, error):
        """Apply a failed call; return if the end of the worker is now certain."""
        if self._announced_ms is None or self.has_left:
            return False
        self.has_left = isinstance(error, WorkerGoneError)
        return self.has_left
