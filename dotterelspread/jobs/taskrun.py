"""The leader's view of one run of a task: its order, its progress, its processors."""

from dataclasses import dataclass
from math import exp

from ..resources import Resources
from .spec import TaskKey

__all__ = ["DONE_PERCENT", "SERVING_PEAK_CPU_RATIO", "RunStopReason", "TaskRun"]

#: Share of its requested processors that a serving task uses at peak load.
SERVING_PEAK_CPU_RATIO = 0.75
#: Progress of a run that is complete, as workers list it.
DONE_PERCENT = 100
#: Time constant of the exponential smoothing of a run's pace: longer than load peaks of
#: serving tasks, shorter than the run time of most fillers.
PACE_SMOOTHING_S = 4.0


class RunStopReason:
    """Why a run is stopped before it ends by itself."""

    CANCELLED = "job cancelled"
    FAILED = "job failed"
    #: Another run, or another member of the gang, completed the task.
    COMPLETED = "task already completed"
    #: The worker lists a run that the journal does not know as the latest one.
    UNKNOWN = "not the latest run of its task"
    #: The start is not confirmed, and the worker has changed since the assignment.
    UNSUITABLE = "the worker has no room for it any more"
    #: The start is not confirmed, and the worker's data centre was evacuated.
    EVACUATED = "the data centre is evacuated"
    STALLED = "no progress"
    STRAGGLER = "expected to finish sooner on another worker"


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
    #: Whether an order to start it awaits its reply from the worker.
    is_start_in_flight: bool = False
    #: Whether an order to stop it awaits its reply from the worker.
    is_stop_in_flight: bool = False
    #: Leader's clock until which an agent may pass on an order to start it that it has
    #: not answered; 0 if there is none.
    lost_start_until_s: float = 0.0
    #: Whether the worker has confirmed a stop, after which it starts the run no more.
    is_stop_confirmed: bool = False
    #: A `RunStopReason`, or empty while the run is to continue.
    stop_reason: str = ""
    #: Whether an order for the run may have been sent before.
    is_repeat: bool = False
    #: Whether no order for the run has reached the worker.
    is_unsent: bool = False
    #: Whether no order for it went to this incarnation; an earlier one had the run.
    is_carried_over: bool = False
    #: Start of the incarnation that the journal names, if another one was adopted for
    #: it; else 0.
    recorded_born_ms: int = 0
    #: Whether the task may crash its worker soon, since it may have crashed others.
    is_on_probation: bool = False
    #: Leader's clock of the latest order for the run.
    last_order_s: float = 0.0
    #: Agent's clock at the first answer to an order for the run, or at the latest
    #: listing with it; 0 before. A later listing without it shows that it is gone.
    last_answer_ms: int = 0
    #: Agent's clock when an order to start it was first confirmed; 0 before.
    confirmed_ms: int = 0
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
        self.is_carried_over = False
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
    def is_order_in_flight(self):
        """Whether a start or stop order awaits its reply from the worker."""
        return self.is_start_in_flight or self.is_stop_in_flight

    def may_yet_start(self, now_s):
        """Tell whether an agent may still have the worker start the run."""
        may_be_sent = self.is_start_in_flight or now_s < self.lost_start_until_s
        return may_be_sent and not self.is_stop_confirmed

    @property
    def is_stale(self):
        """Whether the worker lists it though it is not the latest run of its task."""
        return self.stop_reason == RunStopReason.UNKNOWN

    @property
    def may_have_started(self):
        """Whether an order for the run may have reached this incarnation.

        That leaves out late orders to an earlier one, which are rare.
        """
        has_no_order = self.is_unsent or self.is_carried_over
        return self.is_order_in_flight or not has_no_order

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
