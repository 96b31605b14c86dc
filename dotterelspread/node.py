"""The structure of a daemon process: parts that share an event loop, a log and peers.

A part holds the state of one component. Its events are passed to `reduce`, and the
resulting effects are performed by a `singledispatch` method of the part.
"""

import asyncio
import time

from .jsonlog import log_fault

__all__ = ["Node", "Part", "boottime_s"]


def boottime_s():
    """Return the event clock in seconds; it advances while the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Part:
    """Base class of the components of a process.

    Subclasses set ``state`` and define `perform`; they override the other methods
    that they need.
    """

    def __init__(self, node):
        self.node = node
        self.state = None

    def perform(self, effect):
        """Perform ``effect``."""
        raise NotImplementedError

    def handlers_by_method(self):
        """Return the coroutine functions that handle peers' calls, by method."""
        return {}

    async def run(self):
        """Run the part until cancelled; the default returns immediately."""

    def dispatch(self, event):
        """Apply ``event`` to the part's state and perform the effects."""
        self.node.dispatch(event, self.state, self.perform)


class Node:
    """A daemon process and the services its parts share.

    Parameters
    ----------
    settings : DaemonSettings
    incarnation : int
        Increases with each start of the process.
    log_client : LogClient
    pool : PeerPool
    telemetry : Telemetry
    reducer : callable
        ``reduce``: maps an event and a state to a list of effects.
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
        """Return the time on the event clock, in seconds."""
        return boottime_s()

    def dispatch(self, event, state, perform):
        """Reduce an event and perform its effects in order."""
        for effect in self._reduce(event, state):
            perform(effect)

    def spawn(self, coroutine):
        """Run a coroutine as a background task, cancelled when the node closes."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._finish)
        return task

    def handlers_by_method(self):
        """Return the handlers of all parts for peers' calls, by method."""
        handlers = {}
        for part in self.parts:
            handlers.update(part.handlers_by_method())
        return handlers

    async def run(self):
        """Run all parts; a failure of one ends the process."""
        async with asyncio.TaskGroup() as group:
            for part in self.parts:
                group.create_task(part.run())

    async def close(self):
        """Cancel all background tasks and wait for them."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _finish(self, task):
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.telemetry.count("internal_errors")
            log_fault("internal error", repr(task.exception()))
