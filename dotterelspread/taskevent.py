"""Events and effects of the agent's task reducer (`dotterelspread.taskcore`)."""

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
    """One envelope of the cell's stream was read, in order."""

    offset: int
    envelope: Envelope


@dataclass(slots=True, frozen=True)
class CellCaughtUp(Event):
    """A read reached the end of the cell's stream; sent after every such read."""

    next_offset: int


@dataclass(slots=True, frozen=True)
class CellTruncated(Event):
    """Records before ``first_offset`` have expired and were not read."""

    first_offset: int


@dataclass(slots=True, frozen=True)
class TaskUsage:
    """What one running task used lately, as its worker reports it."""

    task_id: str
    epoch: int
    used: Resources


@dataclass(slots=True, frozen=True)
class WorkerReported(Event):
    """The platform's worker reported the tasks that it runs."""

    usages: tuple[TaskUsage, ...] = ()


@dataclass(slots=True, frozen=True)
class TaskStarted(Event):
    """The worker runs a task, as asked."""

    task_id: str
    epoch: int


@dataclass(slots=True, frozen=True)
class TaskCheckpointed(Event):
    """The worker made a checkpoint of a task that runs on."""

    task_id: str
    epoch: int
    checkpoint: str


@dataclass(slots=True, frozen=True)
class TaskStopped(Event):
    """A task stopped on the worker.

    ``outcome`` is completed, failed, stopped (as asked), lapsed (the worker's lease
    ran out) or refused (the worker did not start it).
    """

    task_id: str
    epoch: int
    outcome: str
    detail: str = ""
    checkpoint: str = ""


@dataclass(slots=True, frozen=True)
class MembersChanged(Event):
    """The instances believed to be alive, by heartbeat, have changed."""

    live_ids: frozenset[str]


@dataclass(slots=True, frozen=True)
class ConfigurationChanged(Event):
    """A new configuration is in force."""

    configuration: Configuration


@dataclass(slots=True, frozen=True)
class AppendSettled(Event):
    """It is known what became of an `AppendCellRecord`.

    ``offset`` is the offset of the record, or None when it was not appended.
    """

    record: Record
    offset: int | None


@dataclass(slots=True, frozen=True)
class DrainRequested(Event):
    """The instance shall leave: its tasks are checkpointed and released."""


@dataclass(slots=True, frozen=True)
class EvictionRequested(Event):
    """A batch task shall be checkpointed and released, for the service's sake."""

    task_id: str


@dataclass(slots=True, frozen=True)
class AppendCellRecord(Effect):
    """Append ``record`` to a stream, in order and once; answer by `AppendSettled`."""

    stream: str
    record: Record


@dataclass(slots=True, frozen=True)
class StartTask(Effect):
    """Start a task on the worker, or do nothing when this epoch runs already.

    Deadlines are on the clock of ``now_s``.
    """

    task_id: str
    epoch: int
    spec: TaskSpec
    checkpoint: str
    lease_deadline_s: float


@dataclass(slots=True, frozen=True)
class RenewTask(Effect):
    """Let a task run on until the deadline."""

    task_id: str
    epoch: int
    lease_deadline_s: float


@dataclass(slots=True, frozen=True)
class CheckpointTask(Effect):
    """Make a checkpoint of a task that goes on running."""

    task_id: str
    epoch: int


@dataclass(slots=True, frozen=True)
class ThrottleTask(Effect):
    """Let a task use only ``share`` (0 to 1) of its processor time."""

    task_id: str
    share: float


@dataclass(slots=True, frozen=True)
class StopTask(Effect):
    """Checkpoint and stop a task; the worker then refuses its epoch."""

    task_id: str
    epoch: int
