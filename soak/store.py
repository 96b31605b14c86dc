"""The log store of a soak: groups whose members expire, and outages."""

import asyncio
import json

from dotterelspread.h1server import H1Response
from tests.builders_platform import StoreStandIn

__all__ = ["SoakStore"]

#: Share of the writes that are carried out without a reply while replies are lost.
LOST_SHARE = 0.4
#: Seconds for which a call of a silent store is kept.
SILENCE_S = 5.0


class SoakStore(StoreStandIn):
    """A store for several processes; `mode` makes it fail for all of them.

    Parameters
    ----------
    rng : random.Random
    """

    def __init__(self, rng):
        super().__init__()
        self.rng = rng
        #: ``serve``, ``busy``, ``silent``, ``lost`` or ``slow``.
        self.mode = "serve"
        #: Addresses under which others reach processes, by the ones that they tell;
        #: both have one length.
        self.outer_by_address = {}
        self._ends_by_member = {}
        self._holder = ""
        self._generation = 1

    async def handle(self, request):
        """Answer a call, or fail as the mode says."""
        if self.mode == "busy":
            return H1Response(503)
        if self.mode == "silent":
            await asyncio.sleep(SILENCE_S)
            return H1Response(503)
        if self.mode == "slow":
            await asyncio.sleep(self.rng.uniform(0.1, 0.4))
        for address, outer in self.outer_by_address.items():
            request.body = request.body.replace(address.encode(), outer.encode())
        reply = await super().handle(request)
        is_write = request.path == "/api/log-append"
        if self.mode == "lost" and is_write and self.rng.random() < LOST_SHARE:
            await asyncio.sleep(SILENCE_S)
        return reply

    async def do_log_join(self, request):
        """Keep a member; the only partition goes to the first that did not expire."""
        body = json.loads(request.body)
        now_s = asyncio.get_running_loop().time()
        self._ends_by_member[body["Member"]] = now_s + body["TtlMs"] / 1000
        alive = [m for m, end_s in self._ends_by_member.items() if end_s > now_s]
        if self._holder not in alive:
            self._deal(alive)
        parts = [[body["Topics"][0], 0, 0]] if self._holder == body["Member"] else []
        return _json_response({"Generation": self._generation, "parts": parts})

    async def do_log_leave(self, request):
        """Give up a membership."""
        member = json.loads(request.body)["Member"]
        self._ends_by_member.pop(member, None)
        if self._holder == member:
            self._holder = ""
        return _json_response({})

    def rebalance(self):
        """Deal the partition anew without any reason."""
        self._deal(list(self._ends_by_member))

    def _deal(self, members):
        self._holder = self.rng.choice(members) if members else ""
        self._generation += 1


def _json_response(values):
    return H1Response(200, json.dumps(values).encode())
