"""Calls to the processes of a site on loopback, as by their platform and callers."""

import asyncio
import json

from dotterelspread.h1client import H1Client, H1Error
from tests.builders_platform import HEARTBEAT, JOB

__all__ = ["CALLER", "JOB_PATH", "SiteClients", "wait_until"]

JOB_PATH = "/lohu930/5c0e7a21d94b36f8"
CALLER = {"Host": "nony24.example", "X-Deadline-Ms": "3000"}
HEARTBEAT_PATH = "/api/Instances.Heartbeat/i-1"


class SiteClients:
    """Clients of an entry and an agent.

    Parameters
    ----------
    site : namespace
        With `hosts` by role, the `ports` d (callers), e (readiness), f (registry), and
        the `worker`.
    """

    def __init__(self, site):
        entry, agent = site.hosts["entry"], site.hosts["agent"]
        self._worker = site.worker
        self.front = H1Client(f"{entry}:{site.ports.d}")
        self._ready = H1Client(f"{entry}:{site.ports.e}")
        self._control = H1Client(f"{agent}:{site.ports.f}")

    async def is_ready(self):
        """Return whether the entry says that it is ready."""
        return await _status(self._ready, "/api/readyz") == 200

    async def is_registered(self):
        """Return whether the agent takes a heartbeat of its worker."""
        told = {"Service": "svc", "born": self._worker.born_ms}
        beat = json.dumps(HEARTBEAT | told).encode()
        return await _status(self._control, HEARTBEAT_PATH, "POST", beat) == 200

    async def is_complete(self):
        """Return whether the entry shows the job as complete."""
        reply = await self.front.call("GET", JOB_PATH, 3.0, headers=CALLER)
        return reply.status == 200 and b"complete" in reply.body

    async def expect_accepted(self):
        """Submit the job and expect that it is accepted."""
        body = json.dumps(JOB).encode()
        reply = await self.front.call("POST", JOB_PATH, 3.0, body, CALLER)
        assert reply.status == 200


async def _status(client, path, method="GET", body=b""):
    try:
        return (await client.call(method, path, 2.0, body)).status
    except H1Error:
        # The process does not listen yet.
        return 0


async def wait_until(condition, within_s=15.0):
    """Wait until a coroutine function returns true, or fail."""
    deadline_s = asyncio.get_running_loop().time() + within_s
    while asyncio.get_running_loop().time() < deadline_s:
        if await condition():
            return
        await asyncio.sleep(0.1)
    raise AssertionError("condition not met in time")
