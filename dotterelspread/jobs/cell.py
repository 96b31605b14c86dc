"""State of a cell's leader, and the events and effects of its reducer."""

from dataclasses import dataclass, field

from ..reducer import Effect, Event
from .agentreport import AgentReport
from .feasibility import WorkerShape
from .gangsearch import GangSearches
from .job import Job
from .paircost import PairCosts
from .permits import Permits
from .placementpolicy import PlacementPolicy
from .queues import FleetConfiguration
from .readytasks import ReadyTasks
from .refusals import RefusalScope
from .runtimes import RunTimes
from .spec import JobSpec, StepSpec
from .taskrun import TaskRun
from .worker import Worker
from .workerloss import WorkerLoss

__all__ = [
    "AcknowledgeEnds",
    "AgentLost",
    "AppendDone",
    "Cancelled",
    "Cell",
    "CellTick",
    "Configured",
    "DropJob",
    "EarlierTermsEnded",
    "Evacuated",
    "GrantsResumed",
    "OrderSettled",
    "Reported",
    "ResumeGrants",
    "StartRun",
    "StopRun",
    "Submitted",
    "Withdrawn",
]


@dataclass(slots=True)
class Cell:
    """The leader's decision state; changed only by the reducer."""

    configuration: FleetConfiguration = FleetConfiguration()
    evacuated_data_centres: frozenset[str] = frozenset()
    jobs_by_id: dict[str, Job] = field(default_factory=dict)
    workers_by_id: dict[str, Worker] = field(default_factory=dict)
    #: Leader's clock at the removal of workers that may start again under their ids.
    removed_s_by_worker_id: dict[str, float] = field(default_factory=dict)
    #: Workers that were given up while it was not known whether they had crashed, by
    #: the address of their agent.
    silent_losses_by_agent: dict[str, WorkerLoss] = field(default_factory=dict)
    #: Shapes of all workers that have reported in this term, by service.
    shapes_by_service: dict[str, set[WorkerShape]] = field(default_factory=dict)
    #: Permits for the steps of queues with a policy service, by job and step key.
    permits_by_job: dict[str, dict[tuple[int, int], Permits]] = field(
        default_factory=dict
    )
    #: Tasks that are ready for placement, by job.
    ready_by_job: dict[str, ReadyTasks] = field(default_factory=dict)
    #: Occurrences not yet due, sorted: due time in milliseconds, job id and number.
    scheduled_occurrences: list[tuple[int, str, int]] = field(default_factory=list)
    #: Jobs with withdrawals.
    withdrawing_job_ids: set[str] = field(default_factory=set)
    #: Jobs that have begun since the last append, which the next one tells of. That is
    #: no reason for an append.
    begun_job_ids: set[str] = field(default_factory=set)
    #: Jobs whose journal record is out of date.
    dirty_job_ids: set[str] = field(default_factory=set)
    #: Workers added or removed since the last append to the journal.
    dirty_worker_ids: set[str] = field(default_factory=set)
    #: Learned interference costs of fillers on serving tasks.
    costs: PairCosts = field(default_factory=PairCosts)
    #: Learned run times, by kind of task.
    run_times: RunTimes = field(default_factory=RunTimes)
    #: Whether no earlier leader grants leases any more.
    are_earlier_terms_over: bool = True
    #: Leader's clock after which every lease granted by earlier leaders has expired, if
    #: they may still grant any.
    earlier_lease_end_s: float = 0.0
    #: Number of times that the grants to any worker were suspended in this term.
    suspension_count: int = 0
    #: Leader's clock before which nothing is placed, so that all workers report first.
    placing_start_s: float = 0.0
    #: Whether an append to the journal is in progress, for which starts would wait.
    is_append_under_way: bool = False
    #: Whether a placement pass is due, after the append in progress if there is one.
    is_placing_due: bool = False
    #: Gangs for which workers were sought in vain.
    gang_searches: GangSearches = field(default_factory=GangSearches)
    #: Settings of placement.
    placement_policy: PlacementPolicy = PlacementPolicy()
    #: Job and step key of the reservations of the latest pass, so that each is logged
    #: once; nothing is decided by them.
    logged_reservations: frozenset[tuple[str, tuple[int, int]]] = frozenset()
    #: Retention period of a finished job.
    status_s: float = 120.0

    def queue_of(self, job):
        """Return the `Queue` of a job in the current configuration."""
        queue = job.spec.queue
        return self.configuration.queues_by_name.get(queue.name, queue)

    def service_of(self, queue):
        """Return the service whose workers currently run the tasks of a queue."""
        return self.configuration.queues_by_name.get(queue.name, queue).service

    def permits_of(self, job, step_key):
        """Return the `Permits` of a step; they are kept until its job ends."""
        by_step = self.permits_by_job.setdefault(job.job_id, {})
        return by_step.setdefault(step_key, Permits())

    def is_ready(self, job, key):
        """Tell whether a task is ready for placement."""
        return key in self.ready_by_job.get(job.job_id, ())

    def set_ready(self, job, key):
        """Mark a task as ready for placement."""
        ready = self.ready_by_job.get(job.job_id)
        if ready is None:
            ready = self.ready_by_job[job.job_id] = ReadyTasks()
        ready.add(key)

    def clear_ready(self, job, key):
        """Remove a task from those ready for placement."""
        ready = self.ready_by_job.get(job.job_id)
        if ready is not None:
            ready.discard(key)
            if not ready:
                del self.ready_by_job[job.job_id]


@dataclass(slots=True, frozen=True)
class Submitted(Event):
    """A caller submitted a valid job."""

    spec: JobSpec
    wall_ms: int


@dataclass(slots=True, frozen=True)
class Withdrawn(Event):
    """A submitted job is refused, since no append with it has been sent."""

    job_id: str


@dataclass(slots=True, frozen=True)
class Cancelled(Event):
    """A caller cancelled a job."""

    job_id: str
    wall_ms: int


@dataclass(slots=True, frozen=True)
class Configured(Event):
    """The operators published a configuration."""

    configuration: FleetConfiguration


@dataclass(slots=True, frozen=True)
class Evacuated(Event):
    """The set of data centres that operators have evacuated has changed."""

    data_centres: frozenset[str]


@dataclass(slots=True, frozen=True)
class Reported(Event):
    """An agent reported the state of its worker."""

    report: AgentReport
    #: Leader's clock after which every lease granted to the worker has expired.
    lease_end_s: float
    wall_ms: int
    #: The same for leases from calls to earlier incarnations of the worker; 0 if none
    #: can last.
    residual_lease_end_s: float = 0.0


@dataclass(slots=True, frozen=True)
class AgentLost(Event):
    """An agent has stopped answering."""

    agent_address: str


@dataclass(slots=True, frozen=True)
class OrderSettled(Event):
    """An order for a run was answered or timed out."""

    worker_id: str
    born_ms: int
    task_id: str
    run: int
    #: One of ``confirmed``, ``refused``, ``unknown``, ``unsent`` and ``gone``.
    result: str
    #: Agent's clock at its answer; 0 when there was none.
    clock_ms: int
    #: What else would be refused, if the order was.
    refusal: RefusalScope = RefusalScope.WORKER
    #: Whether the order was to stop the run.
    is_stop: bool = False
    #: Whether the worker has answered to a start that it runs; None if unknown.
    has_begun: bool | None = None


@dataclass(slots=True, frozen=True)
class CellTick(Event):
    """The periodic tick, sent several times a second."""

    wall_ms: int


@dataclass(slots=True, frozen=True)
class EarlierTermsEnded(Event):
    """No earlier leader grants leases any more."""

    #: Leader's clock after which every lease granted by them has expired.
    lease_end_s: float


@dataclass(slots=True, frozen=True)
class GrantsResumed(Event):
    """The journal no longer says that the grants to a worker are suspended."""

    worker_id: str
    #: `Worker.suspension_number` of the suspension that ended.
    suspension_number: int


@dataclass(slots=True, frozen=True)
class AppendDone(Event):
    """The append for which starts were waiting is done."""


@dataclass(slots=True, frozen=True)
class StartRun(Effect):
    """Order a worker to start a run."""

    worker: Worker
    run: TaskRun
    task_id: str
    program: str
    checkpoint: str
    step: StepSpec
    #: Permit from the queue's policy service; empty if none is needed.
    permit: str = ""


@dataclass(slots=True, frozen=True)
class StopRun(Effect):
    """Order a worker to stop a run."""

    worker: Worker
    run: TaskRun
    task_id: str


@dataclass(slots=True, frozen=True)
class AcknowledgeEnds(Effect):
    """Acknowledge a worker's ends up to a number, so that it may discard them."""

    agent_address: str
    born_ms: int
    number: int


@dataclass(slots=True, frozen=True)
class ResumeGrants(Effect):
    """Grant leases to a worker again; performed once the journal says so."""

    worker_id: str
    suspension_number: int


@dataclass(slots=True, frozen=True)
class DropJob(Effect):
    """Remove a finished job from the journal."""

    job: Job
