"""Workers of the soak test, over HTTP behind a relay that can fail."""

import asyncio
import json

from dotterelspread.h1client import H1Client, H1Error
from dotterelspread.jobs import clock
from dotterelspread.jobs.workeradapter import StartAnswer
from tests.builders_platform import HEARTBEAT
from tests.builders_standins import WorkerStandIn
from tests.builders_worker import VirtualWorker

from .places import data_centre_of

__all__ = ["SoakWorker"]

HEARTBEAT_INTERVAL_S = 0.5
#: Time after the acknowledgement of a drain in which starts are still allowed.
DRAIN_GRACE_S = 2.5
#: Longest run on a worker that slows its runs down, so that all jobs can complete in
#: the time after the last fault.
MAX_RUN_S = 16.0


class SoakWorker(VirtualWorker):
    """Worker that sends heartbeats to its agent, and can crash, drain and restart.

    Parameters
    ----------
    site : SoakSite
    number : int
    control_address : str
        Address of its agent's registry.
    """

    def __init__(self, site, number, control_address):
        self._drained_s = None
        self._control = H1Client(control_address)
        self.relay = None
        #: Whether a fault is active on the worker; other faults then skip it.
        self.has_fault = False
        super().__init__(site, number)
        self.data_centre = data_centre_of(number)

    def begin_incarnation(self):
        """Restart with a new clock and without runs."""
        super().begin_incarnation()
        # The agent's HTTP client resets the arguments of a call on a new connection
        # itself; the worker applies all calls as they are.
        self.connected_incarnation = self.incarnation

    @property
    def remaining_s(self):
        """Sum of the times for which its runs still go on."""
        now_s = clock.now_s()
        return sum(run.end_s - now_s for run in self.running.values())

    async def handle(self, request):
        """Handle a call of the agent."""
        return await WorkerStandIn(self).handle(request)

    async def start(self, worker_id, token, order, until_ms):
        """Receive a start, which the worker may execute late."""
        order.evacuated_for_s = self.fleet.evacuations.start_delay_s(self.data_centre)
        return await super().start(worker_id, token, order, until_ms)

    def _start(self, worker_id, token, order, until_ms):
        is_new = order.task_id not in self.running
        answer = super()._start(worker_id, token, order, until_ms)
        if not is_new or answer is not StartAnswer.RUNNING:
            return answer
        run = self.running[order.task_id]
        run.end_s = min(run.end_s, run.started_s + MAX_RUN_S)
        self.fleet.evacuations.check_start(self, order.task_id, order.evacuated_for_s)
        if self._is_long_drained:
            text = f"{order.task_id} starts late on {self.worker_id}, which is draining"
            self.fleet.checker.violations.append(text)
        return answer

    @property
    def _is_long_drained(self):
        drained_s = self._drained_s
        return drained_s is not None and clock.now_s() - drained_s > DRAIN_GRACE_S

    async def run(self):
        """Send heartbeats until cancelled."""
        while True:
            if self.is_up:
                await self.announce()
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def announce(self):
        """Send one heartbeat."""
        told = self.announcement()
        heartbeat = HEARTBEAT | {
            "Service": told.service,
            "Zone": told.data_centre,
            "State": "draining" if told.is_draining else "ready",
            "Sequence": told.sequence,
            "Labels": ["a", told.rack],
            "Capacity": {
                "Cpu": told.capacity.millicores,
                "MemMb": told.capacity.memory_mb,
            },
            "born": told.born_ms,
        }
        if await self._post("Heartbeat", heartbeat) and told.is_draining:
            self._drained_s = self._drained_s or clock.now_s()

    async def _post(self, call, body):
        path = f"/api/Instances.{call}/{self.worker_id}"
        try:
            reply = await self._control.call(
                "POST", path, 1.0, json.dumps(body).encode()
            )
        except H1Error:
            # The agent is down; the next heartbeat repeats the announcement.
            return False
        return reply.status == 200

    async def crash_and_return(self, down_s, is_same):
        """Crash, and restart after a time with the same ID or a new one."""
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
        """Drain and deregister; another worker then takes the place."""
        self.is_draining = True
        await asyncio.sleep(DRAIN_GRACE_S + 1.0)
        await self._post("Deregister", {})
        await self.crash_and_return(1.0, is_same=False)
