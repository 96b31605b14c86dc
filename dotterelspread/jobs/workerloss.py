"""A worker that was lost and the runs that were lost with it."""

from dataclasses import dataclass

from .job import Job
from .spec import TaskKey

__all__ = ["LostRun", "WorkerLoss"]


@dataclass(slots=True, frozen=True)
class LostRun:
    """A run that was on a worker when that was lost."""

    job: Job
    key: TaskKey
    #: Whether it had just been started.
    is_early: bool

    @property
    def task(self):
        """The `TaskProgress` of its task."""
        return self.job.tasks_by_key[self.key]


@dataclass(slots=True, frozen=True)
class WorkerLoss:
    """A worker that was lost, with the runs that it had."""

    worker_id: str
    born_ms: int
    agent_address: str
    runs: tuple[LostRun, ...]
