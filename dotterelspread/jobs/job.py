"""The leader's state of a job, and the records of it in the journal."""

import enum
from dataclasses import dataclass, field

import msgspec

from .checkpoints import is_inline
from .spec import JobSpec, TaskKey, task_id_of

__all__ = [
    "MAX_TASK_RECORD_BYTES",
    "Job",
    "JobRecord",
    "JobState",
    "Phase",
    "TaskProgress",
]

#: Longest id of a worker that a record names as one to avoid. That is a preference, so
#: that a successor can do without it.
MAX_AVOIDED_ID_BYTES = 40
#: Size of a task in a record, with the longest id of a worker and numbers of 4 bytes.
MAX_TASK_RECORD_BYTES = 261


class Phase(enum.IntEnum):
    """Phase of a task."""

    PENDING = 0
    #: Assigned to a worker; may be running there until its end is known.
    ASSIGNED = 1
    COMPLETED = 2


class JobState(enum.IntEnum):
    """State of a job as reported to callers."""

    QUEUED = 0
    RUNNING = 1
    COMPLETED = 2
    FAILED = 3
    CANCELLED = 4


class TaskProgress(msgspec.Struct, array_like=True):
    """Progress of one task that must survive a failover of the leader."""

    phase: int = Phase.PENDING
    #: Number of the latest run; increases with each start.
    run: int = 0
    #: Worker of the latest run, and the start of that worker's incarnation.
    worker_id: str = ""
    born_ms: int = 0
    #: Number of failed runs.
    failures: int = 0
    #: Empty if it has a record of its own.
    checkpoint: str = ""
    #: Worker on which a run last failed or was too slow; other workers are preferred.
    avoided_worker_id: str = ""
    #: Number of workers that crashed under a run of the task.
    crashes: int = 0
    #: Those that crashed soon after its start, since a run of it last lasted longer.
    early_crashes: int = 0


class JobRecord(msgspec.Struct, array_like=True):
    """Journal record of a job's progress; the specification has its own record."""

    is_cancelled: bool
    has_failed: bool
    #: Wall-clock time of the job's end in milliseconds since 1970; 0 before it.
    ended_ms: int
    tasks: list[tuple[int, int, int, TaskProgress]]
    #: Whether a task of the job is known to have begun; None in records of earlier
    #: versions, which do not tell.
    has_begun: bool | None = None


@dataclass(slots=True)
class Job:
    """An accepted job."""

    spec: JobSpec
    tasks_by_key: dict[TaskKey, TaskProgress] = field(default_factory=dict)
    is_cancelled: bool = False
    has_failed: bool = False
    ended_ms: int = 0
    #: Number of tasks that have not completed, by occurrence and step.
    incomplete_by_step: dict[tuple[int, int], int] = field(default_factory=dict)
    #: Number of tasks neither completed nor assigned, by occurrence and step.
    pending_by_step: dict[tuple[int, int], int] = field(default_factory=dict)
    #: Cached `ordering.WorkEstimate`; None after a change of the pending tasks.
    estimate: object = field(default=None, repr=False, compare=False)
    #: Whether any task was ever assigned.
    has_assigned: bool = False
    #: Whether a worker has shown that any task has begun.
    has_begun: bool = False
    #: Leader's clock when the leader first learned of the job.
    first_seen_s: float = 0.0
    #: Leader's clock when a task of the job was last assigned or made progress.
    last_active_s: float = 0.0
    #: Run times of completed runs in seconds, sorted, by occurrence and step.
    durations_by_step: dict[tuple[int, int], list[float]] = field(default_factory=dict)
    #: Leader's clock at the latest failure on each worker, since a task last completed;
    #: old ones are removed.
    failed_s_by_worker_id: dict[str, float] = field(default_factory=dict)
    #: Leader's clock before which starts that were refused are not tried again, by step
    #: key and worker id; an empty id stands for all workers.
    refused_until_s_by_start: dict[tuple[tuple[int, int], str], float] = field(
        default_factory=dict
    )
    #: Checkpoints with a record of their own in the journal, or in an append under way.
    recorded_checkpoints: dict[TaskKey, str] = field(default_factory=dict)
    #: Whether a task has had a checkpoint that needs a record of its own.
    has_long_checkpoints: bool = False
    #: `Withdrawal` of each start that ends of the job's tasks wait for.
    withdrawals: list = field(default_factory=list)

    @classmethod
    def from_spec(cls, spec, now_s):
        """Return a new job with all tasks pending."""
        job = cls(spec, first_seen_s=now_s)
        for occurrence in range(spec.occurrences):
            for number, step in enumerate(spec.steps):
                job.incomplete_by_step[occurrence, number] = step.count
                job.pending_by_step[occurrence, number] = step.count
                for index in range(step.count):
                    job.tasks_by_key[occurrence, number, index] = TaskProgress()
        return job

    def apply_record(self, record):
        """Apply a journal record of all or some of the tasks to a new job.

        Raises
        ------
        ValueError
            The record names a task that the job does not have.
        """
        self.is_cancelled |= record.is_cancelled
        self.has_failed |= record.has_failed
        self.ended_ms = max(self.ended_ms, record.ended_ms)
        self.estimate = None
        may_have_begun = record.has_begun is None and bool(record.tasks)
        self.has_begun |= bool(record.has_begun) or may_have_begun
        for occurrence, step, index, task in record.tasks:
            if (occurrence, step, index) not in self.tasks_by_key:
                raise ValueError(f"tasks: no task {occurrence}.{step}.{index}")
            self.tasks_by_key[occurrence, step, index] = task
            self.has_long_checkpoints |= not is_inline(task.checkpoint)
            self.has_assigned = True
            if task.phase != Phase.PENDING:
                self.pending_by_step[occurrence, step] -= 1
            if task.phase == Phase.COMPLETED:
                self.incomplete_by_step[occurrence, step] -= 1

    def to_record(self, keys):
        """Return a journal record of the job and of the given tasks that ever ran."""
        tasks = []
        for key in keys:
            task = self.tasks_by_key[key]
            if not task.run:
                continue
            if self.has_long_checkpoints or task.avoided_worker_id:
                task = _bound_size(task)
            tasks.append((*key, task))
        return JobRecord(
            self.is_cancelled, self.has_failed, self.ended_ms, tasks, self.has_begun
        )

    @property
    def job_id(self):
        """Id chosen by the caller."""
        return self.spec.job_id

    @property
    def is_open(self):
        """Whether tasks of the job may still be started."""
        return not (self.is_cancelled or self.has_failed or self.ended_ms)

    @property
    def state(self):
        """The `JobState` reported to callers."""
        if self.is_cancelled:
            return JobState.CANCELLED
        if self.has_failed:
            return JobState.FAILED
        if self.ended_ms and not self.withdrawals:
            return JobState.COMPLETED
        return JobState.RUNNING if self.has_begun else JobState.QUEUED

    def step_of(self, key):
        """Return the `StepSpec` of a task."""
        return self.spec.steps[key[1]]

    def task_id(self, key):
        """Return the id that identifies a task to workers."""
        return task_id_of(self.spec.job_id, key)

    def keys_of_step(self, occurrence, step):
        """Return the keys of all tasks of a step in one occurrence."""
        count = self.spec.steps[step].count
        return [(occurrence, step, index) for index in range(count)]

    def is_step_due(self, occurrence, step):
        """Tell whether all dependencies of a step have completed."""
        return all(
            self.incomplete_by_step[occurrence, earlier] == 0
            for earlier in self.spec.steps[step].depends_on
        )

    def assign(self, key, worker, run_number):
        """Assign a pending task to a worker, as run ``run_number``."""
        task = self.tasks_by_key[key]
        self._set_phase(key, task, Phase.ASSIGNED)
        task.run = run_number
        task.worker_id = worker.worker_id
        task.born_ms = worker.born_ms
        self.has_assigned = True

    def requeue(self, key):
        """Make a task pending again."""
        self._set_phase(key, self.tasks_by_key[key], Phase.PENDING)

    def keep_checkpoint(self, key, checkpoint):
        """Keep a checkpoint of a task, unless it is empty or the job has ended."""
        if checkpoint and self.is_open:
            self.tasks_by_key[key].checkpoint = checkpoint
            self.has_long_checkpoints |= not is_inline(checkpoint)

    def restore_checkpoints(self, checkpoints):
        """Apply the checkpoints that have records of their own to a new job.

        A progress record with a checkpoint is newer than the separate record of one.
        """
        self.recorded_checkpoints = checkpoints
        for key, checkpoint in checkpoints.items():
            task = self.tasks_by_key.get(key)
            if task is not None and not task.checkpoint:
                self.keep_checkpoint(key, checkpoint)

    def drop_checkpoints(self):
        """Drop the checkpoints of a job that has ended."""
        for task in self.tasks_by_key.values():
            task.checkpoint = ""

    def complete(self, key):
        """Mark a task as completed; its checkpoint is not needed any more."""
        task = self.tasks_by_key[key]
        task.checkpoint = ""
        self.has_begun = True
        if task.phase != Phase.COMPLETED:
            self._set_phase(key, task, Phase.COMPLETED)
            self.incomplete_by_step[key[:2]] -= 1

    def _set_phase(self, key, task, phase):
        was_pending = task.phase == Phase.PENDING
        is_pending = phase == Phase.PENDING
        self.pending_by_step[key[:2]] += is_pending - was_pending
        self.estimate = None
        task.phase = phase

    @property
    def is_complete(self):
        """Whether every task has completed."""
        return not any(self.incomplete_by_step.values())


def _bound_size(task):
    """Return a task as `MAX_TASK_RECORD_BYTES` can hold it."""
    changes = {}
    if not is_inline(task.checkpoint):
        changes["checkpoint"] = ""
    if len(task.avoided_worker_id.encode()) > MAX_AVOIDED_ID_BYTES:
        changes["avoided_worker_id"] = ""
    return msgspec.structs.replace(task, **changes) if changes else task
