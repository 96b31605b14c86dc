"""An agent's records of the tasks on its own worker and of its appends in flight."""

import enum
from dataclasses import dataclass

from .record import Record, TaskSpec
from .resources import Resources

__all__ = ["InFlight", "LocalPhase", "LocalTask", "StopReason"]


class LocalPhase(enum.Enum):
    """Lifecycle phase of a task on the agent's own worker."""

    RUNNING = "running"
    STOPPING = "stopping"
    STOPPED = "stopped"


class StopReason(enum.StrEnum):
    """Reason for which the agent stops a task."""

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
    """A task that the agent has claimed, with its status on the worker."""

    task_id: str
    epoch: int
    spec: TaskSpec
    lease_s: float
    #: Time at which the claim was sent; the lease runs from it or from a later renewal.
    sent_s: float
    checkpoint: str = ""
    phase: LocalPhase = LocalPhase.RUNNING
    #: Time at which the worker stops the task unless its lease is renewed.
    worker_deadline_s: float = 0.0
    started_s: float = 0.0
    #: Time of its latest checkpoint, or of its start before the first one.
    checkpointed_s: float = 0.0
    checkpoint_requested_s: float = 0.0
    #: Largest amount of each resource that the worker has reported.
    peak: Resources = Resources()
    #: Whether the worker has confirmed the start.
    is_confirmed: bool = False
    #: Time at which the latest start, renewal or stop was sent.
    requested_s: float = 0.0
    reason: StopReason = StopReason.NONE
    outcome: str = ""
    detail: str = ""


@dataclass(slots=True)
class InFlight:
    """An append whose record has not been read back from the stream yet."""

    record: Record
    sent_s: float
    #: Offset of the record in the stream; None until it is known.
    offset: int | None = None
