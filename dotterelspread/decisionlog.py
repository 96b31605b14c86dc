"""Structured log on standard output with one line per decision of the process.

The rate is limited and writes never block: a slow reader loses lines and does not delay
the process.
"""

import contextlib
import os
import sys
import time
from contextlib import contextmanager

import msgspec

from .counters import counters

__all__ = ["DecisionLog", "log_decision", "open_decision_log"]

#: Token bucket of the rate limit: refill rate and capacity.
MAX_LINES_PER_S = 200.0
MAX_BURST_LINES = 1000.0
#: Longest text of a field; input of others may be quoted there.
MAX_FIELD_CHARACTERS = 2000


class DecisionLog:
    """Rate-limited log; use the instance that `open_decision_log` installs.

    Parameters
    ----------
    write : callable
        Writes the bytes of a line without blocking; may raise BlockingIOError.
    clock : callable
        Monotonic clock in seconds.
    wall_clock : callable
        Seconds since the Unix epoch.
    **fields
        Values added to each line.
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
        """Write a line, or count it as lost when over the limit or blocked."""
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
            self._write(_encode(line) + b"\n")
        except BlockingIOError:
            self.lost += 1
            counters.add("lost_log_lines")
        else:
            self.lost = 0


def _encode(line):
    """Return a line as JSON; a field that cannot be encoded is written as text."""
    for name, value in line.items():
        if isinstance(value, str) and len(value) > MAX_FIELD_CHARACTERS:
            line[name] = value[:MAX_FIELD_CHARACTERS]
    try:
        return msgspec.json.encode(line)
    except (ValueError, TypeError, OverflowError):
        return msgspec.json.encode(
            {name: _encodable(value) for name, value in line.items()}
        )


def _encodable(value):
    """Return a value as it is, or as text if it cannot be encoded."""
    try:
        msgspec.json.encode(value)
    except (ValueError, TypeError, OverflowError):
        return ascii(value)[:MAX_FIELD_CHARACTERS]
    return value


_current = DecisionLog(lambda data: None)


def log_decision(message, **fields):
    """Log a decision with its subject and inputs as fields."""
    _current.write(message, fields)


@contextmanager
def open_decision_log(**fields):
    """Write this process's lines to standard output while the block runs.

    Parameters
    ----------
    **fields
        Values added to each line, such as the instance's id.
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
