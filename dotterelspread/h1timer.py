"""Timer of a connection, of which one state at a time is timed."""

__all__ = ["StateTimer"]


class StateTimer:
    """Calls one function after a time, unless it is set again or cancelled.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
    """

    __slots__ = ("_handle", "_loop", "on_time_up")

    def __init__(self, loop):
        self._loop = loop
        self._handle = None
        #: The function to be called; None when the timer is not set.
        self.on_time_up = None

    def set(self, timeout_s, on_time_up):
        """Call ``on_time_up`` in ``timeout_s`` seconds instead of what was set."""
        if self._handle is not None:
            self._handle.cancel()
        self.on_time_up = on_time_up
        self._handle = self._loop.call_later(timeout_s, on_time_up)

    def cancel(self):
        """Call nothing."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = self.on_time_up = None
