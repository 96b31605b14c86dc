"""Events and effects of an agent's task reducer (`dotterelspread.taskcore`)."""

from dataclasses import dataclass

from .configuration import Configuration
from .record import Envelope, Record, TaskSpec
from .reducer import Effect, Event
from .resources import Resources

__all__ = [
    "AppendCellRecord",
    "AppendSettled",
    "CellCaughtUp",
    "CellRecordRead",
    "CellTruncated",
    "CheckpointTask",
    "ConfigurationChanged",
    "DrainRequested",
    "EvictionRequested",
    "MembersChanged",
    "RenewTask",
    "StartTask",
    "StartsWithheld",
    "StopTask",
    "TaskCheckpointed",
    "TaskStarted",
    "TaskStopped",
    "TaskUsage",
    "ThrottleTask",
    "WorkerReported",
]


@dataclass(slots=True, frozen=True)
class CellRecordRead(Event):
    """An envelope of the cell's stream was read, in order."""

    offset: int
    envelope: Envelope


@dataclass(slots=True, frozen=True)
class CellCaughtUp(Event):
    """A read reached the end of the cell's stream; emitted after every such read."""

    next_offset: int


@dataclass(slots=True, frozen=True)
class CellTruncated(Event):
    """Records before ``first_offset`` expired before they were read."""

    first_offset: int


@dataclass(slots=True, frozen=True)
class TaskUsage:
    """Recent resource use of a running task, as reported by the worker."""

    task_id: str
    epoch: int
    used: Resources


@dataclass(slots=True, frozen=True)
class WorkerReported(Event):
    """The worker reported its running tasks."""

    usages: tuple[TaskUsage, ...] = ()


@dataclass(slots=True, frozen=True)
class TaskStarted(Event):
    """The worker confirmed that a task is running."""

    task_id: str
    epoch: int


@dataclass(slots=True, frozen=True)
class TaskCheckpointed(Event):
    """The worker made a checkpoint of a task that continues to run."""

    task_id: str
    epoch: int
    checkpoint: str


@dataclass(slots=True, frozen=True)
class TaskStopped(Event):
    """A task stopped on the worker.

    ``outcome`` is completed, failed, stopped (on request), lapsed (the worker's lease
    expired) or refused (the worker did not start it).
    """

    task_id: str
    epoch: int
    outcome: str
    detail: str = ""
    checkpoint: str = ""


@dataclass(slots=True, frozen=True)
class MembersChanged(Event):
    """The set of instances believed to be alive, by heartbeat, has changed."""

    live_ids: frozenset[str]


@dataclass(slots=True, frozen=True)
class ConfigurationChanged(Event):
    """A new configuration took effect."""

    configuration: Configuration


@dataclass(slots=True, frozen=True)
class AppendSettled(Event):
    """The result of an `AppendCellRecord` is known.

    ``offset`` is the offset of the record, or None when it was not appended.
    """

    record: Record
    offset: int | None


@dataclass(slots=True, frozen=True)
class StartsWithheld(Event):
    """Starts of tasks on this instance are withheld from now on, or allowed again."""

    #: Why they are withheld; empty if they are allowed.
    reason: str


@dataclass(slots=True, frozen=True)
class DrainRequested(Event):
    """The instance is to leave the cell: its tasks are checkpointed and released."""


@dataclass(slots=True, frozen=True)
class EvictionRequested(Event):
    """A batch task is to be checkpointed and released, in favour of the service."""

    task_id: str


@dataclass(slots=True, frozen=True)
class AppendCellRecord(Effect):
    """Append ``record`` to a stream exactly once and in order.

    `AppendSettled` reports the result.
    """

    stream: str
    record: Record


@dataclass(slots=True, frozen=True)
class StartTask(Effect):
    """Start a task on the worker; idempotent while this epoch is running.

    Deadlines are on the same clock as ``now_s`` of events.
    """

    task_id: str
    epoch: int
    spec: TaskSpec
    checkpoint: str
    lease_deadline_s: float


@dataclass(slots=True, frozen=True)
class RenewTask(Effect):
    """Extend the worker's lease on a task to the deadline."""

    task_id: str
    epoch: int
    lease_deadline_s: float


@dataclass(slots=True, frozen=True)
class CheckpointTask(Effect):
    """Make a checkpoint of a task that continues to run."""

    task_id: str
    epoch: int


@dataclass(slots=True, frozen=True)
class ThrottleTask(Effect):
    """Limit a task to ``share`` (0 to 1) of its processor time."""

    task_id: str
    share: float


@dataclass(slots=True, frozen=True)
class StopTask(Effect):
    """Checkpoint and stop a task; the worker refuses its epoch from then on."""

    task_id: str
    epoch: int
