"""What every daemon process consists of: parts that share a loop, a log and peers.

A part holds the state of one concern. Its events go through `reduce`, and the effects
that come back are performed by a `singledispatch` function of the part.
"""

import asyncio
import time

from .jsonlog import log_fault

__all__ = ["Node", "Part", "boottime_s"]


def boottime_s():
    """Return seconds on the clock of events, which counts on while suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Part:
    """One concern of a process; base of the parts.

    Subclasses set ``state`` and define `perform`; they override the other methods
    that they need.
    """

    def __init__(self, node):
        self.node = node
        self.state = None

    def perform(self, effect):
        """Do what ``effect`` says."""
        raise NotImplementedError

    def handlers_by_method(self):
        """Return the coroutine functions that answer peers' calls."""
        return {}

    async def run(self):
        """Work until cancelled; return at once when there is nothing to do."""

    def dispatch(self, event):
        """Apply ``event`` to the part's state and perform the effects."""
        self.node.dispatch(event, self.state, self.perform)


class Node:
    """One daemon process.

    Parameters
    ----------
    settings : DaemonSettings
    incarnation : int
        Larger for each start of the process.
    log_client : LogClient
    pool : PeerPool
    telemetry : Telemetry
    reducer : callable
        ``reduce``; takes an event and a state and returns effects.
    """

    def __init__(self, settings, incarnation, log_client, pool, telemetry, reducer):
        self.settings = settings
        self.incarnation = incarnation
        self.log_client = log_client
        self.pool = pool
        self.telemetry = telemetry
        self.parts = []
        self._reduce = reducer
        self._tasks = set()

    def now_s(self):
        """Return seconds on the clock that events carry."""
        return boottime_s()

    def dispatch(self, event, state, perform):
        """Reduce one event and perform its effects in order."""
        for effect in self._reduce(event, state):
            perform(effect)

    def spawn(self, coroutine):
        """Run a coroutine beside the loop's other work until the process stops."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._finish)
        return task

    def handlers_by_method(self):
        """Return the handlers of all parts for peers' calls."""
        handlers = {}
        for part in self.parts:
            handlers.update(part.handlers_by_method())
        return handlers

    async def run(self):
        """Run all parts; the first that fails ends the process."""
        async with asyncio.TaskGroup() as group:
            for part in self.parts:
                group.create_task(part.run())

    async def close(self):
        """Cancel what was spawned."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _finish(self, task):
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.telemetry.count("internal_errors")
            log_fault("internal error", repr(task.exception()))
