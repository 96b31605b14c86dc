"""Tail latency and load of the service on one instance, by time window."""

import math

from .interference import UsageSample

__all__ = ["LatencyWindow"]

#: Requests in a window below which its tail latency is not meaningful.
MIN_SAMPLE_REQUESTS = 20
TAIL_QUANTILE = 0.99
#: Time without a request after which the service counts as idle.
IDLE_TIMEOUT_S = 30.0


class LatencyWindow:
    """Collects completed requests and slot usage until a sample is taken.

    Each instance has one.

    Parameters
    ----------
    now_s : float
        Start of the first window.
    slots : int
        Number of request slots of the instance.
    """

    __slots__ = (
        "_busy_s",
        "_changed_s",
        "_durations_s",
        "_slots",
        "_start_s",
        "_used",
        "_used_s",
    )

    def __init__(self, now_s, slots):
        self._slots = slots
        self._start_s = now_s
        self._changed_s = now_s
        self._used = 0
        self._used_s = -math.inf
        self._busy_s = 0.0
        self._durations_s = []

    @property
    def load(self):
        """Fraction of the slots in use now."""
        return self._used / self._slots

    def is_idle(self, now_s):
        """Return whether the service has had no request for the idle timeout."""
        return self._used == 0 and now_s - self._used_s > IDLE_TIMEOUT_S

    def set_used(self, now_s, used):
        """Record how many slots are in use from ``now_s`` on."""
        if used or self._used:
            self._used_s = now_s
        self._busy_s += self._used * (now_s - self._changed_s)
        self._changed_s = now_s
        self._used = used

    def add(self, duration_s):
        """Record a completed request by its time from arrival to answer."""
        self._durations_s.append(duration_s)

    def take(self, now_s):
        """Return the `UsageSample` of the window and start the next one.

        While too few requests have been completed, return None and extend the window.
        """
        if len(self._durations_s) < MIN_SAMPLE_REQUESTS:
            return None
        self.set_used(now_s, self._used)
        length_s = max(now_s - self._start_s, 1e-9)
        durations_s = sorted(self._durations_s)
        sample = UsageSample(
            self._start_s,
            now_s,
            min(1.0, self._busy_s / (length_s * self._slots)),
            durations_s[int(TAIL_QUANTILE * (len(durations_s) - 1))],
        )
        self._start_s = now_s
        self._busy_s = 0.0
        self._durations_s = []
        return sample
