"""Targets of the faults of the soak test, of which each has one fault at a time."""

import asyncio
import signal
from contextlib import contextmanager

__all__ = ["choose_healthy", "kill_processes", "mark_faulty"]


@contextmanager
def mark_faulty(targets):
    """Keep other faults from the targets while the context is open."""
    for target in targets:
        target.has_fault = True
    try:
        yield
    finally:
        for target in targets:
            target.has_fault = False


def choose_healthy(site, targets, most=1):
    """Return a random choice of the targets that no other fault impairs."""
    free = [target for target in targets if not target.has_fault]
    count = min(len(free), site.rng.randint(1, most))
    return site.rng.sample(free, count)


async def kill_processes(processes):
    """Kill processes at the same time; each is restarted when it has exited."""
    with mark_faulty(processes):
        for process in processes:
            process.signal(signal.SIGKILL)
        await asyncio.sleep(1.0)
