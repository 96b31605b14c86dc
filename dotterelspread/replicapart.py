"""Process component that maintains a replica of the state of one stream."""

import asyncio
import random

from .gen.peer.ttypes import StateQuery, StateReply
from .logclient import REPLICA_READ_WAIT_S, AppendError
from .node import Part
from .peer import PeerError
from .record import RecordError
from .snapshot import (
    AppendRecord,
    QueryState,
    Replica,
    ReplicaTicked,
    StateOffered,
    decode_state,
    encode_state,
)

__all__ = ["ReplicaPart", "append_until_written"]

#: Interval in seconds between checks whether a snapshot is due.
SNAPSHOT_CHECK_INTERVAL_S = 1.0
#: Delay in seconds before a failed append or query is retried.
RETRY_INTERVAL_S = 1.0
#: Timeout in seconds of a state query to a peer.
QUERY_TIMEOUT_S = 2.0
#: Number of peers queried for a state in one round.
MAX_QUERIED_PEERS = 3


async def append_until_written(node, stream, record):
    """Append a record, retrying for as long as appends fail."""
    while True:
        try:
            return await node.log_client.append(stream, record)
        except AppendError:
            await asyncio.sleep(RETRY_INTERVAL_S)


class ReplicaPart(Part):
    """Follows one stream, serves its state to peers and appends its snapshots.

    Parameters
    ----------
    node : Node
    stream : str
    make_state : callable
        Returns an empty `StreamState`.
    on_effect : callable
        Called with the effects of the state itself.
    wait_s : float
        Seconds that an idle read of the stream waits.
    rechecks : bool
        As for `StreamReader`.
    """

    def __init__(
        self,
        node,
        stream,
        make_state,
        on_effect,
        wait_s=REPLICA_READ_WAIT_S,
        rechecks=False,
    ):
        super().__init__(node)
        self._on_effect = on_effect
        self._wait_s = wait_s
        self._rechecks = rechecks
        self._query_task = None
        #: Callable that returns the addresses of peers that may have the state.
        self.find_addresses = tuple
        retention_s = node.settings.log_retention_s
        rng = random.Random(node.incarnation)
        self.state = Replica(stream, make_state, retention_s, rng)

    async def run(self):
        """Follow the stream until cancelled."""
        async with asyncio.TaskGroup() as group:
            log_client = self.node.log_client
            keep = log_client.keep(
                self.state, self.dispatch, self._wait_s, self._rechecks
            )
            group.create_task(keep)
            while True:
                await asyncio.sleep(SNAPSHOT_CHECK_INTERVAL_S)
                self.dispatch(ReplicaTicked(self.node.now_s()))

    def perform(self, effect):
        """Perform ``effect``."""
        if isinstance(effect, AppendRecord):
            append = append_until_written(self.node, effect.stream, effect.record)
            self.node.spawn(append)
        elif isinstance(effect, QueryState):
            if self._query_task is None or self._query_task.done():
                self._query_task = self.node.spawn(self._query_peers())
        else:
            self._on_effect(effect)

    def state_reply(self):
        """Return the state as a `StateReply`; its offset is -1 if it is incomplete."""
        snapshot = self.state.to_snapshot()
        if snapshot is None:
            return StateReply(as_of=-1, state=b"")
        return StateReply(as_of=snapshot.as_of, state=encode_state(snapshot))

    async def _query_peers(self):
        while not self.state.is_complete:
            for address in tuple(self.find_addresses())[:MAX_QUERIED_PEERS]:
                await self._query_peer(address)
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def _query_peer(self, address):
        query = StateQuery(self.state.stream)
        try:
            reply = await self.node.pool.call(address, "state", query, QUERY_TIMEOUT_S)
            if reply.as_of is None or reply.as_of < 0:
                return
            snapshot = decode_state(reply.state or b"")
        except (PeerError, RecordError):
            return
        self.dispatch(StateOffered(self.node.now_s(), snapshot))
