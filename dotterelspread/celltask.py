"""What a cell's stream says of one member, one job and one task."""

import enum

import msgspec

from .record import TaskSpec
from .resources import Resources

__all__ = ["NO_EPOCH", "CellJob", "CellMember", "CellTask", "TaskPhase"]

#: Epoch of a task that no member has claimed yet.
NO_EPOCH = -1


class TaskPhase(enum.IntEnum):
    """Where a task stands in its cell."""

    PENDING = 0
    OWNED = 1
    ENDED = 2


class CellMember(msgspec.Struct, array_like=True):
    """An agent that takes part in the cell, as it announced itself there."""

    instance_id: str
    incarnation: int
    rack: str
    capacity: Resources
    labels: dict[str, str]
    #: Offset of the latest record that renewed the leases of this incarnation.
    renewal_offset: int
    is_draining: bool = False
    #: False once the member left; its tasks remain until each ends or lapses.
    is_present: bool = True
    reserved: Resources = Resources()
    #: Ids of the tasks that the instance owns, by any incarnation of its agent.
    task_ids: list[str] = []

    @property
    def room(self):
        """Amount that no task on the instance has reserved."""
        return self.capacity - self.reserved

    @property
    def accepts_tasks(self):
        """Whether a claim by this member can be valid."""
        return self.is_present and not self.is_draining


class CellJob(msgspec.Struct, array_like=True):
    """A job submitted to the cell."""

    job_id: str
    team: str
    urgency: int
    labels: dict[str, str]
    is_service: bool
    task_ids: list[str]
    #: Number of its tasks that have not ended.
    open_tasks: int = 0
    is_cancelled: bool = False


class CellTask(msgspec.Struct, array_like=True):
    """A task, from the submission of its job until some time after its end."""

    spec: TaskSpec
    job_id: str
    urgency: int
    #: Offset of the submission; earlier tasks of an urgency go first.
    submit_offset: int
    phase: TaskPhase = TaskPhase.PENDING
    #: Offset of the latest valid claim.
    epoch: int = NO_EPOCH
    owner_id: str = ""
    owner_incarnation: int = 0
    reserved: Resources = Resources()
    #: Seconds of the owner's lease, as its claim names them.
    lease_s: int = 0
    #: Renewal that stands for an owner whose agent has a newer incarnation since.
    renewal_offset: int = NO_EPOCH
    #: Amount that its owners found it to need; zero before one measured it.
    learned: Resources = Resources()
    checkpoint: str = ""
    #: Times that it was released before its end.
    releases: int = 0
    #: Instance of each failure of the program, in order.
    failed_ids: list[str] = []
    #: Id of the replica that replaces this one; empty for none.
    successor_id: str = ""
    outcome: str = ""
    detail: str = ""

    @property
    def task_id(self):
        """Id of the task."""
        return self.spec.task_id

    @property
    def demand(self):
        """Amount that a claim must reserve: as declared until an owner measured it."""
        return self.spec.declared if self.learned == Resources() else self.learned

    @property
    def order(self):
        """Sort key of a pending task: urgent first, then as submitted."""
        return (-self.urgency, self.submit_offset, self.spec.task_id)
