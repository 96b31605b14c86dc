"""State of the leader of a cell, and the events and effects of its reducer."""

from dataclasses import dataclass, field

from ..reducer import Effect, Event
from .feasibility import WorkerShape
from .job import Job
from .paircost import PairCosts
from .permits import Permits
from .queues import FleetConfiguration
from .spec import JobSpec, StepSpec, TaskKey
from .worker import AgentReport, TaskRun, Worker

__all__ = [
    "AcknowledgeEnds",
    "AgentLost",
    "AppendDone",
    "Cancelled",
    "Cell",
    "CellTick",
    "Configured",
    "DropJob",
    "OrderSettled",
    "Reported",
    "StartRun",
    "StopRun",
    "Submitted",
]


@dataclass(slots=True)
class Cell:
    """All that the leader decides by; change it only through the reducer."""

    configuration: FleetConfiguration = FleetConfiguration()
    jobs_by_id: dict[str, Job] = field(default_factory=dict)
    workers_by_id: dict[str, Worker] = field(default_factory=dict)
    #: Shapes of all workers that were seen in this term, by service.
    shapes_by_service: dict[str, set[WorkerShape]] = field(default_factory=dict)
    #: Permits of the steps of queues with a policy, by job, occurrence and step.
    permits_by_job: dict[str, dict[tuple[int, int], Permits]] = field(
        default_factory=dict
    )
    #: Tasks that may be placed now, by job.
    ready_by_job: dict[str, dict[TaskKey, None]] = field(default_factory=dict)
    #: Occurrences that wait for their time: due time, job id and number.
    scheduled_occurrences: list[tuple[int, str, int]] = field(default_factory=list)
    #: Jobs whose record in the journal is out of date.
    dirty_job_ids: set[str] = field(default_factory=set)
    #: Workers that came or went since the journal was written.
    dirty_worker_ids: set[str] = field(default_factory=set)
    #: What fillers cost the serving tasks beside them.
    costs: PairCosts = field(default_factory=PairCosts)
    #: Leader's clock before which nothing is placed, so that all workers are known.
    placing_start_s: float = 0.0
    #: Whether starts would have to wait for an append that is under way.
    is_append_under_way: bool = False
    #: Whether tasks are to be placed once that append is done.
    is_placing_due: bool = False
    #: Seconds that a finished job's state is kept.
    status_s: float = 120.0

    def queue_of(self, job):
        """Return the `Queue` of a job, as configured last."""
        queue = job.spec.queue
        return self.configuration.queues_by_name.get(queue.name, queue)

    def service_of(self, queue):
        """Return the service whose workers run the tasks of a queue now."""
        return self.configuration.queues_by_name.get(queue.name, queue).service

    def permits_of(self, job, step_key):
        """Return the `Permits` of a step, kept until its job ends."""
        by_step = self.permits_by_job.setdefault(job.job_id, {})
        return by_step.setdefault(step_key, Permits())

    def is_ready(self, job, key):
        """Tell whether a task waits to be placed."""
        return key in self.ready_by_job.get(job.job_id, ())

    def set_ready(self, job, key):
        """Let a task be placed."""
        self.ready_by_job.setdefault(job.job_id, {})[key] = None

    def clear_ready(self, job, key):
        """Take a task out of those to be placed."""
        keys = self.ready_by_job.get(job.job_id)
        if keys is not None:
            keys.pop(key, None)
            if not keys:
                del self.ready_by_job[job.job_id]


@dataclass(slots=True, frozen=True)
class Submitted(Event):
    """A caller's job was read."""

    spec: JobSpec
    wall_ms: int


@dataclass(slots=True, frozen=True)
class Cancelled(Event):
    """A caller cancelled a job."""

    job_id: str
    wall_ms: int


@dataclass(slots=True, frozen=True)
class Configured(Event):
    """The operators published a version."""

    configuration: FleetConfiguration


@dataclass(slots=True, frozen=True)
class Reported(Event):
    """An agent said what its worker does."""

    report: AgentReport
    #: Leader's clock after which no lease that was granted can still hold.
    lease_end_s: float
    wall_ms: int


@dataclass(slots=True, frozen=True)
class AgentLost(Event):
    """An agent has not answered for some time."""

    agent_address: str


@dataclass(slots=True, frozen=True)
class OrderSettled(Event):
    """An order for a run was answered, or went unanswered."""

    worker_id: str
    born_ms: int
    task_id: str
    run: int
    #: One of ``confirmed``, ``refused``, ``unknown`` and ``gone``.
    result: str
    #: Agent's clock at its answer; 0 when there was none.
    clock_ms: int


@dataclass(slots=True, frozen=True)
class CellTick(Event):
    """Time has passed; sent several times a second."""

    wall_ms: int


@dataclass(slots=True, frozen=True)
class AppendDone(Event):
    """The append that kept starts waiting is done."""


@dataclass(slots=True, frozen=True)
class StartRun(Effect):
    """Order a worker to start a run."""

    worker: Worker
    run: TaskRun
    task_id: str
    program: str
    checkpoint: str
    step: StepSpec
    #: Permit of the queue's policy service; empty where none is needed.
    permit: str = ""


@dataclass(slots=True, frozen=True)
class StopRun(Effect):
    """Order a worker to stop a run."""

    worker: Worker
    run: TaskRun
    task_id: str


@dataclass(slots=True, frozen=True)
class AcknowledgeEnds(Effect):
    """Let a worker forget its ends up to a number."""

    agent_address: str
    born_ms: int
    number: int


@dataclass(slots=True, frozen=True)
class DropJob(Effect):
    """Remove a finished job from the journal."""

    job: Job
