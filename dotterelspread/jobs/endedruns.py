"""Ended runs that a worker lists, until the agent's leader has acknowledged them."""

import asyncio
from contextlib import suppress
from dataclasses import replace

from .replybounds import MAX_CHECKPOINT_BYTES, log_oversized, size_of

__all__ = ["EndedRuns"]


class EndedRuns:
    """Ended runs of one incarnation of a worker that are not acknowledged."""

    __slots__ = ("_acknowledgement", "acknowledged", "by_number")

    def __init__(self):
        #: Number up to which the leader has acknowledged them.
        self.acknowledged = 0
        self.by_number = {}
        self._acknowledgement = asyncio.Event()

    def clear(self):
        """Forget the runs of an earlier incarnation, whose numbers mean nothing now."""
        self.acknowledged = 0
        self.by_number.clear()

    def add(self, ended):
        """Add the runs of a listing; tell whether any of them is new."""
        added = [
            end
            for end in ended
            if end.number > self.acknowledged and end.number not in self.by_number
        ]
        self.by_number.update((end.number, _bounded(end)) for end in added)
        return bool(added)

    def acknowledge(self, number):
        """Discard the runs up to a number; tell whether it was not acknowledged yet."""
        if number <= self.acknowledged:
            return False
        self.acknowledged = number
        for known in [n for n in self.by_number if n <= number]:
            del self.by_number[known]
        self._acknowledgement.set()
        return True

    async def wait_acknowledged(self, timeout_s):
        """Wait until the leader acknowledges runs."""
        self._acknowledgement.clear()
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._acknowledgement.wait()


def _bounded(end):
    """Return an ended run without its checkpoint if that is too long for a reply."""
    if size_of(end.checkpoint) <= MAX_CHECKPOINT_BYTES:
        return end
    log_oversized(end)
    return replace(end, checkpoint="")
