"""What an agent's task reducer remembers between events."""

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

#: Seconds between attempts to append while the store fails.
APPEND_RETRY_INTERVAL_S = 0.5
#: Seconds without a report after which the worker counts as unreachable.
WORKER_REPORT_TIMEOUT_S = 10.0
#: Assumed seconds from an append until it is read back, before one is measured.
INITIAL_ROUND_TRIP_S = 0.5
#: Seconds for which room made for an urgent task is kept for it.
FREED_ROOM_HOLD_S = 5.0
#: Seconds between snapshots of a cell.
SNAPSHOT_INTERVAL_S = 600.0
#: Weight of a new measurement below the known round trip; a longer one counts whole.
ROUND_TRIP_SMOOTHING_RATIO = 0.2


@dataclass(slots=True)
class TaskState:
    """State of the task reducer of one agent in one cell."""

    announcement: InstanceAnnounced
    #: Name of the cell's stream.
    stream: str
    cell: CellState = field(default_factory=CellState)
    configuration: Configuration = field(default_factory=Configuration)
    live_ids: frozenset | None = None
    locals_by_id: dict[str, LocalTask] = field(default_factory=dict)
    in_flight: list[InFlight] = field(default_factory=list)
    watch: LeaseWatch = field(default_factory=LeaseWatch)
    #: When the latest renewal that was read back had been sent.
    renewed_s: float = float("-inf")
    #: Appends wait until then after one failed.
    retry_s: float = float("-inf")
    worker_reported_s: float = float("-inf")
    #: Time of the latest event.
    clock_s: float = 0.0
    round_trip_s: float = INITIAL_ROUND_TRIP_S
    is_draining: bool = False
    #: When this agent sent the claim, by (task, epoch).
    claims_sent_s: dict = field(default_factory=dict)
    #: Amounts to learn with the next renewal, by task.
    learned_by_id: dict[str, Resources] = field(default_factory=dict)
    designations: DesignationTable = field(default_factory=DesignationTable)
    #: Quotas of teams over all cells; None while they are not known.
    quota: object = None
    #: When an urgent task that fits nowhere was noticed, by task.
    preemption_since_by_id: dict = field(default_factory=dict)
    #: (time, amount) of the room made on this instance, by urgent task.
    freed_room_by_id: dict = field(default_factory=dict)
    #: Whether reservations shrink to what is measured; else never below declared.
    is_reclaiming: bool = False
    pressure: PressureControl = field(default_factory=PressureControl)
    #: Checkpoints to record with the next renewal, by task.
    checkpoints_by_id: dict[str, str] = field(default_factory=dict)
    #: When silent members were looked for last.
    lapses_checked_s: float = float("-inf")
    #: When the latest snapshot of the cell was read.
    snapshot_s: float | None = None
    #: Seconds between snapshots; well below the retention of the log.
    snapshot_interval_s: float = SNAPSHOT_INTERVAL_S
    #: When an instance was first believed to be dead, by instance.
    dead_since_by_id: dict[str, float] = field(default_factory=dict)
    #: When the cell recorded that this agent had left.
    expelled_s: float = float("-inf")
    #: Records read while the state before them is unknown; None when it is known.
    buffered_records: list | None = None

    @classmethod
    def from_announcement(cls, announcement, cell_name):
        """Return the state of an agent that joins the cell with this name.

        Parameters
        ----------
        announcement : InstanceAnnounced
            The agent's own announcement; its capacity is what tasks may hold.
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
        """Name anew who claims what, after a change of the cell or its members."""
        view = PlacementView.from_cell(self.cell, self.configuration, self.live_ids)
        self.designations.refresh(now_s, view, self.gate())

    def is_alive(self, instance_id):
        """Tell whether an instance is believed to be alive."""
        return self.live_ids is None or instance_id in self.live_ids

    def dead_for_s(self, now_s, instance_id):
        """Return for how long an instance has been believed dead; 0 when alive."""
        return now_s - self.dead_since_by_id.get(instance_id, now_s)

    @property
    def fallback_delay_s(self):
        """Seconds between the fallbacks of a ranking: two round trips."""
        return 2 * self.round_trip_s

    def owns(self, local):
        """Tell whether the cell says that this agent owns ``local``'s epoch."""
        task = self.cell.tasks_by_id.get(local.task_id)
        return (
            task is not None
            and task.phase is TaskPhase.OWNED
            and task.owner_id == self.instance_id
            and task.epoch == local.epoch
        )

    def deadline_s(self, local):
        """Return when a task must have stopped by the lease of its owner."""
        return owner_deadline_s(max(local.sent_s, self.renewed_s), local.lease_s)

    def is_in_flight(self, record_type, task_id=None):
        """Tell whether such a record (of this task) is being appended."""
        return any(
            isinstance(item.record, record_type)
            and (task_id is None or item.record.task_id == task_id)
            for item in self.in_flight
        )

    def append(self, now_s, record):
        """Return the effect that appends ``record``, and note it as in flight."""
        self.in_flight.append(InFlight(record, now_s))
        return AppendCellRecord(self.stream, record)

    def may_append(self, now_s):
        """Tell whether appends are sent now."""
        return now_s >= self.retry_s

    def has_worker(self, now_s):
        """Tell whether the worker has reported lately."""
        return now_s - self.worker_reported_s <= WORKER_REPORT_TIMEOUT_S

    def gate(self):
        """Return a `TeamGate` on what teams hold now; None without quotas."""
        if self.quota is None:
            return None
        return TeamGate(self.cell, self.stream, self.quota)

    def settle(self, now_s, record, offset):
        """Note what became of an append."""
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
        """Settle the appends that have been read back, and what they renew."""
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
        """Extend the leases when a renewal at or after ``item`` was valid.

        Such a renewal was appended, and so read by any taker, after ``item`` was sent.
        """
        is_renewal = isinstance(
            item.record, OwnerRenewed | TaskClaimed | InstanceAnnounced
        )
        member = self.member
        if is_renewal and member is not None and member.renewal_offset >= item.offset:
            self.renewed_s = max(self.renewed_s, item.sent_s)

    def take_pending_updates(self):
        """Return and forget the amounts and the checkpoints not recorded yet."""
        learned_by_id, self.learned_by_id = self.learned_by_id, {}
        checkpoints_by_id, self.checkpoints_by_id = self.checkpoints_by_id, {}
        return learned_by_id, checkpoints_by_id

    def held_room(self):
        """Return the room that was made for urgent tasks and is not claimed yet."""
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
        """Return what the instance has left once all that is in flight stands."""
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
