"""The part of a process that announces it and knows the other processes."""

import asyncio

from .entryevents import MemberGone, MemberSeen
from .gen.peer.ttypes import Load
from .log import TruncatedError
from .logclient import AppendError
from .node import Part
from .record import InstanceAnnounced, InstanceDraining, InstanceLeft

__all__ = ["MemberPart"]

STREAM = "membership"
#: Seconds before an announcement that failed is tried again.
RETRY_S = 1.0


class MemberPart(Part):
    """Follows the stream of members, and announces this process there.

    Parameters
    ----------
    node : Node
    announced : InstanceAnnounced
        Of this process.
    """

    def __init__(self, node, announced):
        super().__init__(node)
        self.announced = announced
        self.announced_by_id = {}
        self.draining_ids = set()
        self._listeners = []

    def on_event(self, listener):
        """Call ``listener`` with each `MemberSeen` and `MemberGone`."""
        self._listeners.append(listener)

    def handlers_by_method(self):
        """Return the handlers of calls on members."""
        return {"drain": self._drain}

    async def run(self):
        """Announce this process and follow the stream until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follow())
            group.create_task(self._append(self.announced))

    async def drain(self):
        """Tell all that this process leaves."""
        ids = (self.announced.instance_id, self.announced.incarnation)
        self.node.spawn(self._append(InstanceDraining(*ids)))

    def agents_of_cell(self, cell):
        """Return the announcements of the agents in a cell."""
        return [
            announced
            for announced in self.announced_by_id.values()
            if announced.cell == cell and announced.role == "agent"
        ]

    def cells(self):
        """Return the names of the cells that have agents."""
        agents = self.announced_by_id.values()
        return sorted({announced.cell for announced in agents if announced.cell})

    async def _append(self, record):
        while True:
            try:
                await self.node.log_client.append(STREAM, record)
                return
            except AppendError:
                await asyncio.sleep(RETRY_S)

    async def _drain(self, request):
        self.node.spawn(self.drain())
        return Load(draining=True)

    async def _follow(self):
        position = 0
        while True:
            try:
                async for batch in self.node.log_client.follow(STREAM, position):
                    for entry in batch.entries:
                        self._take(entry.envelope.record)
                    position = batch.next_offset
            except TruncatedError as error:
                position = error.oldest

    def _take(self, record):
        if isinstance(record, InstanceAnnounced):
            self.announced_by_id[record.instance_id] = record
            self.draining_ids.discard(record.instance_id)
            self._tell(record)
        known = self.announced_by_id.get(getattr(record, "instance_id", ""))
        if known is None or known.incarnation != record.incarnation:
            return
        if isinstance(record, InstanceDraining):
            self.draining_ids.add(record.instance_id)
            self._tell(known)
        if isinstance(record, InstanceLeft):
            del self.announced_by_id[record.instance_id]
            gone = MemberGone(self.node.now_s(), known.instance_id, known.incarnation)
            for listener in self._listeners:
                listener(gone)

    def _tell(self, announced):
        if announced.role != "agent":
            return
        seen = MemberSeen(
            self.node.now_s(),
            announced.instance_id,
            announced.incarnation,
            announced.peer_address,
            announced.data_centre,
            announced.region,
            announced.services,
            announced.slots,
            announced.instance_id in self.draining_ids,
        )
        for listener in self._listeners:
            listener(seen)
