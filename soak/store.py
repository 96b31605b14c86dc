"""Log store of the soak test: groups whose members expire, and failure modes."""

import asyncio
import json

from dotterelspread.h1server import H1Response
from tests.builders_standins import StoreStandIn

__all__ = ["SoakStore"]

#: Topic of the configuration and of other keys that operators write.
OPERATORS_TOPIC = "keyed.op"
#: Ratio of the writes that are executed without a reply in the mode ``lost``.
LOST_REPLY_RATIO = 0.4
#: Time for which a call to a silent store gets no reply.
SILENT_CALL_S = 5.0


class SoakStore(StoreStandIn):
    """Store for several processes; `mode` sets how it fails for all of them.

    Parameters
    ----------
    rng : random.Random
    """

    def __init__(self, rng):
        super().__init__()
        self.rng = rng
        #: ``serve``, ``busy``, ``silent``, ``lost`` or ``slow``.
        self.mode = "serve"
        #: Relay addresses at which others reach processes, by the addresses that these
        #: announce; both have the same length, as they are replaced inside records.
        self.relay_address_by_address = {}
        self._expiry_by_member = {}
        #: Member to which the only partition of the group is assigned; may be empty.
        self.holder = ""
        self._generation = 1

    async def handle(self, request):
        """Handle a call, or fail according to the mode."""
        if self.mode == "busy":
            return H1Response(503)
        if self.mode == "silent":
            await asyncio.sleep(SILENT_CALL_S)
            return H1Response(503)
        if self.mode == "slow":
            await asyncio.sleep(self.rng.uniform(0.1, 0.4))
        for address, relay_address in self.relay_address_by_address.items():
            request.body = request.body.replace(
                address.encode(), relay_address.encode()
            )
        reply = await super().handle(request)
        is_write = request.path == "/api/log-append"
        if self.mode == "lost" and is_write and self.rng.random() < LOST_REPLY_RATIO:
            await asyncio.sleep(SILENT_CALL_S)
        return reply

    async def do_log_join(self, request):
        """Renew a membership; reassign the only partition if its owner has expired."""
        body = json.loads(request.body)
        now_s = asyncio.get_running_loop().time()
        self._expiry_by_member[body["Member"]] = now_s + body["TtlMs"] / 1000
        alive = [m for m, end_s in self._expiry_by_member.items() if end_s > now_s]
        if self.holder not in alive:
            self._assign(alive)
        parts = [[body["Topics"][0], 0, 0]] if self.holder == body["Member"] else []
        return _json_response({"Generation": self._generation, "parts": parts})

    async def do_log_leave(self, request):
        """Remove a member."""
        member = json.loads(request.body)["Member"]
        self._expiry_by_member.pop(member, None)
        if self.holder == member:
            self.holder = ""
        return _json_response({})

    def write_key(self, key, value):
        """Write a record of the operators' stream, whatever the mode."""
        record = bytes([len(key)]) + key.encode() + value
        self.records_by_topic.setdefault(OPERATORS_TOPIC, []).append(record)

    def rebalance(self):
        """Reassign the partition although no membership has changed."""
        self._assign(list(self._expiry_by_member))

    def _assign(self, members):
        self.holder = self.rng.choice(members) if members else ""
        self._generation += 1


def _json_response(values):
    return H1Response(200, json.dumps(values).encode())
