"""A worker as the leader of its cell knows it."""

from dataclasses import dataclass, field
from math import exp

from ..resources import Resources
from .spec import TaskKey

__all__ = [
    "SERVING_PEAK_CPU_RATIO",
    "AgentReport",
    "EndedRun",
    "RunEnd",
    "RunStopReason",
    "RunningTask",
    "TaskRun",
    "Worker",
]

#: Part of its processors that a serving task uses at its busiest.
SERVING_PEAK_CPU_RATIO = 0.75
#: Seconds over which the recent pace of a run is averaged: longer than a serving task's
#: load stays high, shorter than most fillers run.
PACE_SMOOTHING_S = 4.0


class RunEnd:
    """How a run on a worker ended."""

    COMPLETED = "completed"
    FAILED = "failed"
    STOPPED = "stopped"
    #: The worker's lease expired.
    LEASE_EXPIRED = "lapsed"
    #: Another member of the gang ended.
    GANG_MEMBER_ENDED = "broken"
    #: The other members of the gang did not come in time.
    GANG_TIMED_OUT = "alone"


class RunStopReason:
    """Why a run is stopped before it ends by itself."""

    CANCELLED = "its job was cancelled"
    FAILED = "its job has failed"
    #: Another run, or another member of the gang, completed the task.
    COMPLETED = "its task is completed"
    #: The worker lists a run that the journal does not know as the latest one.
    UNKNOWN = "it is not the latest run of a task"
    STALLED = "it stands still"
    STRAGGLER = "its step runs faster elsewhere"


@dataclass(slots=True, frozen=True)
class RunningTask:
    """A run that a worker lists as running."""

    task_id: str
    run: int
    checkpoint: str
    #: Progress of a batch task, or how far a serving task is at work.
    percent: int
    #: Tail latency of a serving task in milliseconds, else millicores in use.
    figure: int
    #: Part of its speed that the run was told to work at, in percent.
    pace: int = 100


@dataclass(slots=True, frozen=True)
class EndedRun:
    """A run that a worker lists as ended."""

    #: Number of the end in this incarnation of the worker.
    number: int
    task_id: str
    run: int
    #: One of `RunEnd`.
    how: str
    checkpoint: str


@dataclass(slots=True, frozen=True)
class AgentReport:
    """What an agent says of its worker."""

    agent_address: str
    worker_id: str
    #: Start of the worker's present incarnation, in milliseconds since 1970.
    born_ms: int
    service: str
    data_centre: str
    labels: frozenset[str]
    rack: str
    capacity: Resources
    is_reachable: bool
    is_draining: bool
    #: Whether this incarnation of the worker is over.
    has_left: bool
    #: Agent's clock before it asked the worker for the two lists.
    listed_ms: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedRun, ...]


@dataclass(slots=True)
class TaskRun:
    """A run that was given to a worker and whose end is not known."""

    job_id: str
    key: TaskKey
    run: int
    reserved: Resources
    #: Processors that the task asks for, in millicores.
    millicores: int
    #: Bound on the tail of a serving task in milliseconds; 0 for other tasks.
    target_ms: int
    is_filler: bool = False
    #: What the task runs; tasks of one image behave alike.
    image: str = ""
    #: Whether the worker has confirmed that it runs.
    is_confirmed: bool = False
    #: Whether this incarnation of the worker has listed it as running.
    is_listed: bool = False
    #: Whether a start or a stop is on its way to the worker.
    is_order_in_flight: bool = False
    #: Why the run shall be stopped, one of `RunStopReason`; empty while it shall not.
    stop_reason: str = ""
    #: Whether an order for the run was sent before.
    is_repeat: bool = False
    #: Leader's clock of the latest order for the run.
    last_order_s: float = 0.0
    #: Agent's clock of the worker's latest definite answer; 0 before it.
    last_answer_ms: int = 0
    #: Processors that it used lately, in millicores; as asked for until reported.
    used_millicores: int = -1
    #: Leader's clock when it was first listed as running.
    first_listed_s: float = 0.0
    percent: int = 0
    #: Percentage at which it was first listed as running.
    first_listed_percent: int = 0
    #: Leader's clock when the percentage last changed.
    progressed_s: float = 0.0
    #: Part of its speed at which it worked lately, from 0 to 1.
    recent_pace_ratio: float = 1.0
    #: Seconds at full speed that would have done as much as it has since it was listed.
    work_done_s: float = 0.0
    #: Leader's clock up to which its work is counted.
    work_counted_until_s: float = 0.0

    def mark_listed(self, percent, now_s):
        """Note that the run is first listed as running."""
        self.first_listed_s = now_s
        self.first_listed_percent = percent
        self.progressed_s = now_s
        self.work_done_s = 0.0
        self.work_counted_until_s = now_s

    def record_work(self, pace, now_s):
        """Count the work since the last report, at a part of its full speed."""
        elapsed_s = now_s - self.work_counted_until_s
        self.work_counted_until_s = now_s
        self.work_done_s += pace * elapsed_s
        decay = exp(-elapsed_s / PACE_SMOOTHING_S)
        self.recent_pace_ratio = pace + (self.recent_pace_ratio - pace) * decay

    @property
    def is_stop_requested(self):
        """Whether the run shall be stopped."""
        return bool(self.stop_reason)

    @property
    def is_serving(self):
        """Whether the task serves users whose latency is bounded."""
        return self.target_ms > 0

    @property
    def expected_millicores(self):
        """Processors that the run takes, as reported or else as asked for."""
        if self.used_millicores >= 0:
            return self.used_millicores
        if self.is_serving:
            return round(self.millicores * SERVING_PEAK_CPU_RATIO)
        return self.millicores


@dataclass(slots=True)
class Worker:
    """One incarnation of a worker, with what may run on it."""

    worker_id: str
    born_ms: int
    #: Agent beside the worker; empty until it has reported.
    agent_address: str = ""
    service: str = ""
    data_centre: str = ""
    labels: frozenset[str] = frozenset()
    rack: str = ""
    capacity: Resources = Resources()
    is_reachable: bool = False
    is_draining: bool = False
    #: Leader's clock after which no lease that was granted can still hold.
    lease_end_s: float = 0.0
    runs_by_task: dict[str, TaskRun] = field(default_factory=dict)
    reserved: Resources = Resources()
    #: Number of serving tasks.
    serving_count: int = 0
    #: Part of its target that the tail of each serving image reaches at its highest
    #: without fillers.
    baseline_tail_by_image: dict[str, float] = field(default_factory=dict)
    #: Number up to which ends have been applied.
    last_applied_end: int = 0
    #: Leader's clock until which the worker gets no new task.
    cooldown_until_s: float = 0.0
    #: Jobs that failed here since a task last completed.
    failed_job_ids: frozenset[str] = frozenset()
    #: Sums over the runs, kept until one of them changes.
    _usage: tuple | None = field(default=None, init=False, repr=False, compare=False)
    #: Amount that no run has reserved.
    available: Resources = field(default=Resources(), init=False)

    def __post_init__(self):
        self.available = self.capacity

    def set_capacity(self, capacity):
        """Take the worker's capacity as reported."""
        if capacity != self.capacity:
            self.capacity = capacity
            self.available = capacity - self.reserved

    def add(self, task_id, run):
        """Count a run on the worker."""
        self.runs_by_task[task_id] = run
        self.reserved = self.reserved + run.reserved
        self.available = self.available - run.reserved
        self.serving_count += run.is_serving
        self._usage = None

    def remove(self, task_id):
        """Stop counting a run; return it, or None if it was not there."""
        run = self.runs_by_task.pop(task_id, None)
        if run is not None:
            self.reserved = self.reserved - run.reserved
            self.available = self.available + run.reserved
            self.serving_count -= run.is_serving
            self._usage = None
        return run

    def invalidate_usage(self):
        """Note that what the runs use has changed."""
        self._usage = None

    def _current_usage(self):
        """Return the processors in use and the fillers' cores by image."""
        if self._usage is None:
            used = 0
            cores_by_image = {}
            for run in self.runs_by_task.values():
                expected = run.expected_millicores
                used += expected
                if run.is_filler:
                    cores = cores_by_image.get(run.image, 0.0)
                    cores_by_image[run.image] = cores + expected / 1000
            self._usage = used, cores_by_image
        return self._usage

    def accepts_tasks(self, now_s):
        """Tell whether new tasks may be given to the worker."""
        return (
            self.is_reachable
            and not self.is_draining
            and now_s >= self.cooldown_until_s
        )

    @property
    def idle_millicores(self):
        """Processors that nothing on the worker uses, as far as is known."""
        return self.capacity.millicores - self._current_usage()[0]

    def image_pairs(self):
        """Return the pairs of a serving image and a filler's image on the worker."""
        runs = self.runs_by_task.values()
        serving = {run.image for run in runs if run.is_serving}
        fillers = {run.image for run in runs if run.is_filler}
        return {(image, other) for image in serving for other in fillers}

    def filler_cores_by_image(self):
        """Return the cores that fillers are expected to use, by image."""
        return self._current_usage()[1]
