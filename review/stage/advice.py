"""Stand-in of the policy service, which tells which workers may run a step."""

import asyncio
import json
import time

from .web import encode_json

__all__ = ["Advice"]


class Advice:
    """Policy service that allows every worker.

    Parameters
    ----------
    decide_ms, period_ms : int
        Time of an answer, and what each worker that is named adds to it.
    valid_ms : int
        Time for which a ticket is valid from the answer on.
    note : callable
        Called with a text for each answer.
    """

    def __init__(self, decide_ms, period_ms, valid_ms, note):
        self._decide_ms = decide_ms
        self._period_ms = period_ms
        self._valid_ms = valid_ms
        self._note = note
        # The service handles one call of a machine at a time.
        self._turn = asyncio.Lock()

    def queue_fields(self):
        """Return the fields of a queue with this policy."""
        timing = {"DecideMs": self._decide_ms, "PeriodMs": self._period_ms}
        return {"Advice": timing | {"ValidMs": self._valid_ms}}

    async def handle(self, request):
        """Answer a call."""
        workers = json.loads(request.body)["Workers"]
        began_s = time.monotonic()
        async with self._turn:
            delay_ms = self._decide_ms + self._period_ms * len(workers)
            await asyncio.sleep(delay_ms / 1000)
        waited_s = time.monotonic() - began_s
        self._note(f"advice on {len(workers)} workers, after {waited_s:.2f} s")
        rows = [[worker, f"ticket-{worker}"] for worker in workers]
        return 200, encode_json({"Allowed": rows, "ValidMs": self._valid_ms})
