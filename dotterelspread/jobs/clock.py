"""Clocks of a process; tests replace them by virtual time."""

import asyncio
import time

__all__ = ["boottime_ms", "elapsed_s", "now_s", "suspended_s", "wall_ms"]


def now_s():
    """Return seconds on the event loop's monotonic clock."""
    return asyncio.get_running_loop().time()


def suspended_s():
    """Return the seconds of suspension of the instance, which `now_s` omits."""
    elapsed_ns = time.clock_gettime_ns(time.CLOCK_BOOTTIME)
    return (elapsed_ns - time.clock_gettime_ns(time.CLOCK_MONOTONIC)) / 1e9


def elapsed_s():
    """Return seconds on a monotonic clock that includes suspensions.

    For time limits on which other processes rely, such as leases.
    """
    return now_s() + suspended_s()


def boottime_ms():
    """Return milliseconds since boot, including suspensions of the instance."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


def wall_ms():
    """Return the wall clock time in milliseconds since 1970."""
    return time.time_ns() // 1_000_000
