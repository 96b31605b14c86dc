"""Members, jobs and tasks as recorded in the stream of a cell."""

import enum

import msgspec

from .record import TaskSpec
from .resources import Resources

__all__ = ["NO_EPOCH", "CellJob", "CellMember", "CellTask", "TaskPhase"]

#: Epoch of a task that has not been claimed yet.
NO_EPOCH = -1


class TaskPhase(enum.IntEnum):
    """Lifecycle phase of a task in its cell."""

    PENDING = 0
    OWNED = 1
    ENDED = 2


class CellMember(msgspec.Struct, array_like=True):
    """An agent that is a member of the cell, as announced in the stream."""

    instance_id: str
    incarnation: int
    rack: str
    capacity: Resources
    labels: dict[str, str]
    #: Offset of the latest record that renewed this incarnation's leases.
    renewal_offset: int
    is_draining: bool = False
    #: False once the member has left; it keeps its tasks until they end or lapse.
    is_present: bool = True
    reserved: Resources = Resources()
    #: Ids of the tasks owned by any incarnation of the instance's agent.
    task_ids: list[str] = []

    @property
    def room(self):
        """Capacity of the instance that no task has reserved."""
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
    #: Number of tasks that have not ended.
    open_tasks: int = 0
    is_cancelled: bool = False


class CellTask(msgspec.Struct, array_like=True):
    """A task, retained from the submission of its job until some time after its end."""

    spec: TaskSpec
    job_id: str
    urgency: int
    #: Offset of the submission; tasks of equal urgency are claimed in this order.
    submit_offset: int
    phase: TaskPhase = TaskPhase.PENDING
    #: Offset of the latest valid claim, which serves as the fencing token.
    epoch: int = NO_EPOCH
    owner_id: str = ""
    owner_incarnation: int = 0
    reserved: Resources = Resources()
    #: Duration of the owner's lease in seconds, as stated in its claim.
    lease_s: int = 0
    #: Offset of the last renewal by the owner, fixed when a newer incarnation of its
    #: agent is announced.
    renewal_offset: int = NO_EPOCH
    #: Amount needed according to the owners' measurements; zero before the first.
    learned: Resources = Resources()
    checkpoint: str = ""
    #: Number of times it was released before its end.
    releases: int = 0
    #: Instance id of each failure of the program, in order.
    failed_ids: list[str] = []
    #: Id of the replica that replaces this one; empty if there is none.
    successor_id: str = ""
    outcome: str = ""
    detail: str = ""

    @property
    def task_id(self):
        """Id of the task."""
        return self.spec.task_id

    @property
    def demand(self):
        """Amount that a claim must reserve: the declared one until one was measured."""
        return self.spec.declared if self.learned == Resources() else self.learned

    @property
    def order(self):
        """Sort key of a pending task: by urgency, then in order of submission."""
        return (-self.urgency, self.submit_offset, self.spec.task_id)
