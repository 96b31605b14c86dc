"""Event loop on virtual time: waiting is instantaneous and runs are deterministic."""

import asyncio
import selectors

__all__ = ["run_virtually"]

#: Number of selects without progress after which a run counts as stuck.
MAX_IDLE_SELECT_COUNT = 1_000_000


class _VirtualSelector(selectors.DefaultSelector):
    """Advances the loop's time instead of waiting."""

    loop = None

    def select(self, timeout=None):
        ready = super().select(0)
        if ready:
            return ready
        if timeout is None:
            raise RuntimeError("deadlock: every task waits without a timeout")
        self.loop.virtual_s += max(timeout, 0)
        return ready


class _VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self):
        self.virtual_s = 1000.0
        selector = _VirtualSelector()
        selector.loop = self
        super().__init__(selector)

    def time(self):
        return self.virtual_s


def run_virtually(work):
    """Run a coroutine on a new loop on virtual time, and return its result."""
    loop = _VirtualLoop()
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(work)
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0.01))
        asyncio.set_event_loop(None)
        loop.close()
