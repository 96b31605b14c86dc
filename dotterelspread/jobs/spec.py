"""Specification of a job: steps, each with a number of identical tasks."""

import msgspec

from ..resources import Resources
from .queues import Queue

__all__ = [
    "JobSpec",
    "StepSpec",
    "TaskKey",
    "check_spec",
    "parse_task_id",
    "task_id_of",
]

#: Most tasks of a job that a process has room for; entries accept fewer.
MAX_TASKS = 100_000

#: A task within its job: occurrence, step and index, each counted from 0.
TaskKey = tuple[int, int, int]


class StepSpec(msgspec.Struct, array_like=True, frozen=True):
    """A group of identical tasks of a job that become due together."""

    count: int
    demand: Resources
    #: Estimated run time of one task; 0 if not given.
    estimate_ms: int = 0
    #: Steps whose tasks must all complete first.
    depends_on: tuple[int, ...] = ()
    is_checkpointing: bool = False
    #: The tasks are scheduled together as a gang.
    is_gang: bool = False
    #: The tasks run faster on one rack; a gang is placed on one rack if possible.
    same_rack: bool = False
    #: Label that a worker must have; empty for none.
    required_label: str = ""
    #: Rack that holds the data of the step; empty if none.
    preferred_rack: str = ""
    #: Maximum number of the step's tasks on one worker; 0 for no limit.
    max_per_worker: int = 0
    #: Speculative copies of a task may run in parallel.
    is_speculative: bool = False
    #: The tasks run until the job is cancelled; they are restarted whenever they end.
    is_service: bool = False
    #: Name of the image that the tasks run; tasks of one image behave alike.
    image: str = ""
    #: Target tail latency of a serving task; 0 for none.
    target_ms: int = 0
    #: The tasks use processors that other tasks leave idle; they reserve none.
    is_filler: bool = False
    #: Maximum number of a service step's tasks that the system may stop at one time.
    max_unavailable: int = 0

    @property
    def reserved(self):
        """Resources that a task reserves on its worker."""
        if not self.is_filler:
            return self.demand
        return Resources(0, self.demand.memory_mb, self.demand.accelerators)


class JobSpec(msgspec.Struct, array_like=True, frozen=True):
    """A job as submitted by its caller."""

    job_id: str
    #: The queue's configuration when the job was accepted.
    queue: Queue
    #: Text that is passed to the worker with each start.
    program: str
    steps: tuple[StepSpec, ...]
    #: Wall-clock time of the first occurrence, in milliseconds since 1970.
    first_ms: int = 0
    interval_ms: int = 0
    #: Number of occurrences of a repeated job; 0 for a job that runs once, immediately.
    repeat_count: int = 0
    #: Wall-clock time of the submission, in milliseconds since 1970.
    submitted_ms: int = 0

    @property
    def occurrences(self):
        """Number of times that the job's steps run."""
        return max(1, self.repeat_count)

    @property
    def task_count(self):
        """Number of tasks of all occurrences."""
        return self.occurrences * sum(step.count for step in self.steps)

    def due_ms(self, occurrence):
        """Return the due time of an occurrence, in milliseconds since 1970."""
        if not self.repeat_count:
            return 0
        return self.first_ms + occurrence * self.interval_ms


def check_spec(spec):
    """Raise ValueError if no job can have a specification; the message names a field.

    Used on specifications that this process has not made itself.
    """
    if not spec.steps:
        raise ValueError("steps: none")
    tasks = 0
    for number, step in enumerate(spec.steps):
        if step.count < 1:
            raise ValueError(f"steps[{number}].count: below 1")
        if any(not 0 <= earlier < number for earlier in step.depends_on):
            raise ValueError(f"steps[{number}].depends_on: not an earlier step")
        tasks += step.count * spec.occurrences
    if tasks > MAX_TASKS:
        raise ValueError(f"steps: over {MAX_TASKS} tasks")


def task_id_of(job_id, key):
    """Return the id that identifies a task to workers."""
    occurrence, step, index = key
    return f"{job_id}.{occurrence}.{step}.{index}"


def parse_task_id(task_id):
    """Return the job id and the `TaskKey` of a task id, or None if it is invalid."""
    parts = task_id.split(".")
    if len(parts) != 4:
        return None
    try:
        return parts[0], (int(parts[1]), int(parts[2]), int(parts[3]))
    except ValueError:
        return None
