"""State that an agent's task reducer keeps between events."""

from dataclasses import dataclass, field

from .cell import CellState
from .celltask import TaskPhase
from .configuration import Configuration
from .designation import DesignationTable
from .eviction import PressureControl
from .lease import LeaseWatch, owner_deadline_s
from .localtask import InFlight, LocalTask
from .placement import PlacementView
from .record import (
    InstanceAnnounced,
    OwnerRenewed,
    TaskClaimed,
    TaskEnded,
    TaskReleased,
)
from .resources import Resources
from .taskevent import AppendCellRecord
from .teamgate import TeamGate

__all__ = ["TaskState"]

#: Interval in seconds before the next append after one has failed.
APPEND_RETRY_INTERVAL_S = 0.5
#: Time in seconds without a report after which the worker counts as unreachable.
WORKER_REPORT_TIMEOUT_S = 10.0
#: Round trip assumed before the first measurement: seconds from sending an append until
#: it is read back.
INITIAL_ROUND_TRIP_S = 0.5
#: Time in seconds for which room freed for an urgent task is held for it.
FREED_ROOM_HOLD_S = 5.0
#: Interval in seconds between snapshots of a cell.
SNAPSHOT_INTERVAL_S = 600.0
#: Weight of a shorter measurement in the exponential smoothing of the round trip; a
#: longer one replaces the estimate at once.
ROUND_TRIP_SMOOTHING_RATIO = 0.2


@dataclass(slots=True)
class TaskState:
    """State of one agent's task reducer in one cell."""

    announcement: InstanceAnnounced
    #: Name of the cell's stream.
    stream: str
    cell: CellState = field(default_factory=CellState)
    configuration: Configuration = field(default_factory=Configuration)
    live_ids: frozenset | None = None
    locals_by_id: dict[str, LocalTask] = field(default_factory=dict)
    in_flight: list[InFlight] = field(default_factory=list)
    watch: LeaseWatch = field(default_factory=LeaseWatch)
    #: Time at which the latest renewal that has been read back was sent.
    renewed_s: float = float("-inf")
    #: Time before which nothing is appended, set after a failed append.
    retry_s: float = float("-inf")
    worker_reported_s: float = float("-inf")
    #: Time of the latest event for which effects were computed.
    clock_s: float = 0.0
    round_trip_s: float = INITIAL_ROUND_TRIP_S
    is_draining: bool = False
    #: Why no task is claimed or started; empty if tasks are.
    withheld: str = ""
    #: Time at which this agent sent the claim, by (task, epoch).
    claims_sent_s: dict = field(default_factory=dict)
    #: Measured amounts to record with the next renewal, by task.
    learned_by_id: dict[str, Resources] = field(default_factory=dict)
    designations: DesignationTable = field(default_factory=DesignationTable)
    #: Quotas of teams across all cells; None while they are unknown.
    quota: object = None
    #: Time at which an urgent task was first found unplaceable, by task.
    preemption_since_by_id: dict = field(default_factory=dict)
    #: (time, amount) of the room freed on this instance for an urgent task, by task.
    freed_room_by_id: dict = field(default_factory=dict)
    #: Whether reservations may shrink below the declared size to the measured use.
    is_reclaiming: bool = False
    pressure: PressureControl = field(default_factory=PressureControl)
    #: Checkpoints to record with the next renewal, by task.
    checkpoints_by_id: dict[str, str] = field(default_factory=dict)
    #: Time of the latest check for lapsed leases.
    lapses_checked_s: float = float("-inf")
    #: Time at which the latest snapshot of the cell was read.
    snapshot_s: float | None = None
    #: Interval in seconds between snapshots; must be well below the log's retention.
    snapshot_interval_s: float = SNAPSHOT_INTERVAL_S
    #: Time since which an instance has been believed dead, by instance.
    dead_since_by_id: dict[str, float] = field(default_factory=dict)
    #: Time at which a record that this agent has left was read.
    expelled_s: float = float("-inf")
    #: Records read while the state that precedes them is unknown; None once known.
    buffered_records: list | None = None

    @classmethod
    def from_announcement(cls, announcement, cell_name):
        """Return the initial state of an agent that joins the cell with this name.

        Parameters
        ----------
        announcement : InstanceAnnounced
            The agent's own announcement; its capacity bounds the tasks' reservations.
        cell_name : str
            Name of the cell's stream, such as ``cell.0``.
        """
        return cls(announcement, cell_name)

    @property
    def instance_id(self):
        """Id of the agent's instance."""
        return self.announcement.instance_id

    @property
    def incarnation(self):
        """Incarnation of the agent."""
        return self.announcement.incarnation

    @property
    def member(self):
        """The agent's own entry in the cell, or None while it has none."""
        member = self.cell.members_by_id.get(self.instance_id)
        if member is None or member.incarnation != self.incarnation:
            return None
        return member if member.is_present else None

    def designate(self, now_s):
        """Refresh the designations after a change of the cell or its live members."""
        view = PlacementView.from_cell(self.cell, self.configuration, self.live_ids)
        self.designations.refresh(now_s, view, self.gate())

    def is_alive(self, instance_id):
        """Return whether an instance is believed to be alive."""
        return self.live_ids is None or instance_id in self.live_ids

    def dead_for_s(self, now_s, instance_id):
        """Return how many seconds an instance has been believed dead; 0 if alive."""
        return now_s - self.dead_since_by_id.get(instance_id, now_s)

    @property
    def fallback_delay_s(self):
        """Delay in seconds until the next member in a ranking acts: two round trips."""
        return 2 * self.round_trip_s

    def owns(self, local):
        """Return whether, in the cell's state, this agent owns ``local``'s epoch."""
        task = self.cell.tasks_by_id.get(local.task_id)
        return (
            task is not None
            and task.phase is TaskPhase.OWNED
            and task.owner_id == self.instance_id
            and task.epoch == local.epoch
        )

    def deadline_s(self, local):
        """Return the time by which this agent's lease requires a task to stop."""
        return owner_deadline_s(max(local.sent_s, self.renewed_s), local.lease_s)

    def is_in_flight(self, record_type, task_id=None):
        """Return whether a record of this type (for this task) is in flight."""
        return any(
            isinstance(item.record, record_type)
            and (task_id is None or item.record.task_id == task_id)
            for item in self.in_flight
        )

    def append(self, now_s, record):
        """Track ``record`` as in flight and return the effect that appends it."""
        self.in_flight.append(InFlight(record, now_s))
        return AppendCellRecord(self.stream, record)

    def may_append(self, now_s):
        """Return whether appends may be sent now."""
        return now_s >= self.retry_s

    def has_worker(self, now_s):
        """Return whether the worker has reported recently."""
        return now_s - self.worker_reported_s <= WORKER_REPORT_TIMEOUT_S

    def gate(self):
        """Return a `TeamGate` on the current use by teams; None without quotas."""
        if self.quota is None:
            return None
        return TeamGate(self.cell, self.stream, self.quota)

    def settle(self, now_s, record, offset):
        """Record the result of an append."""
        for item in self.in_flight:
            if item.offset is None and item.record == record:
                item.offset = offset
                break
        else:
            return
        if offset is None:
            self.in_flight.remove(item)
            self.retry_s = now_s + APPEND_RETRY_INTERVAL_S

    def settle_read_back(self, now_s):
        """Remove appends that have been read back, and extend the leases they renew."""
        done = [
            item
            for item in self.in_flight
            if item.offset is not None and item.offset < self.cell.next_offset
        ]
        for item in done:
            self.in_flight.remove(item)
            measured_s = now_s - item.sent_s
            decrease_s = ROUND_TRIP_SMOOTHING_RATIO * (measured_s - self.round_trip_s)
            self.round_trip_s = max(measured_s, self.round_trip_s + decrease_s)
            if isinstance(item.record, TaskClaimed):
                self._count_claim(item)
            self._count_renewal(item)

    def _count_claim(self, item):
        task = self.cell.tasks_by_id.get(item.record.task_id)
        if task is not None and task.epoch == item.offset:
            self.claims_sent_s[task.task_id, task.epoch] = item.sent_s

    def _count_renewal(self, item):
        """Extend the leases if a renewal at or after ``item`` was valid.

        Such a renewal was appended after ``item`` was sent, so every observer of the
        lease also reads it later than that.
        """
        is_renewal = isinstance(
            item.record, OwnerRenewed | TaskClaimed | InstanceAnnounced
        )
        member = self.member
        if is_renewal and member is not None and member.renewal_offset >= item.offset:
            self.renewed_s = max(self.renewed_s, item.sent_s)

    def take_pending_updates(self):
        """Return and clear the amounts and checkpoints that are not recorded yet."""
        learned_by_id, self.learned_by_id = self.learned_by_id, {}
        checkpoints_by_id, self.checkpoints_by_id = self.checkpoints_by_id, {}
        return learned_by_id, checkpoints_by_id

    def held_room(self):
        """Return the room that was freed for urgent tasks and is not claimed yet."""
        amount = Resources()
        for task_id, (made_s, demand) in list(self.freed_room_by_id.items()):
            task = self.cell.tasks_by_id.get(task_id)
            is_pending = task is not None and task.phase is TaskPhase.PENDING
            if not is_pending or self.clock_s - made_s > FREED_ROOM_HOLD_S:
                del self.freed_room_by_id[task_id]
            elif not self.is_in_flight(TaskClaimed, task_id):
                amount = amount + demand
        return amount

    def own_room(self):
        """Return the room on the instance if all appends in flight succeed."""
        member = self.member
        room = member.room
        for item in self.in_flight:
            record = item.record
            if isinstance(record, TaskClaimed):
                room = room - record.reserved
            elif isinstance(record, TaskEnded | TaskReleased):
                room = room + self._reserved_for(record)
        return room

    def _reserved_for(self, record):
        task = self.cell.tasks_by_id.get(record.task_id)
        is_held = task is not None and task.owner_id == self.instance_id
        return task.reserved if is_held else Resources()
