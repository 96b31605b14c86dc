"""Learned run times: the ratio of actual to declared run time, by kind of task.

Declared run times are off by 20 to 90 %. The ratio is learned from runs that completed,
by queue and shape of the step; with few samples it stays near that of the queue, and
that of the queue near 1. Run times are those of a run at full speed: the time for which
a run was paced below it counts in proportion.
"""

from collections import OrderedDict, deque
from dataclasses import dataclass
from math import exp, log
from statistics import median

from .taskrun import DONE_PERCENT
from .worker import MAX_LISTING_GAP_S

__all__ = ["DEFAULT_RUN_S", "RunTime", "RunTimes", "measure_run_s"]

#: Assumed run time of a task without a declared one.
DEFAULT_RUN_S = 1.0
#: Number of latest samples of a kind: a change of its run times is half adopted after
#: half of them.
MAX_SAMPLES = 32
#: Maximum number of kinds; the one that was not sampled for longest is dropped.
MAX_KINDS = 512
#: Number of samples that count as much as the prior.
PRIOR_SAMPLES = 4
#: Spread of the declared run times, as a standard deviation of the ratio's logarithm:
#: a factor of 1.6, since they are off by 20 to 90 %.
PRIOR_SPREAD = 0.5
#: Lower bound of a learned spread: instances differ in speed.
MIN_SPREAD = 0.05
#: Samples beyond this factor are cut, such as those of a stalled instance.
MAX_RATIO = 10.0
#: Standard deviation of a normal distribution in median absolute deviations.
DEVIATIONS_PER_MAD = 1.4826
#: Least part of a run that must have been observed if it did not start from scratch.
MIN_OBSERVED_PERCENT = 50


@dataclass(slots=True, frozen=True)
class RunTime:
    """Expected run time of a task at full speed."""

    seconds: float
    #: Standard deviation of the logarithm of the ratio of actual to expected run time.
    spread: float

    def upper_s(self, deviations):
        """Return the run time that is exceeded by few runs."""
        return self.seconds * exp(deviations * self.spread)


@dataclass(slots=True)
class _Samples:
    """Logarithms of the latest ratios of actual to declared run time."""

    logs: deque
    #: Cached result of `_summary`; None after a new sample.
    summary: tuple | None = None


class RunTimes:
    """Run times learned by a leader; a successor starts from the declared ones."""

    def __init__(self):
        self._samples_by_kind = OrderedDict()

    def __len__(self):
        return len(self._samples_by_kind)

    def learn(self, queue_name, step, run_s):
        """Add the run time at full speed of a run that completed."""
        if run_s <= 0:
            return
        bound = log(MAX_RATIO)
        ratio = max(-bound, min(bound, log(run_s / _declared_s(step))))
        for kind in ((queue_name,), _kind_of(queue_name, step)):
            samples = self._samples_by_kind.get(kind)
            if samples is None:
                samples = _Samples(deque(maxlen=MAX_SAMPLES))
                self._samples_by_kind[kind] = samples
            samples.logs.append(ratio)
            samples.summary = None
            self._samples_by_kind.move_to_end(kind)
        while len(self._samples_by_kind) > MAX_KINDS:
            self._samples_by_kind.popitem(last=False)

    def expect(self, queue_name, step):
        """Return the `RunTime` of a task of a step."""
        centre, spread = 0.0, PRIOR_SPREAD
        for kind in ((queue_name,), _kind_of(queue_name, step)):
            samples = self._samples_by_kind.get(kind)
            if samples is not None:
                centre, spread = _shrink(samples, centre, spread)
        return RunTime(_declared_s(step) * exp(centre), spread)


def _kind_of(queue_name, step):
    # Halving steps of the declared run time and the processors.
    return (
        queue_name,
        step.image,
        step.is_filler,
        step.estimate_ms.bit_length(),
        step.demand.millicores.bit_length(),
    )


def _declared_s(step):
    return step.estimate_ms / 1000 or DEFAULT_RUN_S


def _shrink(samples, prior_centre, prior_spread):
    """Return centre and spread of the samples, drawn to the prior if they are few."""
    if samples.summary is None:
        samples.summary = _summary(samples.logs)
    centre, spread = samples.summary
    weight = len(samples.logs) / (len(samples.logs) + PRIOR_SAMPLES)
    return (
        prior_centre + weight * (centre - prior_centre),
        max(MIN_SPREAD, prior_spread + weight * (spread - prior_spread)),
    )


def _summary(logs):
    centre = median(logs)
    deviation = median(abs(value - centre) for value in logs)
    return centre, DEVIATIONS_PER_MAD * deviation


def measure_run_s(run, had_checkpoint, now_s, ended_ms):
    """Return the run time at full speed of a run that completed, or 0 if unknown.

    Parameters
    ----------
    run : TaskRun
    had_checkpoint : bool
        Whether the run may have resumed from a checkpoint.
    now_s : float
        Leader's clock.
    ended_ms : int
        Agent's clock when it listed the end.
    """
    if run.confirmed_ms and not had_checkpoint:
        elapsed_s = (ended_ms - run.confirmed_ms) / 1000
        return _work_s(run, elapsed_s)
    if not run.is_listed:
        return 0.0
    percent = DONE_PERCENT - run.first_listed_percent
    if percent < MIN_OBSERVED_PERCENT:
        return 0.0
    return _work_s(run, now_s - run.first_listed_s) * DONE_PERCENT / percent


def _work_s(run, elapsed_s):
    """Return the work of a run in seconds at full speed, or 0 if unknown."""
    unobserved_s = elapsed_s - run.observed_s
    if unobserved_s < 0 or (run.is_listed and unobserved_s > 2 * MAX_LISTING_GAP_S):
        # The worker, its agent or the leader was silent for a while.
        return 0.0
    return run.work_done_s + unobserved_s * run.recent_pace_ratio
