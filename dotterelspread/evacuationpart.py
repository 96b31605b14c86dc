"""Follows the evacuated data centres in a process, and appends operators' changes."""

import asyncio
import random
import time
import uuid

from .evacuationrecord import EvacuationRequested, EvacuationSnapshot
from .evacuations import (
    STREAM,
    CentresRead,
    EvacuationFate,
    EvacuationsInForce,
    EvacuationsOffered,
    EvacuationsRead,
    EvacuationState,
    reconcile,
)
from .gen.peer.ttypes import StateQuery
from .jsonlog import log_change
from .logclient import AppendError
from .node import Part
from .outcome import RefusalReason, Refused, Unknown
from .peer import PeerError
from .record import RecordError
from .replicapart import ReplicaPart
from .snapshot import decode_state

__all__ = [
    "AGENT_READ_WAIT_S",
    "ENTRY_READ_WAIT_S",
    "MAX_AGE_S",
    "EvacuationPart",
]

#: Seconds that an idle read waits: each costs some 450 bytes, and processes may spend
#: 2 KB/s on all control. An entry may wait longer, since agents judge starts.
AGENT_READ_WAIT_S = 10.0
ENTRY_READ_WAIT_S = 30.0
#: Seconds since the stream was read to its end, less the wait, after which a peer is
#: asked.
STALE_MARGIN_S = 1.0
#: Interval in seconds between checks whether a peer is to be asked.
CHECK_INTERVAL_S = 0.5
#: Timeout in seconds of a query to a peer.
QUERY_TIMEOUT_S = 1.0
#: Seconds since the stream was read to its end after which no task is started: one may
#: have been evacuated since. Claims need the log anyway.
MAX_AGE_S = 12.0
#: Longest interval in seconds between checks that the stream has the version in force.
MAX_RECONCILE_INTERVAL_S = 60.0
#: Limit in seconds for appending a change; reading it back may take as long again.
APPEND_TIMEOUT_S = 5.0
READ_BACK_POLL_INTERVAL_S = 0.02


class EvacuationPart(Part):
    """Keeps the evacuated data centres in force.

    While the stream can't be read, they come from peers.

    Parameters
    ----------
    node : Node
    read_wait_s : float
        Seconds that an idle read of the stream waits.
    """

    def __init__(self, node, read_wait_s):
        super().__init__(node)
        self._stale_after_s = read_wait_s + STALE_MARGIN_S
        self.state = EvacuationsInForce(node.now_s())
        #: Callable that returns the addresses of peers that may have the state.
        self.find_addresses = tuple
        self._change_listeners = []
        self.replica = ReplicaPart(
            node,
            STREAM,
            EvacuationState,
            self._take_stream_effect,
            read_wait_s,
            rechecks=True,
        )

    @property
    def names(self):
        """Names of the evacuated data centres."""
        return self.state.names

    @property
    def is_known(self):
        """Whether the process may start work according to the names."""
        return self.state.is_known(self.node.now_s(), self.replica.state.is_ready)

    @property
    def age_s(self):
        """Seconds since the stream was read to its end; infinite if it never was."""
        caught_up_s = self.replica.state.caught_up_s
        if caught_up_s is None:
            return float("inf")
        return self.node.now_s() - caught_up_s

    def on_change(self, listener):
        """Register a function to call with the names after each change of them."""
        self._change_listeners.append(listener)

    def find_withholding(self, data_centre):
        """Return why no task may be started in a data centre; empty if it may be."""
        if self.age_s > MAX_AGE_S:
            return f"the evacuated data centres have not been read for {MAX_AGE_S:g} s"
        return self.state.describe(data_centre)

    async def run(self):
        """Ask peers while the stream can't be read, and restore what it lost."""
        rng = random.Random(self.node.incarnation)
        reconcile_s = self.node.now_s() + _reconcile_delay_s(rng)
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if self.age_s > self._stale_after_s:
                await self._ask_peer()
            if self.node.now_s() >= reconcile_s:
                reconcile_s = self.node.now_s() + _reconcile_delay_s(rng)
                for effect in reconcile(self.replica.state, self.state):
                    self.replica.perform(effect)

    def perform(self, effect):
        """Log an `EvacuationsUpdated` and notify the listeners."""
        log_change(
            "evacuated data centres changed",
            version=self.state.version,
            evacuated=sorted(effect.names),
        )
        for listener in self._change_listeners:
            listener(effect.names)

    async def change(self, data_centre, is_evacuated, base_version, author):
        """Evacuate or restore a data centre.

        Returns
        -------
        EvacuationResult or Outcome
            An outcome when nothing was changed, or when that is not known.
        """
        record = EvacuationRequested(
            str(uuid.uuid4()),
            data_centre,
            is_evacuated,
            base_version,
            author,
            int(time.time()),
        )
        try:
            async with asyncio.timeout(2 * APPEND_TIMEOUT_S):
                offset = await self.node.log_client.append(
                    STREAM, record, APPEND_TIMEOUT_S
                )
                return await self._read_back(offset, record.change_id)
        except (AppendError, TimeoutError) as error:
            return _failure(error)

    async def _read_back(self, offset, change_id):
        stream_replica = self.replica.state
        while stream_replica.next_offset <= offset:
            await asyncio.sleep(READ_BACK_POLL_INTERVAL_S)
        result = stream_replica.state.result_of(change_id)
        if result.fate is EvacuationFate.UNKNOWN:
            return Unknown("the result of the change is not known")
        return result

    def _take_stream_effect(self, effect):
        if isinstance(effect, CentresRead):
            now_s = self.node.now_s()
            self.dispatch(EvacuationsRead(now_s, effect.version, effect.centres))

    async def _ask_peer(self):
        for address in tuple(self.find_addresses())[:1]:
            try:
                reply = await self.node.pool.call(
                    address, "state", StateQuery(STREAM), QUERY_TIMEOUT_S
                )
                self._take_state(reply)
            except (PeerError, RecordError):
                self.node.telemetry.count("evacuations_unread")

    def _take_state(self, reply):
        if reply.as_of is None or reply.as_of < 0:
            return
        snapshot = decode_state(reply.state or b"")
        if isinstance(snapshot, EvacuationSnapshot):
            now_s = self.node.now_s()
            offered = EvacuationsOffered(now_s, snapshot.version, snapshot.centres)
            self.dispatch(offered)


def _reconcile_delay_s(rng):
    return rng.uniform(MAX_RECONCILE_INTERVAL_S / 2, MAX_RECONCILE_INTERVAL_S)


def _failure(error):
    if isinstance(error, AppendError) and error.is_absent:
        detail = "the platform's log takes no records"
        return Refused(RefusalReason.STORE_UNAVAILABLE, detail, retry_after_s=5.0)
    return Unknown("the platform's log did not confirm the change")
