"""Whether the worker of an agent has announced its shutdown, and whether it is gone."""

from ..decisionlog import log_decision
from .workeradapter import WorkerGoneError

__all__ = ["Departure"]

#: Longest time between the announcement and the end of a worker; one that answers
#: after it does not shut down.
SHUTDOWN_TIMEOUT_MS = 2000
#: Delay before a failed call to the worker is retried.
RETRY_INTERVAL_S = 0.2
#: The same while its process is expected to end, or another incarnation to begin, which
#: takes calls to the earlier one until the agent has called it.
EXPECTING_RETRY_INTERVAL_S = 0.02
#: The same after a start without an answer, which the next incarnation may execute.
LATE_START_RETRY_INTERVAL_S = 0.004
#: Time after which a start without an answer is no longer executed.
LATE_START_TIMEOUT_MS = 15_000
#: Time after the end of a process in which another incarnation is expected.
RESTART_TIMEOUT_MS = 15_000


class Departure:
    """Announced and certain end of one incarnation of a worker.

    Silence is no proof of the end: a worker that is partitioned runs on until its
    leases expire, also after a deregistration that was not acknowledged.
    """

    __slots__ = ("_announced_ms", "_gone_ms", "is_gone")

    def __init__(self):
        #: When the shutdown was announced, on the agent's clock; None if it was not.
        self._announced_ms = None
        #: Whether nothing or another incarnation runs at the worker's address.
        self.is_gone = False
        #: When that was found, on the agent's clock.
        self._gone_ms = 0

    @property
    def has_left(self):
        """Whether the worker has shut down as announced."""
        return self.is_gone and self._announced_ms is not None

    def retry_interval_s(self, now_ms, start_unanswered_ms):
        """Return the delay before a failed call to the worker is retried.

        Parameters
        ----------
        now_ms : int
        start_unanswered_ms : int
            When a start was last left unanswered.
        """
        if self.is_gone:
            is_change_due = now_ms - self._gone_ms <= RESTART_TIMEOUT_MS
        elif self._announced_ms is not None:
            is_change_due = now_ms - self._announced_ms <= SHUTDOWN_TIMEOUT_MS
        else:
            is_change_due = False
        if not is_change_due:
            return RETRY_INTERVAL_S
        if now_ms - start_unanswered_ms <= LATE_START_TIMEOUT_MS:
            return LATE_START_RETRY_INTERVAL_S
        return EXPECTING_RETRY_INTERVAL_S

    def announce(self, now_ms):
        """Record that the worker says that it shuts down."""
        self._announced_ms = now_ms

    def observe_answer(self, sent_ms):
        """Apply an answer to a call sent at ``sent_ms``; return if this is a change."""
        was_gone, self.is_gone = self.is_gone, False
        if self._announced_ms is None:
            return was_gone
        if was_gone or sent_ms - self._announced_ms > SHUTDOWN_TIMEOUT_MS:
            self._announced_ms = None
            log_decision("worker did not leave", was_gone=was_gone)
        return was_gone

    def observe_failure(self, error, now_ms):
        """Apply a failed call; return if this shows that the worker is gone."""
        if self.is_gone or not isinstance(error, WorkerGoneError):
            return False
        self.is_gone = True
        self._gone_ms = now_ms
        return True
