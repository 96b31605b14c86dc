"""The leader's view of a worker and of the runs on it."""

import enum
from dataclasses import dataclass, field
from itertools import product

from ..resources import Resources
from .taskrun import TaskRun

__all__ = [
    "MAX_AWAITED_STARTS",
    "LeaseGrants",
    "Worker",
]

#: Longest time between two listings of a worker during which its runs count as
#: observed. Over a longer gap the worker, its agent or the leader was silent, which
#: says nothing about the runs.
MAX_LISTING_GAP_S = 1.6
#: Number of runs on a worker whose start is awaited up to which it gets further tasks.
#: Orders wait for each other at its agent, so that more would delay those of other jobs
#: and let them time out.
MAX_AWAITED_STARTS = 32


class LeaseGrants(enum.Enum):
    """Whether a leader grants leases to a worker."""

    ALLOWED = enum.auto()
    #: Not granted; the journal may say so.
    SUSPENDED = enum.auto()
    #: Not granted until the journal no longer says that they are suspended.
    RESUMING = enum.auto()


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
    #: Whether operators have evacuated its data centre.
    is_evacuated: bool = False
    #: Leader's clock until which it is slow after a start, as last reported.
    cold_until_s: float = 0.0
    #: Leader's clock until which it counts as cold after an evacuation, until its
    #: heartbeat tells whether it is.
    assumed_cold_until_s: float = 0.0
    #: Leader's clock since when it has been unreachable.
    unreachable_since_s: float = 0.0
    #: Whether it may hold a lease from calls to an earlier incarnation.
    may_hold_residual_lease: bool = False
    grants: LeaseGrants = LeaseGrants.ALLOWED
    #: Number of the latest suspension of its grants in this term; 0 if none.
    suspension_number: int = 0
    #: Whether the agent has stopped answering.
    is_agent_lost: bool = False
    #: Whether the agent has found its process not to be there any more.
    is_gone: bool = False
    #: Whether the agent has left ends of runs to later reports.
    has_more_ends: bool = False
    #: Leader's clock after which every lease granted to the worker has expired.
    lease_end_s: float = 0.0
    runs_by_task: dict[str, TaskRun] = field(default_factory=dict)
    reserved: Resources = Resources()
    #: Number of serving tasks on the worker.
    serving_count: int = 0
    #: Number of runs on the worker that are not the latest run of their task.
    stale_run_count: int = 0
    #: Number of runs whose start the worker has not confirmed.
    awaited_starts: int = 0
    #: Number of runs on probation.
    probation_count: int = 0
    #: Highest ratio of tail to target without fillers, by serving image.
    baseline_tail_by_image: dict[str, float] = field(default_factory=dict)
    #: Agent's clock at the latest listing; 0 before the first.
    listed_ms: int = 0
    #: Agent's clock at the worker's latest reply; 0 before the first.
    alive_ms: int = 0
    #: Sequence number of the last end that was applied.
    last_applied_end: int = 0
    #: Leader's clock until which the worker gets no new tasks, after it refused a
    #: start for reasons of its own, or after the end of an evacuation.
    backoff_until_s: float = 0.0
    #: Demands of starts that it refused for want of room, each with the leader's clock
    #: until which it gets no tasks that need as much.
    refused_demands: tuple[tuple[Resources, float], ...] = ()
    #: Leader's clock until which the worker gets serving tasks only, and those only if
    #: no other worker fits, after failed or stalled runs.
    cooldown_until_s: float = 0.0
    #: Jobs with failed runs on the worker since a task last completed there.
    failed_job_ids: frozenset[str] = frozenset()
    #: Cached result of `_current_usage`; None after a change of the runs.
    _usage: tuple | None = field(default=None, init=False, repr=False, compare=False)
    #: Number of runs by job and step key.
    _count_by_step: dict = field(
        default_factory=dict, init=False, repr=False, compare=False
    )
    #: Cached result of `timeline.releases_of`; None after a change of the runs.
    releases: list | None = field(default=None, init=False, repr=False, compare=False)
    #: Capacity that is not reserved by runs.
    available: Resources = field(default=Resources(), init=False)

    def __post_init__(self):
        self.available = self.capacity

    @property
    def has_reported(self):
        """Whether the worker's agent has reported in this term."""
        return bool(self.service)

    def set_reachable(self, is_reachable, now_s):
        """Record whether the worker and its agent answer."""
        if self.is_reachable and not is_reachable:
            self.unreachable_since_s = now_s
        self.is_reachable = is_reachable

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
        self.stale_run_count += run.is_stale
        self.probation_count += run.is_on_probation
        self.awaited_starts += not run.is_confirmed
        self._count_run(run, 1)
        if self._usage is not None:
            self._usage = _add_usage(self._usage, run)
        self.releases = None

    def remove(self, task_id):
        """Remove a run and free its resources; return it, or None if it is not here."""
        run = self.runs_by_task.pop(task_id, None)
        if run is not None:
            self.reserved = self.reserved - run.reserved
            self.available = self.available + run.reserved
            self.serving_count -= run.is_serving
            self.stale_run_count -= run.is_stale
            self.probation_count -= run.is_on_probation
            self.awaited_starts -= not run.is_confirmed
            self._count_run(run, -1)
            self._usage = None
            self.releases = None
        return run

    def confirm(self, run):
        """Record that the worker has started a run."""
        self.awaited_starts -= not run.is_confirmed
        run.is_confirmed = True

    @property
    def awaits_many_starts(self):
        """Whether further tasks would wait long for their start."""
        return self.awaited_starts >= MAX_AWAITED_STARTS

    def end_probation(self, run):
        """End the trial of a run that has lasted."""
        self.probation_count -= run.is_on_probation
        run.is_on_probation = False

    def invalidate_usage(self):
        """Drop the cached usage after a run's usage changed."""
        self._usage = None
        self.releases = None

    def _current_usage(self):
        """Return the millicores in use and the fillers' cores by image."""
        if self._usage is None:
            usage = 0, {}
            for run in self.runs_by_task.values():
                usage = _add_usage(usage, run)
            self._usage = usage
        return self._usage

    def cover_until(self, listed_ms):
        """Return the seconds between the previous listing and one at ``listed_ms``.

        It is 0 if the gap is longer than `MAX_LISTING_GAP_S`. Counted on the agent's
        clock, so that neither a paused leader nor delayed reports matter.
        """
        gap_s = (listed_ms - self.listed_ms) / 1000
        self.listed_ms = max(self.listed_ms, listed_ms)
        self.alive_ms = max(self.alive_ms, listed_ms)
        return gap_s if 0 < gap_s <= MAX_LISTING_GAP_S else 0.0

    def accepts_serving_tasks(self, now_s):
        """Tell whether new serving tasks may be assigned to the worker."""
        return (
            self.is_reachable
            and self.grants is LeaseGrants.ALLOWED
            and not self.is_draining
            and not self.is_evacuated
            and now_s >= self.backoff_until_s
        )

    def has_refused(self, demand, now_s):
        """Tell whether it has lately refused a start that needs no more room."""
        return any(
            now_s < until_s and refused.fits_in(demand)
            for refused, until_s in self.refused_demands
        )

    def is_cold(self, now_s):
        """Tell whether warm workers are preferred, since it is slow after a start."""
        return now_s < max(self.cold_until_s, self.assumed_cold_until_s)

    def cools_down(self, now_s):
        """Tell whether other workers are preferred after failures on this one."""
        return now_s < self.cooldown_until_s

    def accepts_tasks(self, now_s):
        """Tell whether new tasks of any kind may be assigned to the worker."""
        return self.accepts_serving_tasks(now_s) and not self.cools_down(now_s)

    @property
    def awaits_ends(self):
        """Whether its process is gone, and its agent has yet to report some ends."""
        return self.is_gone and self.has_more_ends and not self.is_agent_lost

    @property
    def idle_millicores(self):
        """Processors that no run is expected to use; negative if oversubscribed."""
        return self.capacity.millicores - self._current_usage()[0]

    def count_of_step(self, job_id, step_key):
        """Return the number of runs of a step on the worker."""
        return self._count_by_step.get((job_id, step_key), 0)

    def _count_run(self, run, change):
        step = run.job_id, run.key[:2]
        count = self._count_by_step.pop(step, 0) + change
        if count:
            self._count_by_step[step] = count

    def known_pairs(self, pairs):
        """Return those of some (serving image, filler image) pairs that it runs."""
        runs = self.runs_by_task.values()
        serving = {run.image for run in runs if run.is_serving}
        fillers = {run.image for run in runs if run.is_filler}
        if len(serving) * len(fillers) <= len(pairs):
            return {pair for pair in product(serving, fillers) if pair in pairs}
        return {pair for pair in pairs if pair[0] in serving and pair[1] in fillers}

    def filler_cores_by_image(self):
        """Return the cores that fillers are expected to use, by image."""
        return self._current_usage()[1]


def _add_usage(usage, run):
    """Return the result of `Worker._current_usage` with one more run."""
    used, cores_by_image = usage
    expected = run.expected_millicores
    if run.is_filler:
        cores = cores_by_image.get(run.image, 0.0)
        cores_by_image = cores_by_image | {run.image: cores + expected / 1000}
    return used + expected, cores_by_image
