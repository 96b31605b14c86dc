"""The leader's view of a worker and of the runs on it."""

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

#: Share of its requested processors that a serving task uses at peak load.
SERVING_PEAK_CPU_RATIO = 0.75
#: Time constant of the exponential smoothing of a run's pace: longer than load peaks of
#: serving tasks, shorter than the run time of most fillers.
PACE_SMOOTHING_S = 4.0
#: Longest time between two listings of a worker during which its runs count as
#: observed. Over a longer gap the worker, its agent or the leader was silent, which
#: says nothing about the runs.
MAX_LISTING_GAP_S = 1.6


class RunEnd:
    """How a run on a worker ended."""

    COMPLETED = "completed"
    FAILED = "failed"
    STOPPED = "stopped"
    #: The worker's lease expired.
    LEASE_EXPIRED = "lapsed"
    #: Another member of the gang ended.
    GANG_MEMBER_ENDED = "broken"
    #: The other members of the gang did not start in time.
    GANG_TIMED_OUT = "alone"


class RunStopReason:
    """Why a run is stopped before it ends by itself."""

    CANCELLED = "job cancelled"
    FAILED = "job failed"
    #: Another run, or another member of the gang, completed the task.
    COMPLETED = "task already completed"
    #: The worker lists a run that the journal does not know as the latest one.
    UNKNOWN = "not the latest run of its task"
    STALLED = "no progress"
    STRAGGLER = "expected to finish sooner on another worker"


@dataclass(slots=True, frozen=True)
class RunningTask:
    """An entry of a worker's list of running tasks."""

    task_id: str
    run: int
    checkpoint: str
    #: Progress of a batch task; level of activity of a serving task.
    percent: int
    #: Tail latency in milliseconds of a serving task; millicores in use of other tasks.
    figure: int
    #: Pace that was ordered for the run, in percent of its full speed.
    pace: int = 100


@dataclass(slots=True, frozen=True)
class EndedRun:
    """An entry of a worker's list of ended runs."""

    #: Sequence number of the end within this incarnation of the worker.
    number: int
    task_id: str
    run: int
    #: One of `RunEnd`.
    how: str
    checkpoint: str


@dataclass(slots=True, frozen=True)
class AgentReport:
    """State of a worker as reported by its agent."""

    agent_address: str
    worker_id: str
    #: Start of the worker's current incarnation, in milliseconds since 1970.
    born_ms: int
    service: str
    data_centre: str
    labels: frozenset[str]
    rack: str
    capacity: Resources
    is_reachable: bool
    is_draining: bool
    #: Whether this incarnation of the worker has ended.
    has_left: bool
    #: Agent's clock just before it requested the two lists from the worker.
    listed_ms: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedRun, ...]


@dataclass(slots=True)
class TaskRun:
    """A run that was assigned to a worker and is not known to have ended."""

    job_id: str
    key: TaskKey
    run: int
    reserved: Resources
    #: Processors that the task requests.
    millicores: int
    #: Target tail latency of a serving task; 0 for other tasks.
    target_ms: int
    is_filler: bool = False
    #: Image that the task runs; tasks of one image behave alike.
    image: str = ""
    #: Whether the worker has confirmed that it runs.
    is_confirmed: bool = False
    #: Whether this incarnation of the worker has listed it as running.
    is_listed: bool = False
    #: Whether a start or stop order awaits its reply from the worker.
    is_order_in_flight: bool = False
    #: A `RunStopReason`, or empty while the run is to continue.
    stop_reason: str = ""
    #: Whether an order for the run may have been sent before.
    is_repeat: bool = False
    #: Leader's clock of the latest order for the run.
    last_order_s: float = 0.0
    #: Agent's clock at the worker's latest confirmation of the run; 0 before the first.
    last_answer_ms: int = 0
    #: Processors that the run last reported to use; -1 until the first report.
    used_millicores: int = -1
    #: Leader's clock when it was first listed as running.
    first_listed_s: float = 0.0
    percent: int = 0
    #: Percentage at which it was first listed as running.
    first_listed_percent: int = 0
    #: Time that the listings cover since the run was first listed.
    observed_s: float = 0.0
    #: Part of `observed_s` since the percentage last changed.
    unchanged_s: float = 0.0
    #: Smoothed pace as a share of full speed, from 0 to 1.
    recent_pace_ratio: float = 1.0
    #: Work since the run was first listed, in seconds at full speed.
    work_done_s: float = 0.0

    def mark_listed(self, percent, now_s):
        """Record the first time that the worker lists the run as running."""
        self.first_listed_s = now_s
        self.first_listed_percent = percent
        self.percent = percent
        self.observed_s = 0.0
        self.unchanged_s = 0.0
        self.work_done_s = 0.0

    def observe(self, percent, pace, covered_s):
        """Apply a later listing of the run; return whether the run has progressed.

        Parameters
        ----------
        percent : int
        pace : float
            Pace since the previous listing, as a share of full speed.
        covered_s : float
            Time since the previous listing; see `Worker.cover_until`.
        """
        self.observed_s += covered_s
        self.work_done_s += pace * covered_s
        decay = exp(-covered_s / PACE_SMOOTHING_S)
        self.recent_pace_ratio = pace + (self.recent_pace_ratio - pace) * decay
        if percent == self.percent:
            self.unchanged_s += covered_s
            return False
        self.percent = percent
        self.unchanged_s = 0.0
        return True

    @property
    def is_stop_requested(self):
        """Whether the run is to be stopped."""
        return bool(self.stop_reason)

    @property
    def is_serving(self):
        """Whether the run is a serving task with a latency target."""
        return self.target_ms > 0

    @property
    def expected_millicores(self):
        """Processors in use as reported, or estimated from the request."""
        if self.used_millicores >= 0:
            return self.used_millicores
        if self.is_serving:
            return round(self.millicores * SERVING_PEAK_CPU_RATIO)
        return self.millicores


@dataclass(slots=True)
class Worker:
    """One incarnation of a worker, with the runs that may be active on it."""

    worker_id: str
    born_ms: int
    #: Address of the worker's agent; empty until it has reported.
    agent_address: str = ""
    service: str = ""
    data_centre: str = ""
    labels: frozenset[str] = frozenset()
    rack: str = ""
    capacity: Resources = Resources()
    is_reachable: bool = False
    is_draining: bool = False
    #: Leader's clock after which every lease granted to the worker has expired.
    lease_end_s: float = 0.0
    runs_by_task: dict[str, TaskRun] = field(default_factory=dict)
    reserved: Resources = Resources()
    #: Number of serving tasks on the worker.
    serving_count: int = 0
    #: Highest ratio of tail to target without fillers, by serving image.
    baseline_tail_by_image: dict[str, float] = field(default_factory=dict)
    #: Agent's clock at the latest listing; 0 before the first.
    listed_ms: int = 0
    #: Sequence number of the last end that was applied.
    last_applied_end: int = 0
    #: Leader's clock until which the worker gets no new tasks.
    cooldown_until_s: float = 0.0
    #: Jobs with failed runs on the worker since a task last completed there.
    failed_job_ids: frozenset[str] = frozenset()
    #: Cached result of `_current_usage`; None after a change of the runs.
    _usage: tuple | None = field(default=None, init=False, repr=False, compare=False)
    #: Capacity that is not reserved by runs.
    available: Resources = field(default=Resources(), init=False)

    def __post_init__(self):
        self.available = self.capacity

    def set_capacity(self, capacity):
        """Update the capacity to the reported one."""
        if capacity != self.capacity:
            self.capacity = capacity
            self.available = capacity - self.reserved

    def add(self, task_id, run):
        """Add a run and reserve its resources."""
        self.runs_by_task[task_id] = run
        self.reserved = self.reserved + run.reserved
        self.available = self.available - run.reserved
        self.serving_count += run.is_serving
        self._usage = None

    def remove(self, task_id):
        """Remove a run and free its resources; return it, or None if it is not here."""
        run = self.runs_by_task.pop(task_id, None)
        if run is not None:
            self.reserved = self.reserved - run.reserved
            self.available = self.available + run.reserved
            self.serving_count -= run.is_serving
            self._usage = None
        return run

    def invalidate_usage(self):
        """Drop the cached usage after a run's usage changed."""
        self._usage = None

    def _current_usage(self):
        """Return the millicores in use and the fillers' cores by image."""
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

    def cover_until(self, listed_ms):
        """Return the seconds between the previous listing and one at ``listed_ms``.

        It is 0 if the gap is longer than `MAX_LISTING_GAP_S`. Counted on the agent's
        clock, so that neither a paused leader nor delayed reports matter.
        """
        gap_s = (listed_ms - self.listed_ms) / 1000
        self.listed_ms = max(self.listed_ms, listed_ms)
        return gap_s if 0 < gap_s <= MAX_LISTING_GAP_S else 0.0

    def accepts_tasks(self, now_s):
        """Tell whether new tasks may be assigned to the worker."""
        return (
            self.is_reachable
            and not self.is_draining
            and now_s >= self.cooldown_until_s
        )

    @property
    def idle_millicores(self):
        """Processors that no run is expected to use; negative if oversubscribed."""
        return self.capacity.millicores - self._current_usage()[0]

    def image_pairs(self):
        """Return the (serving image, filler image) pairs present on the worker."""
        runs = self.runs_by_task.values()
        serving = {run.image for run in runs if run.is_serving}
        fillers = {run.image for run in runs if run.is_filler}
        return {(image, other) for image in serving for other in fillers}

    def filler_cores_by_image(self):
        """Return the cores that fillers are expected to use, by image."""
        return self._current_usage()[1]
