"""Counter and bounded log lines of the connections that a listener gives up."""

import time

from .counters import counters
from .decisionlog import log_decision

__all__ = ["ShedLog"]

#: Least time between two log lines with the same reason; all others are counted only.
LOG_INTERVAL_S = 10.0


def _count(reason):
    counters.add("connections_shed", reason=reason)


def _log(reason, count):
    log_decision("connections shed", reason=reason, count=count)


class ShedLog:
    """Counts shed connections by reason and logs a few of them.

    Parameters
    ----------
    clock : callable
        Monotonic clock in seconds.
    count : callable
        Counts a connection by its reason.
    log : callable
        Logs a reason and the number of connections since the last line.
    """

    __slots__ = (
        "_clock",
        "_count",
        "_log",
        "_logged_s_by_reason",
        "_unlogged_by_reason",
    )

    def __init__(self, clock=time.monotonic, count=_count, log=_log):
        self._clock = clock
        self._count = count
        self._log = log
        self._logged_s_by_reason = {}
        self._unlogged_by_reason = {}

    def add(self, reason):
        """Count a connection; ``reason`` is one of few constant names."""
        self._count(reason)
        count = self._unlogged_by_reason.get(reason, 0) + 1
        now_s = self._clock()
        logged_s = self._logged_s_by_reason.get(reason)
        if logged_s is not None and now_s - logged_s < LOG_INTERVAL_S:
            self._unlogged_by_reason[reason] = count
            return
        self._unlogged_by_reason[reason] = 0
        self._logged_s_by_reason[reason] = now_s
        self._log(reason, count)
