"""What an agent knows of a task on its own worker, and of an append on its way."""

import enum
from dataclasses import dataclass

from .record import Record, TaskSpec
from .resources import Resources

__all__ = ["InFlight", "LocalPhase", "LocalTask", "StopReason"]


class LocalPhase(enum.Enum):
    """Where a task stands on the agent's own worker."""

    RUNNING = "running"
    STOPPING = "stopping"
    STOPPED = "stopped"


class StopReason(enum.StrEnum):
    """Why the agent stops a task."""

    NONE = ""
    CANCELLED = "cancelled"
    DECLINED = "decline"
    DRAIN = "drain"
    EVICTED = "eviction"
    FENCED = "fenced"
    LEASE = "lease"
    PREEMPTED = "preemption"
    REPLACED = "replaced"
    RESTARTED = "restart"


@dataclass(slots=True)
class LocalTask:
    """A task that this agent owns and its worker runs or ran."""

    task_id: str
    epoch: int
    spec: TaskSpec
    lease_s: float
    #: When the claim was sent; the lease counts from here or a later renewal.
    sent_s: float
    checkpoint: str = ""
    phase: LocalPhase = LocalPhase.RUNNING
    #: When the worker stops the task unless renewed.
    worker_deadline_s: float = 0.0
    started_s: float = 0.0
    #: When its latest checkpoint was made; its start before there is one.
    checkpointed_s: float = 0.0
    checkpoint_requested_s: float = 0.0
    #: Largest amounts that the worker reported for it.
    peak: Resources = Resources()
    #: Whether the worker has reported the task.
    is_confirmed: bool = False
    #: When the latest start or stop was sent.
    requested_s: float = 0.0
    reason: StopReason = StopReason.NONE
    outcome: str = ""
    detail: str = ""


@dataclass(slots=True)
class InFlight:
    """An append whose record has not been read back yet."""

    record: Record
    sent_s: float
    #: Where the record stands; None until that is known.
    offset: int | None = None
