"""Replicated state machine of one cell, driven by the records of its stream.

The state is a pure function of the records. Every reader that applies the same records
reaches the same state, so the validity of a claim, an end or a lapse follows from the
order of the stream alone, without further consensus.
"""

from bisect import bisect_left, insort

import msgspec

from .cellrules import apply_record
from .celltask import NO_EPOCH, CellJob, CellMember, CellTask, TaskPhase
from .quarantine import QuarantineError, QuarantineState
from .record import CellSnapshot
from .resources import Resources

__all__ = ["MAX_ENDED_JOBS", "CellError", "CellState"]

#: Number of ended jobs whose outcome the state, and so each snapshot, retains.
MAX_ENDED_JOBS = 256
#: Number of older ended jobs kept in memory only, to answer queries.
MAX_ARCHIVED_JOBS = 20_000
#: Separates the id of a service replica from the number of its replacement.
SUCCESSOR_SEPARATOR = "~"


class CellError(Exception):
    """A snapshot of a cell cannot be decoded."""


class CellContent(msgspec.Struct, array_like=True):
    """Content of an encoded snapshot."""

    next_offset: int
    members: list[CellMember]
    jobs: list[CellJob]
    tasks: list[CellTask]
    ended_job_ids: list[str]
    quarantine: bytes


_encoder = msgspec.msgpack.Encoder(order="deterministic")
_decoder = msgspec.msgpack.Decoder(CellContent)


def _successor_id(task_id):
    base, separator, number = task_id.rpartition(SUCCESSOR_SEPARATOR)
    if separator and number.isdecimal():
        return f"{base}{SUCCESSOR_SEPARATOR}{int(number) + 1}"
    return f"{task_id}{SUCCESSOR_SEPARATOR}1"


class CellState:
    """Members, jobs and tasks of a cell as of an offset of its stream.

    Call `apply` with each record in order. A record that is not valid at its offset is
    a no-op for every reader, so appending a record again is harmless.
    """

    __slots__ = (
        "archive_by_id",
        "ended_job_ids",
        "jobs_by_id",
        "members_by_id",
        "next_offset",
        "pending",
        "quarantine",
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
        #: (job, tasks) of jobs that ended earlier. Not part of snapshots, so the
        #: validity of records must not depend on it.
        self.archive_by_id = {}
        #: Evidence on failing workers. It affects which member claims a task, but never
        #: whether a claim is valid.
        self.quarantine = QuarantineState()

    @classmethod
    def from_snapshot(cls, snapshot):
        """Restore the state from a `CellSnapshot`.

        Raises
        ------
        CellError
            When its bytes do not decode to the state of a cell.
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
        try:
            state.quarantine = QuarantineState.decode(content.quarantine)
        except QuarantineError as error:
            raise CellError(f"cell snapshot: {error}") from error
        state.pending = sorted(
            task.order for task in content.tasks if task.phase is TaskPhase.PENDING
        )
        return state

    def to_snapshot(self):
        """Return a `CellSnapshot`; all readers at one offset encode the same bytes."""
        content = CellContent(
            self.next_offset,
            [self.members_by_id[key] for key in sorted(self.members_by_id)],
            [self.jobs_by_id[key] for key in sorted(self.jobs_by_id)],
            [self.tasks_by_id[key] for key in sorted(self.tasks_by_id)],
            self.ended_job_ids,
            self.quarantine.encode(),
        )
        return CellSnapshot(self.next_offset - 1, _encoder.encode(content))

    def apply(self, offset, envelope):
        """Apply one envelope of the log record at ``offset``.

        Returns
        -------
        bool
            Whether the record was valid and changed the state.
        """
        if offset + 1 < self.next_offset:
            return False
        self.next_offset = offset + 1
        self.quarantine.advance(offset)
        return apply_record(envelope.record, self, offset)

    def find_job(self, job_id):
        """Return (job, its tasks), also for an archived job; None when unknown."""
        job = self.jobs_by_id.get(job_id)
        if job is None:
            return self.archive_by_id.get(job_id)
        return job, [self.tasks_by_id[task_id] for task_id in job.task_ids]

    def is_pending(self, task_id):
        """Return whether the task is waiting to be claimed."""
        task = self.tasks_by_id.get(task_id)
        return task is not None and task.phase is TaskPhase.PENDING

    def pending_tasks(self):
        """Yield the pending tasks in the order in which they are to be claimed."""
        for key in self.pending:
            yield self.tasks_by_id[key[-1]]

    def renewal_of(self, task):
        """Return the offset of the latest renewal of an owned task's lease."""
        member = self.members_by_id[task.owner_id]
        if member.incarnation == task.owner_incarnation:
            return max(task.epoch, member.renewal_offset)
        return max(task.epoch, task.renewal_offset)

    def owned_task(self, task_id, epoch):
        """Return the task if it is owned under ``epoch``, else None."""
        task = self.tasks_by_id.get(task_id)
        if task is None or task.phase is not TaskPhase.OWNED or task.epoch != epoch:
            return None
        return task

    def present_member(self, instance_id, incarnation):
        """Return the member if this incarnation of it is present, else None."""
        member = self.members_by_id.get(instance_id)
        if member is None or member.incarnation != incarnation:
            return None
        return member if member.is_present else None

    def add_job(self, job):
        """Add a job without tasks."""
        self.jobs_by_id[job.job_id] = job

    def add_task(self, job, spec, offset):
        """Add a pending task to a job; does nothing when its id is already in use."""
        if spec.task_id in self.tasks_by_id:
            return
        task = CellTask(spec, job.job_id, job.urgency, offset)
        self.tasks_by_id[spec.task_id] = task
        job.task_ids.append(spec.task_id)
        job.open_tasks += 1
        insort(self.pending, task.order)

    def replace_replica(self, task, offset):
        """Add a replica under a new id to replace one whose owner may be lost."""
        job = self.jobs_by_id[task.job_id]
        if not job.is_service or job.is_cancelled or task.successor_id:
            return
        task.successor_id = _successor_id(task.task_id)
        spec = msgspec.structs.replace(task.spec, task_id=task.successor_id)
        self.add_task(job, spec, offset)

    def assign_owner(self, task, member, claim, offset):
        """Assign a pending task to the member that claimed it."""
        self._leave_pending(task)
        task.phase = TaskPhase.OWNED
        task.epoch = offset
        task.owner_id = claim.owner_id
        task.owner_incarnation = claim.incarnation
        task.reserved = claim.reserved
        task.lease_s = claim.lease_s
        member.reserved = member.reserved + claim.reserved
        member.task_ids.append(task.task_id)
        member.renewal_offset = offset

    def return_to_pending(self, task, detail):
        """Return an owned task to the pending ones, so that it can be claimed again."""
        self.clear_owner(task)
        if self.jobs_by_id[task.job_id].is_cancelled or task.successor_id:
            self.end(task, "cancelled", detail)
            return
        task.phase = TaskPhase.PENDING
        task.detail = detail
        insort(self.pending, task.order)

    def clear_owner(self, task):
        """Release the reservation of an owned task and clear its owner."""
        member = self.members_by_id[task.owner_id]
        member.reserved = member.reserved - task.reserved
        member.task_ids.remove(task.task_id)
        task.owner_id = ""
        task.reserved = Resources()
        task.renewal_offset = NO_EPOCH
        self.remove_if_idle(member)

    def remove_if_idle(self, member):
        """Remove a member that has left, once it owns no tasks."""
        if not member.is_present and not member.task_ids:
            del self.members_by_id[member.instance_id]

    def end(self, task, outcome, detail):
        """End a task that has no owner."""
        if task.phase is TaskPhase.PENDING:
            self._leave_pending(task)
        task.phase = TaskPhase.ENDED
        task.outcome = outcome
        task.detail = detail
        job = self.jobs_by_id[task.job_id]
        job.open_tasks -= 1
        if job.open_tasks == 0:
            self.retain_ended_job(job)
        elif task.successor_id:
            # A service runs indefinitely: replaced replicas would pile up in its job.
            job.task_ids.remove(task.task_id)
            del self.tasks_by_id[task.task_id]

    def retain_ended_job(self, job):
        """Retain the outcome of an ended job; archive the oldest one over the limit."""
        self.ended_job_ids.append(job.job_id)
        if len(self.ended_job_ids) <= MAX_ENDED_JOBS:
            return
        oldest = self.jobs_by_id.pop(self.ended_job_ids.pop(0))
        tasks = [self.tasks_by_id.pop(task_id) for task_id in oldest.task_ids]
        self.archive_by_id[oldest.job_id] = (oldest, tasks)
        if len(self.archive_by_id) > MAX_ARCHIVED_JOBS:
            del self.archive_by_id[next(iter(self.archive_by_id))]

    def _leave_pending(self, task):
        del self.pending[bisect_left(self.pending, task.order)]
