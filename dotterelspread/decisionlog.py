"""Structured lines on standard output, one for each decision of a process.

The volume is bounded, and a reader that does not keep up loses lines, not time.
"""

import contextlib
import os
import sys
import time
from contextlib import contextmanager

import msgspec

from .counters import counters

__all__ = ["DecisionLog", "log_decision", "open_decision_log"]

#: Lines a second that are written on average, and at once after a quiet time.
MAX_LINES_PER_S = 200.0
MAX_BURST_LINES = 1000.0


class DecisionLog:
    """Writes lines within a budget; use the one that `open_decision_log` sets.

    Parameters
    ----------
    write : callable
        Takes the bytes of a line and must not block; may raise BlockingIOError.
    clock : callable
        Seconds that only go up.
    wall_clock : callable
        Seconds since 1970.
    """

    __slots__ = (
        "_budget",
        "_clock",
        "_fields",
        "_refilled_s",
        "_wall",
        "_write",
        "lost",
    )

    def __init__(self, write, clock=time.monotonic, wall_clock=time.time, **fields):
        self._write = write
        self._clock = clock
        self._wall = wall_clock
        self._fields = fields
        self._budget = MAX_BURST_LINES
        self._refilled_s = clock()
        #: Lines that were dropped since the last one was written.
        self.lost = 0

    def write(self, message, fields):
        """Write a line, or count it as lost."""
        now_s = self._clock()
        refill = (now_s - self._refilled_s) * MAX_LINES_PER_S
        self._budget = min(MAX_BURST_LINES, self._budget + refill)
        self._refilled_s = now_s
        if self._budget < 1:
            self.lost += 1
            counters.add("lost_log_lines")
            return
        self._budget -= 1
        line = {"at": round(self._wall(), 3), "message": message}
        line |= self._fields | fields
        if self.lost:
            line["lost_lines"] = self.lost
        try:
            self._write(msgspec.json.encode(line) + b"\n")
        except BlockingIOError:
            self.lost += 1
            counters.add("lost_log_lines")
        else:
            self.lost = 0


_current = DecisionLog(lambda data: None)


def log_decision(message, **fields):
    """Log a decision: what was decided, for what, by which inputs."""
    _current.write(message, fields)


@contextmanager
def open_decision_log(**fields):
    """Write this process's lines to standard output while the block runs.

    Parameters
    ----------
    **fields
        Values that stand in each line, such as the instance's id.
    """
    global _current
    previous = _current
    fd = sys.stdout.fileno()
    with contextlib.suppress(OSError):
        os.set_blocking(fd, False)
    _current = DecisionLog(lambda data: os.write(fd, data), **fields)
    try:
        yield _current
    finally:
        _current = previous
