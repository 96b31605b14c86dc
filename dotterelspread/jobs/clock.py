"""The clocks of a process; tests let them run on virtual time."""

import asyncio
import time

__all__ = ["boottime_ms", "elapsed_s", "now_s", "suspended_s", "wall_ms"]


def now_s():
    """Return seconds on the event loop's steady clock."""
    return asyncio.get_running_loop().time()


def suspended_s():
    """Return the seconds for which the instance was suspended, which `now_s` skips."""
    elapsed_ns = time.clock_gettime_ns(time.CLOCK_BOOTTIME)
    return (elapsed_ns - time.clock_gettime_ns(time.CLOCK_MONOTONIC)) / 1e9


def elapsed_s():
    """Return seconds on a steady clock that also counts suspensions.

    For what other processes may assume to be over after a time.
    """
    return now_s() + suspended_s()


def boottime_ms():
    """Return milliseconds that also count while the instance is suspended."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


def wall_ms():
    """Return the time of day in milliseconds since 1970."""
    return time.time_ns() // 1_000_000
