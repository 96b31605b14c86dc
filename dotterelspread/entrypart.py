"""The part of an entry that sends callers' requests to instances."""

import asyncio
import random
import time
from functools import singledispatchmethod

from .claimsnapshot import ClaimSnapshotTimer
from .entrycore import EntryState
from .entryevents import (
    AnswerReceived,
    AppendClaimRecord,
    AppendFailed,
    AttemptLost,
    ClaimRead,
    ClaimsTruncated,
    EntryConfigured,
    EntryTick,
    EvacuationsChanged,
    OpenNewConnection,
    QueryAnswer,
    QueryAnswered,
    QueryLost,
    QueryPending,
    RequestArrived,
    Respond,
    SendRun,
)
from .entrystate import EntryLocation
from .gen.peer.ttypes import AnswerQuery, RunRequest
from .log import TruncatedError
from .logclient import REPLICA_READ_WAIT_S, AppendError
from .node import Part
from .peer import PeerError, PeerUnsentError
from .record import ClaimsSnapshot
from .wire import MS_PER_S, load_from_message, outcome_from_message, to_headers

__all__ = ["EntryPart"]

#: Seconds between two timer events.
TICK_INTERVAL_S = 0.05
#: Seconds beyond its deadline for which an attempt's answer is still awaited.
LATE_ANSWER_TIMEOUT_S = 30.0
#: Seconds that an instance may hold an outcome query open (long polling).
QUERY_HOLD_S = 0.5
#: Total timeout of an outcome query.
QUERY_TIMEOUT_S = 1.0
#: Timeout of the append of a snapshot.
SNAPSHOT_TIMEOUT_S = 30.0


class EntryPart(Part):
    """Routes callers' requests and answers each exactly once.

    Parameters
    ----------
    node : Node
    members : MemberPart
        Resolves the addresses of instances.
    """

    def __init__(self, node, members):
        super().__init__(node)
        self._members = members
        settings = node.settings
        location = EntryLocation(
            settings.instance_id, settings.data_centre, settings.region
        )
        unix_offset_s = time.time() - node.now_s()
        self.state = EntryState.from_config(
            location, node.incarnation, node.incarnation, unix_offset_s
        )
        self._futures_by_id = {}
        rng = random.Random(node.incarnation)
        self._timers_by_stream = {
            stream: ClaimSnapshotTimer(settings.log_retention_s, rng, node.now_s())
            for stream in self.state.tables_by_stream
        }

    @property
    def in_progress(self):
        """Number of requests that have not been answered."""
        return len(self._futures_by_id)

    async def run(self):
        """Follow the claim streams and dispatch timer events until cancelled."""
        async with asyncio.TaskGroup() as group:
            for stream in self.state.tables_by_stream:
                group.create_task(self._follow_claims(stream))
            while True:
                await asyncio.sleep(TICK_INTERVAL_S)
                self.dispatch(EntryTick(self.node.now_s()))
                self._append_snapshots()

    def configure(self, version):
        """Apply a new `Version` of the configuration."""
        self.dispatch(EntryConfigured(self.node.now_s(), version.configuration))

    def evacuate(self, names):
        """Send no requests to instances in these data centres, and in no others."""
        self.dispatch(EvacuationsChanged(self.node.now_s(), names))

    async def handle(self, request):
        """Return the `Outcome` of a caller's request.

        Parameters
        ----------
        request : CallerRequest
        """
        now_s = self.node.now_s()
        future = asyncio.get_running_loop().create_future()
        self._futures_by_id[request.request_id] = future
        deadline_s = None if request.deadline_s is None else now_s + request.deadline_s
        event = RequestArrived(
            now_s,
            request.request_id,
            request.service,
            request.kind,
            deadline_s,
            request.key,
            request.fingerprint,
            len(request.body),
            request,
            request.urgency,
            request.labels,
        )
        self.dispatch(event)
        return await future

    @singledispatchmethod
    def perform(self, effect):
        """Perform ``effect``."""
        raise TypeError(f"unsupported effect type: {type(effect).__name__}")

    @perform.register
    def _(self, effect: Respond):
        future = self._futures_by_id.pop(effect.request_id, None)
        if future is not None and not future.done():
            future.set_result(effect.outcome)

    @perform.register
    def _(self, effect: SendRun):
        self.node.spawn(self._send(effect))

    @perform.register
    def _(self, effect: QueryAnswer):
        self.node.spawn(self._query_answer(effect))

    @perform.register
    def _(self, effect: OpenNewConnection):
        self.node.telemetry.count("connections_replaced")
        address = self._members.address(effect.instance_id)
        if address is not None:
            self.node.pool.replace_connection(address)

    @perform.register
    def _(self, effect: AppendClaimRecord):
        self.node.spawn(self._append(effect))

    async def _send(self, effect):
        address = self._members.address(effect.instance_id)
        if address is None:
            self.dispatch(self._lost(effect, sent=False))
            return
        if effect.attempt > 0:
            self.node.telemetry.count("retries")
        tracing = self.node.telemetry.tracing
        traceparent = effect.request.traceparent
        with tracing.span("entry.attempt", traceparent, to=effect.instance_id) as span:
            run = _run_request(effect, span.traceparent)
            timeout_s = effect.remaining_s + LATE_ANSWER_TIMEOUT_S
            try:
                answer = await self.node.pool.call(address, "run", run, timeout_s)
            except PeerUnsentError:
                event = self._lost(effect, sent=False)
            except PeerError:
                event = self._lost(effect, sent=True)
            else:
                outcome = outcome_from_message(answer, effect.instance_id)
                event = self._answered(effect, outcome, load_from_message(answer.load))
        self.dispatch(event)

    def _answered(self, effect, outcome, load):
        return AnswerReceived(
            self.node.now_s(),
            effect.request_id,
            effect.attempt,
            effect.instance_id,
            outcome,
            load,
        )

    def _lost(self, effect, sent):
        return AttemptLost(
            self.node.now_s(),
            effect.request_id,
            effect.attempt,
            effect.instance_id,
            sent,
        )

    async def _query_answer(self, effect):
        ids = (effect.request_id, effect.queried_id, effect.attempt, effect.instance_id)
        query = AnswerQuery(
            effect.queried_id,
            effect.incarnation,
            effect.fence,
            round(QUERY_HOLD_S * MS_PER_S),
        )
        address = self._members.address(effect.instance_id)
        if address is None:
            self.dispatch(QueryLost(self.node.now_s(), *ids))
            return
        try:
            answer = await self.node.pool.call(
                address, "answer", query, QUERY_TIMEOUT_S
            )
        except PeerError:
            self.dispatch(QueryLost(self.node.now_s(), *ids))
            return
        outcome = outcome_from_message(answer, effect.instance_id)
        load = load_from_message(answer.load)
        if outcome is None:
            self.dispatch(QueryPending(self.node.now_s(), *ids, load))
        else:
            self.dispatch(QueryAnswered(self.node.now_s(), *ids, outcome, load))

    async def _append(self, effect):
        try:
            await self.node.log_client.append(effect.stream, effect.record)
        except AppendError as error:
            failed = AppendFailed(self.node.now_s(), effect.request_id, error.is_absent)
            self.dispatch(failed)

    def _append_snapshots(self):
        now_s = self.node.now_s()
        for stream, table in self.state.tables_by_stream.items():
            timer = self._timers_by_stream[stream]
            if timer.is_due(now_s, table):
                timer.restart(now_s)
                self.node.spawn(self._append_snapshot(stream, table.snapshot()))

    async def _append_snapshot(self, stream, snapshot):
        try:
            await self.node.log_client.append(stream, snapshot, SNAPSHOT_TIMEOUT_S)
        except AppendError:
            self.node.telemetry.count("snapshots_unwritten")

    async def _follow_claims(self, stream):
        position = 0
        while True:
            try:
                follow = self.node.log_client.follow(
                    stream, position, wait_s=REPLICA_READ_WAIT_S
                )
                async for batch in follow:
                    self._apply_claims(stream, batch)
                    position = batch.next_offset
            except TruncatedError as error:
                position = error.oldest
                truncated = ClaimsTruncated(self.node.now_s(), stream, position)
                self.dispatch(truncated)

    def _apply_claims(self, stream, batch):
        for entry in batch.entries:
            if isinstance(entry.envelope.record, ClaimsSnapshot):
                self._timers_by_stream[stream].restart(self.node.now_s())
            self.dispatch(
                ClaimRead(
                    self.node.now_s(), stream, entry.offset, entry.envelope.record
                )
            )


def _run_request(effect, traceparent):
    request = effect.request
    return RunRequest(
        request_id=effect.request_id,
        incarnation=effect.incarnation,
        service_name=effect.service_name,
        kind=effect.kind,
        method=request.method,
        path=request.path,
        headers=to_headers(request.headers),
        body=request.body,
        remaining_ms=max(0, round(effect.remaining_s * MS_PER_S)),
        idempotent=effect.idempotent,
        traceparent=traceparent,
        urgency=effect.urgency,
    )
