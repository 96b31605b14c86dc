"""State of one cell: a pure function of the records in its stream.

Every reader that applies the same records has the same state, so whether a claim, an
end or a lapse is valid needs no agreement beyond the order of the stream.
"""

from bisect import bisect_left, insort
from functools import singledispatchmethod

import msgspec

from .celltask import NO_EPOCH, CellJob, CellMember, CellTask, TaskPhase
from .labels import instance_labels
from .record import (
    CellSnapshot,
    InstanceAnnounced,
    InstanceDraining,
    InstanceLeft,
    JobCancelled,
    JobSubmitted,
    OwnerRenewed,
    TaskClaimed,
    TaskEnded,
    TaskLapsed,
    TaskReleased,
)
from .resources import Resources

__all__ = ["FAILED", "KEPT_JOBS", "CellError", "CellState", "successor_id"]

#: Number of ended jobs whose outcome the state keeps.
KEPT_JOBS = 256
#: Reason of a release after the program failed, which another instance may retry.
FAILED = "failed"
SUCCESSOR_MARK = "~"


class CellError(Exception):
    """A snapshot of a cell cannot be read."""


class CellContent(msgspec.Struct, array_like=True):
    """What a snapshot holds."""

    next_offset: int
    members: list[CellMember]
    jobs: list[CellJob]
    tasks: list[CellTask]
    ended_job_ids: list[str]


_encoder = msgspec.msgpack.Encoder(order="deterministic")
_decoder = msgspec.msgpack.Decoder(CellContent)


def successor_id(task_id):
    """Return the id of the replica that replaces replica ``task_id``."""
    base, mark, number = task_id.rpartition(SUCCESSOR_MARK)
    if mark and number.isdecimal():
        return f"{base}{SUCCESSOR_MARK}{int(number) + 1}"
    return f"{task_id}{SUCCESSOR_MARK}1"


class CellState:
    """Members, jobs and tasks of a cell as of an offset of its stream.

    Use `apply` on each record in order. A record that is not valid at its offset
    changes nothing, for every reader alike; so repeated records do no harm.
    """

    __slots__ = (
        "ended_job_ids",
        "jobs_by_id",
        "members_by_id",
        "next_offset",
        "pending",
        "tasks_by_id",
    )

    def __init__(self):
        #: Offset of the first record that has not been applied.
        self.next_offset = 0
        self.members_by_id = {}
        self.jobs_by_id = {}
        self.tasks_by_id = {}
        #: Sorted keys (`CellTask.order`) of the pending tasks.
        self.pending = []
        self.ended_job_ids = []

    @classmethod
    def from_snapshot(cls, snapshot):
        """Return the state in a `CellSnapshot`.

        Raises
        ------
        CellError
            When its bytes are not the state of a cell.
        """
        try:
            content = _decoder.decode(snapshot.state)
        except (msgspec.DecodeError, ValueError) as error:
            raise CellError(f"cell snapshot: {error}") from error
        state = cls()
        state.next_offset = content.next_offset
        state.members_by_id = {m.instance_id: m for m in content.members}
        state.jobs_by_id = {job.job_id: job for job in content.jobs}
        state.tasks_by_id = {task.task_id: task for task in content.tasks}
        state.ended_job_ids = content.ended_job_ids
        state.pending = sorted(
            task.order for task in content.tasks if task.phase is TaskPhase.PENDING
        )
        return state

    def to_snapshot(self):
        """Return the `CellSnapshot`; the same bytes for every reader at an offset."""
        content = CellContent(
            self.next_offset,
            [self.members_by_id[key] for key in sorted(self.members_by_id)],
            [self.jobs_by_id[key] for key in sorted(self.jobs_by_id)],
            [self.tasks_by_id[key] for key in sorted(self.tasks_by_id)],
            self.ended_job_ids,
        )
        return CellSnapshot(self.next_offset - 1, _encoder.encode(content))

    def apply(self, offset, envelope):
        """Apply one envelope of the log record at ``offset``.

        Returns
        -------
        bool
            True when the record was valid and changed the state.
        """
        if offset + 1 < self.next_offset:
            return False
        self.next_offset = offset + 1
        return self._apply(envelope.record, offset)

    def pending_tasks(self):
        """Yield the pending tasks, the first to be claimed first."""
        for key in self.pending:
            yield self.tasks_by_id[key[-1]]

    def renewal_of(self, task):
        """Return the offset of the latest renewal of an owned task's lease."""
        member = self.members_by_id[task.owner_id]
        if member.incarnation == task.owner_incarnation:
            return max(task.epoch, member.renewal_offset)
        return max(task.epoch, task.renewal_offset)

    @singledispatchmethod
    def _apply(self, record, offset):
        return False

    @_apply.register
    def _(self, record: InstanceAnnounced, offset):
        old = self.members_by_id.get(record.instance_id)
        member = CellMember(
            record.instance_id,
            record.incarnation,
            record.rack,
            record.capacity,
            instance_labels(record, {}),
            offset,
        )
        if old is not None:
            if record.incarnation < old.incarnation:
                return False
            if record.incarnation > old.incarnation:
                self._freeze_renewals(old)
            else:
                member.is_draining = old.is_draining
            member.reserved = old.reserved
            member.task_ids = old.task_ids
        self.members_by_id[record.instance_id] = member
        return True

    def _freeze_renewals(self, member):
        for task_id in member.task_ids:
            task = self.tasks_by_id[task_id]
            if task.owner_incarnation == member.incarnation:
                task.renewal_offset = member.renewal_offset

    @_apply.register
    def _(self, record: InstanceDraining, offset):
        member = self._member(record.instance_id, record.incarnation)
        if member is None or member.is_draining:
            return False
        member.is_draining = True
        return True

    @_apply.register
    def _(self, record: InstanceLeft, offset):
        member = self._member(record.instance_id, record.incarnation)
        if member is None:
            return False
        member.is_present = False
        self._forget_if_idle(member)
        return True

    @_apply.register
    def _(self, record: OwnerRenewed, offset):
        member = self._member(record.owner_id, record.incarnation)
        if member is None:
            return False
        member.renewal_offset = offset
        for task_id, amount in record.learned.items():
            task = self.tasks_by_id.get(task_id)
            if task is not None and task_id in member.task_ids:
                self._learn(member, task, amount)
        return True

    def _learn(self, member, task, amount):
        """Raise a task's reservation towards ``amount``, within the instance."""
        task.learned = task.learned.at_least(amount.at_most(member.capacity))
        wanted = task.reserved.at_least(task.learned)
        limit = task.reserved + member.room
        raised = wanted.at_most(limit)
        member.reserved = member.reserved - task.reserved + raised
        task.reserved = raised

    @_apply.register
    def _(self, record: JobSubmitted, offset):
        job = self.jobs_by_id.get(record.job_id)
        if job is not None:
            return self._replace_replicas(job, record, offset)
        job = CellJob(
            record.job_id,
            record.team,
            record.urgency,
            record.labels,
            record.is_service,
            [],
        )
        self.jobs_by_id[record.job_id] = job
        for spec in record.tasks:
            self._add_task(job, spec, offset)
        if not job.task_ids:
            self._keep_ended(job)
        return True

    def _add_task(self, job, spec, offset):
        if spec.task_id in self.tasks_by_id:
            return
        task = CellTask(spec, job.job_id, job.urgency, offset)
        self.tasks_by_id[spec.task_id] = task
        job.task_ids.append(spec.task_id)
        job.open_tasks += 1
        insort(self.pending, task.order)

    def _replace_replicas(self, job, record, offset):
        """Add replicas in place of owned ones; the name says which each replaces."""
        if not job.is_service or job.is_cancelled:
            return False
        changed = False
        for task_id in list(job.task_ids):
            task = self.tasks_by_id[task_id]
            new_id = successor_id(task_id)
            spec = next((s for s in record.tasks if s.task_id == new_id), None)
            if spec is None or task.phase is not TaskPhase.OWNED or task.successor_id:
                continue
            task.successor_id = new_id
            self._add_task(job, spec, offset)
            changed = True
        return changed

    @_apply.register
    def _(self, record: JobCancelled, offset):
        job = self.jobs_by_id.get(record.job_id)
        if job is None or job.is_cancelled or job.open_tasks == 0:
            return False
        job.is_cancelled = True
        for task_id in job.task_ids:
            task = self.tasks_by_id[task_id]
            if task.phase is TaskPhase.PENDING:
                self._end(task, "cancelled", "cancelled before it was claimed")
        return True

    @_apply.register
    def _(self, record: TaskClaimed, offset):
        task = self.tasks_by_id.get(record.task_id)
        member = self._member(record.owner_id, record.incarnation)
        if task is None or task.phase is not TaskPhase.PENDING or member is None:
            return False
        fits = record.reserved.fits_in(member.room)
        if not (member.takes_tasks and fits and task.demand.fits_in(record.reserved)):
            return False
        self._leave_pending(task)
        task.phase = TaskPhase.OWNED
        task.epoch = offset
        task.owner_id = record.owner_id
        task.owner_incarnation = record.incarnation
        task.reserved = record.reserved
        task.lease_s = record.lease_s
        member.reserved = member.reserved + record.reserved
        member.task_ids.append(task.task_id)
        member.renewal_offset = offset
        return True

    @_apply.register
    def _(self, record: TaskEnded, offset):
        task = self.tasks_by_id.get(record.task_id)
        if task is None or task.phase is TaskPhase.ENDED or task.epoch != record.epoch:
            return False
        if task.phase is TaskPhase.PENDING:
            if record.outcome != "refused":
                return False
            self._end(task, record.outcome, record.detail)
            return True
        self._disown(task)
        if self.jobs_by_id[task.job_id].is_cancelled:
            self._end(task, "cancelled", "cancelled before its end was recorded")
        else:
            self._end(task, record.outcome, record.detail)
        return True

    @_apply.register
    def _(self, record: TaskReleased, offset):
        task = self._owned(record.task_id, record.epoch)
        if task is None:
            return False
        if record.reason == FAILED and task.owner_id not in task.failed_ids:
            task.failed_ids.append(task.owner_id)
        task.checkpoint = record.checkpoint
        task.releases += 1
        self._return_to_pending(task, "released")
        return True

    @_apply.register
    def _(self, record: TaskLapsed, offset):
        task = self._owned(record.task_id, record.epoch)
        if task is None or self.renewal_of(task) != record.renewal_offset:
            return False
        if self.jobs_by_id[task.job_id].is_service:
            # The replica may still run unseen, so its identity is not used again.
            self._disown(task)
            self._end(task, "failed", "its owner's lease lapsed")
        else:
            self._return_to_pending(task, "its owner's lease lapsed")
        return True

    def _owned(self, task_id, epoch):
        task = self.tasks_by_id.get(task_id)
        if task is None or task.phase is not TaskPhase.OWNED or task.epoch != epoch:
            return None
        return task

    def _member(self, instance_id, incarnation):
        member = self.members_by_id.get(instance_id)
        if member is None or member.incarnation != incarnation:
            return None
        return member if member.is_present else None

    def _return_to_pending(self, task, detail):
        self._disown(task)
        if self.jobs_by_id[task.job_id].is_cancelled or task.successor_id:
            self._end(task, "cancelled", f"cancelled; {detail}")
            return
        task.phase = TaskPhase.PENDING
        task.detail = detail
        insort(self.pending, task.order)

    def _disown(self, task):
        member = self.members_by_id[task.owner_id]
        member.reserved = member.reserved - task.reserved
        member.task_ids.remove(task.task_id)
        task.owner_id = ""
        task.reserved = Resources()
        task.renewal_offset = NO_EPOCH
        self._forget_if_idle(member)

    def _forget_if_idle(self, member):
        if not member.is_present and not member.task_ids:
            del self.members_by_id[member.instance_id]

    def _leave_pending(self, task):
        del self.pending[bisect_left(self.pending, task.order)]

    def _end(self, task, outcome, detail):
        if task.phase is TaskPhase.PENDING:
            self._leave_pending(task)
        task.phase = TaskPhase.ENDED
        task.outcome = outcome
        task.detail = detail
        job = self.jobs_by_id[task.job_id]
        job.open_tasks -= 1
        if job.open_tasks == 0:
            self._keep_ended(job)

    def _keep_ended(self, job):
        self.ended_job_ids.append(job.job_id)
        if len(self.ended_job_ids) <= KEPT_JOBS:
            return
        forgotten = self.jobs_by_id.pop(self.ended_job_ids.pop(0))
        for task_id in forgotten.task_ids:
            del self.tasks_by_id[task_id]
