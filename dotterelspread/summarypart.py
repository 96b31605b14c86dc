"""The part of an agent that appends summaries of its cell and tracks team quotas."""

import asyncio

from .celltask import TaskPhase
from .log import TruncatedError
from .logclient import REPLICA_READ_WAIT_S, AppendError
from .node import Part
from .placement import tie_break
from .quota import QuotaState, SummaryRead
from .record import CellSummary
from .resources import Resources
from .summary import SUMMARY_INTERVAL_S, summarize
from .teamgate import team_amounts

__all__ = ["SummaryPart"]

SUMMARY_STREAM = "summary"
#: Interval of checks whether a summary is due.
DUE_CHECK_INTERVAL_S = 1.0
#: Additional delay of each member of the cell over the one before it.
FALLBACK_DELAY_S = 2.0
APPEND_TIMEOUT_S = 5.0


class SummaryPart(Part):
    """Appends summaries of the agent's cell and follows those of all cells.

    The members of the cell have a fixed order. The first one appends the summaries; if
    none arrives in time, the next member appends one.

    Parameters
    ----------
    node : Node
    tasks : TaskPart
    """

    def __init__(self, node, tasks):
        super().__init__(node)
        self._tasks = tasks
        self._summarized_s = node.now_s()
        self.quota = None

    def configure(self, version):
        """Apply the teams of a new `Version`."""
        if self.quota is None:
            self.quota = QuotaState.from_config(version.configuration)
            self._tasks.state.quota = self.quota
        else:
            self.quota.configure(version.configuration)

    async def run(self):
        """Follow all summaries and append those of the cell, until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follow())
            while True:
                await asyncio.sleep(DUE_CHECK_INTERVAL_S)
                if self._is_due():
                    await self._summarize()

    def perform(self, effect):
        """Do nothing, since applying a summary has no effects."""

    def _is_due(self):
        state = self._tasks.state
        if (
            self.quota is None
            or state.member is None
            or state.buffered_records is not None
        ):
            return False
        ids = sorted(
            state.cell.members_by_id, key=lambda other: tie_break(SUMMARY_STREAM, other)
        )
        delay_s = ids.index(state.instance_id) * FALLBACK_DELAY_S
        waited_s = self.node.now_s() - self._summarized_s
        return waited_s >= SUMMARY_INTERVAL_S + delay_s

    async def _summarize(self):
        cell = self._tasks.state.cell
        capacity = Resources()
        for member in cell.members_by_id.values():
            if member.accepts_tasks:
                capacity = capacity + member.capacity
        record = summarize(
            self._tasks.state.stream,
            cell.next_offset,
            capacity,
            team_amounts(cell, TaskPhase.OWNED),
            team_amounts(cell, TaskPhase.PENDING),
        )
        try:
            await self.node.log_client.append(SUMMARY_STREAM, record, APPEND_TIMEOUT_S)
        except AppendError:
            self.node.telemetry.count("summaries_unwritten")

    async def _follow(self):
        position = 0
        while True:
            try:
                async for batch in self._read(position):
                    for entry in batch.entries:
                        self._apply_record(entry.offset, entry.envelope.record)
                    position = batch.next_offset
            except TruncatedError as error:
                # Only the latest summary of each cell matters, and those are kept.
                position = error.oldest

    def _read(self, position):
        log_client = self.node.log_client
        return log_client.follow(SUMMARY_STREAM, position, wait_s=REPLICA_READ_WAIT_S)

    def _apply_record(self, offset, record):
        if not isinstance(record, CellSummary):
            return
        if record.cell == self._tasks.state.stream:
            self._summarized_s = self.node.now_s()
        if self.quota is not None:
            event = SummaryRead(self.node.now_s(), offset, record)
            self.node.dispatch(event, self, self.perform)
