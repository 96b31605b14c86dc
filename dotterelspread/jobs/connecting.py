"""Connects a leader to the processes that register in the node stream."""

import asyncio
from functools import partial

from ..decisionlog import log_decision
from ..processsettings import FleetRole
from .agentlink import AgentLink
from .journal import JournalError, JournalTruncatedError
from .leadernotices import announce_periodically
from .nodes import NODES_STREAM, decode_node

__all__ = ["NodeConnector"]

#: Longest time that a read of the node stream waits for new records.
NODES_POLL_TIMEOUT_S = 2.0
#: Delay before a failed call to the store is retried.
STORE_RETRY_INTERVAL_S = 0.3


class NodeConnector:
    """Polls each agent and notifies each entry during a term of the leader.

    Parameters
    ----------
    leader : Leader
    nodes : StreamSnapshot
        Snapshot of the node stream at the start of the term.
    """

    __slots__ = ("_leader", "_nodes")

    def __init__(self, leader, nodes):
        self._leader = leader
        self._nodes = nodes

    def connect_known(self):
        """Connect to the processes of the latest snapshot."""
        for record in self._nodes.records_by_key.values():
            self._connect(record)

    async def run(self):
        """Connect to processes as they register, until the term ends."""
        offset = self._nodes.end
        while True:
            try:
                tail = await self._leader.journal.follow(
                    NODES_STREAM, offset, NODES_POLL_TIMEOUT_S
                )
            except JournalTruncatedError:
                offset = await self._reread(offset)
            except JournalError as error:
                await self._wait_after(error)
            else:
                offset = tail.next_offset
                for record in tail.records:
                    self._connect(record)

    async def _reread(self, offset):
        """Return the end of a new snapshot, or ``offset`` if there is none."""
        try:
            self._nodes = await self._leader.journal.snapshot(NODES_STREAM)
        except JournalError as error:
            await self._wait_after(error)
            return offset
        self.connect_known()
        return self._nodes.end

    async def _wait_after(self, error):
        log_decision("nodes not read", error=str(error))
        await asyncio.sleep(STORE_RETRY_INTERVAL_S)

    def _connect(self, record):
        node = decode_node(record)
        leader = self._leader
        if node is None or node.peer_address in leader.links_by_address:
            return
        if node.peer_address == leader.settings.peer_address:
            return
        if node.role == FleetRole.AGENT:
            link = AgentLink(leader, node.peer_address)
            leader.links_by_address[node.peer_address] = link
            leader.agent_reach.expect(node.peer_address)
            leader.spawn("agent link", link.run, agent=node.peer_address)
        elif node.role == FleetRole.ENTRY:
            leader.links_by_address[node.peer_address] = None
            leader.grant_authority.entry_answers.expect(node.peer_address)
            announce = partial(announce_periodically, leader, node.peer_address)
            leader.spawn("leader notices", announce, entry=node.peer_address)
