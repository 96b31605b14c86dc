"""The workers of a soak, over HTTP behind a relay that can fail."""

import asyncio
import json

from dotterelspread.h1client import H1Client, H1Error
from dotterelspread.jobs import clock
from dotterelspread.jobs.workeradapter import StartAnswer
from tests.builders_platform import HEARTBEAT, WorkerStandIn
from tests.builders_worker import VirtualWorker

__all__ = ["SoakWorker"]

BEAT_INTERVAL_S = 0.5
#: Seconds after the acknowledgement of a drain in which starts are still allowed.
DRAIN_S = 2.5


class SoakWorker(VirtualWorker):
    """A worker that announces itself to its agent and may crash, drain and return.

    Parameters
    ----------
    site : SoakSite
    number : int
    control_address : str
        Where its agent takes heartbeats.
    """

    def __init__(self, site, number, control_address):
        self._drained_s = None
        self._control = H1Client(control_address)
        self.relay = None
        super().__init__(site, number)

    async def handle(self, request):
        """Answer a call of the agent."""
        return await WorkerStandIn(self).handle(request)

    def _start(self, incarnation, order, until_ms):
        is_new = order.task_id not in self.running
        answer = super()._start(incarnation, order, until_ms)
        if is_new and answer is StartAnswer.RUNNING and self._is_long_drained:
            text = f"{order.task_id} starts late on {self.worker_id}, which leaves"
            self.fleet.checker.violations.append(text)
        return answer

    @property
    def _is_long_drained(self):
        drained_s = self._drained_s
        return drained_s is not None and clock.now_s() - drained_s > DRAIN_S

    async def run(self):
        """Announce the worker, for good."""
        while True:
            if self.is_up:
                await self.announce()
            await asyncio.sleep(BEAT_INTERVAL_S)

    async def announce(self):
        """Send one heartbeat."""
        told = self.announcement()
        beat = HEARTBEAT | {
            "Service": told.service,
            "State": "draining" if told.is_draining else "ready",
            "Sequence": told.sequence,
            "Labels": ["a", told.rack],
            "Capacity": {
                "Cpu": told.capacity.millicores,
                "MemMb": told.capacity.memory_mb,
            },
            "born": told.born_ms,
        }
        if await self._tell("Heartbeat", beat) and told.is_draining:
            self._drained_s = self._drained_s or clock.now_s()

    async def _tell(self, call, body):
        path = f"/api/Instances.{call}/{self.worker_id}"
        try:
            reply = await self._control.call(
                "POST", path, 1.0, json.dumps(body).encode()
            )
        except H1Error:
            # The agent is down; the next heartbeat tells it.
            return False
        return reply.status == 200

    async def crash_and_return(self, down_s, is_same):
        """Lose all runs, and come back after a time, perhaps under a new id."""
        self.crash()
        self.relay.apply("cut")
        await asyncio.sleep(down_s)
        if not is_same:
            self.worker_id = f"i-{self.number}-{self.incarnation}"
        self.is_draining = False
        self._drained_s = None
        self.begin_incarnation()
        self.relay.apply("pass")

    async def drain_and_return(self):
        """Leave as planned; another worker takes the place."""
        self.is_draining = True
        await asyncio.sleep(DRAIN_S + 1.0)
        await self._tell("Deregister", {})
        await self.crash_and_return(1.0, is_same=False)
