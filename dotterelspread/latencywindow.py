"""Tail latency and load of the service on one instance, over short windows."""

import math

from .interference import UsageSample

__all__ = ["LatencyWindow"]

#: Requests that a window needs for its tail latency to say anything.
MIN_SAMPLE_REQUESTS = 20
TAIL_QUANTILE = 0.99
#: Seconds without a request after which the service counts as idle.
IDLE_TIMEOUT_S = 30.0


class LatencyWindow:
    """Collects the requests that end, until a sample is taken.

    Use one for each instance; give it each request and the slots in use.

    Parameters
    ----------
    now_s : float
        When the first window starts.
    slots : int
        Slots of the instance.
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
        """Part of the slots in use now."""
        return self._used / self._slots

    def is_idle(self, now_s):
        """Tell whether the service has had no request for so long that none is due."""
        return self._used == 0 and now_s - self._used_s > IDLE_TIMEOUT_S

    def set_used(self, now_s, used):
        """Note how many slots are in use from now on."""
        if used or self._used:
            self._used_s = now_s
        self._busy_s += self._used * (now_s - self._changed_s)
        self._changed_s = now_s
        self._used = used

    def add(self, duration_s):
        """Note a request that was completed, by its time from arrival to answer."""
        self._durations_s.append(duration_s)

    def take(self, now_s):
        """Return the `UsageSample` of the window and start the next one.

        None, and the window goes on, while too few requests have ended.
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
