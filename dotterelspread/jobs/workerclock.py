"""Conversion of times from an agent's clock to that of its worker."""

__all__ = ["WorkerClock"]


class WorkerClock:
    """Clock of one incarnation of a worker, as its lists have told it.

    Parameters
    ----------
    clock_ms : callable
        The agent's clock.
    """

    __slots__ = ("_clock_ms", "offset_ms")

    def __init__(self, clock_ms):
        self._clock_ms = clock_ms
        #: Lower bound of the worker's clock minus the agent's; None if unknown.
        self.offset_ms = None

    def observe(self, worker_ms):
        """Apply the time that the worker has told with its lists."""
        self.offset_ms = worker_ms - self._clock_ms()

    def convert(self, until_ms):
        """Convert a time of the agent's clock; 0 if there is none or it is unknown."""
        if self.offset_ms is None or not until_ms:
            return 0
        return max(0, until_ms + self.offset_ms)
