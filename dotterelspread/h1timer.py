"""Timer of a connection, of which one state at a time is timed."""

__all__ = ["StateTimer"]


class StateTimer:
    """Calls one function after a time, unless it is set again or cancelled.

    A connection sets its timer for each request. The event loop is asked only when the
    new time is earlier than the one that it already waits for.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
    """

    __slots__ = ("_due_s", "_handle", "_loop", "on_time_up")

    def __init__(self, loop):
        self._loop = loop
        self._due_s = 0.0
        self._handle = None
        #: The function to be called; None when the timer is not set.
        self.on_time_up = None

    def set(self, timeout_s, on_time_up):
        """Call ``on_time_up`` in ``timeout_s`` seconds instead of what was set."""
        self.on_time_up = on_time_up
        self._due_s = due_s = self._loop.time() + timeout_s
        if self._handle is None or self._handle.when() > due_s:
            self._wait()

    def cancel(self):
        """Call nothing until the timer is set again."""
        self.on_time_up = None

    def close(self):
        """Call nothing any more, and release the timer of the event loop."""
        self.on_time_up = None
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _wait(self):
        if self._handle is not None:
            self._handle.cancel()
        self._handle = self._loop.call_at(self._due_s, self._on_due)

    def _on_due(self):
        self._handle = None
        on_time_up = self.on_time_up
        if on_time_up is None:
            return
        if self._due_s > self._loop.time():
            self._wait()
            return
        self.on_time_up = None
        on_time_up()
