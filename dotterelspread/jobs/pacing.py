"""Pacing: throttles fillers to protect the tail latency of serving tasks.

A few fillers interfere strongly with the serving tasks of some images and most hardly
interfere at all, while the load of the serving tasks changes within seconds. Each
filler gets the largest share of its speed that all serving images on the worker
tolerate. Fillers with little interference come first, except that fillers that have run
for long precede them; together they use the processors that other tasks leave idle.
Shares drop at once and rise in steps. If a tail stays above its target, all fillers are
paused regardless of the learned costs.
"""

from dataclasses import dataclass, field

from .paircost import CostEstimate, interference_factor
from .taskrun import SERVING_PEAK_CPU_RATIO

__all__ = [
    "FULL_PACE_PERCENT",
    "NEGLIGIBLE_INCREASE_RATIO",
    "FillerPacer",
    "PaceChange",
    "tail_increase_budget",
]

#: Ratio of tail to target up to which fillers may raise a tail.
MAX_TAIL_RATIO = 0.8
#: Factor by which a serving task's own load may raise its tail until the next sample.
LOAD_SWING_RATIO = 1.15
#: Consecutive samples above target after which all fillers are paused.
STOP_AFTER_SAMPLES = 3
#: Increase of a tail, relative to its baseline, that is ignored.
NEGLIGIBLE_INCREASE_RATIO = 0.02
#: Maximum increase of a filler's pace per sample, in percentage points.
MAX_PACE_INCREASE_PERCENT = 25
#: Samples after which a filler precedes younger ones, so that none starves: 8 s at
#: two samples a second.
AGED_FILLER_SAMPLES = 16
FULL_PACE_PERCENT = 100
#: Pace below which a filler is paused instead.
MIN_PACE_PERCENT = 4
#: Minimum change of pace for which an order is sent, in percentage points.
MIN_PACE_CHANGE_PERCENT = 5


@dataclass(slots=True, frozen=True)
class PaceChange:
    """A new pace for a run, as a percentage of its full speed."""

    task_id: str
    run: int
    percent: int


@dataclass(slots=True, frozen=True)
class _Filler:
    task_id: str
    run: int
    millicores: int
    percent_done: int
    #: Increase of each serving image's tail at full speed, relative to its baseline.
    increase_by_image: dict[str, float]


def tail_increase_budget(baseline):
    """Return by how much fillers may raise a tail, relative to its baseline.

    Parameters
    ----------
    baseline : float
        Ratio of the tail without fillers to its target.
    """
    return MAX_TAIL_RATIO / (LOAD_SWING_RATIO * baseline) - 1.0


@dataclass(slots=True)
class FillerPacer:
    """Paces the fillers on one incarnation of a worker."""

    #: Pace last ordered for each filler, in percent, by task id and run.
    pace_by_run: dict[tuple[str, int], int] = field(default_factory=dict)
    #: Number of samples in which each filler ran, by task id and run.
    samples_by_run: dict[tuple[str, int], int] = field(default_factory=dict)
    #: Consecutive samples with a tail above its target.
    samples_above_target: int = 0

    def pace_of(self, task_id, run):
        """Return the pace in percent that was last ordered for a run."""
        return self.pace_by_run.get((task_id, run), FULL_PACE_PERCENT)

    def update(self, capacity_millicores, running, traits_by_task, costs_by_pair):
        """Return the `PaceChange` orders that result from a new listing.

        Parameters
        ----------
        capacity_millicores : int
            Processor capacity of the worker.
        running : iterable of RunningTask
        traits_by_task : dict of str to TaskTraits
            Image and processors of each task, and the latency target of serving tasks.
        costs_by_pair : dict of (str, str) to CostEstimate
            Keyed by serving image and filler image.
        """

        def cost(serving_image, filler_image):
            pair = (serving_image, filler_image)
            return costs_by_pair.get(pair) or CostEstimate()

        rows = [(row, traits_by_task.get(row.task_id)) for row in running]
        rows = [(row, traits) for row, traits in rows if traits is not None]
        tail_by_image = _tails(rows)
        fillers = [
            _Filler(
                row.task_id,
                row.run,
                traits.millicores,
                row.percent,
                {
                    image: max(0.0, cost(image, traits.image).per_core)
                    * traits.millicores
                    / 1000
                    for image in tail_by_image
                },
            )
            for row, traits in rows
            if traits.filler
        ]
        self.samples_by_run = {
            (filler.task_id, filler.run): 1 + self._samples_of(filler)
            for filler in fillers
        }
        cores_by_image = _filler_cores(rows)
        budgets = {
            image: tail_increase_budget(
                tail / interference_factor(cost, image, cores_by_image)
            )
            for image, tail in tail_by_image.items()
        }
        idle = capacity_millicores - _other_millicores(rows)
        target_by_run = self._target_paces(fillers, tail_by_image, budgets, idle)
        return self._changes(fillers, target_by_run)

    def _target_paces(self, fillers, tail_by_image, budgets, idle):
        """Return the target pace of each filler in percent, by task id and run."""
        if not tail_by_image:
            self.samples_above_target = 0
            return {}
        is_above = max(tail_by_image.values()) > 1.0
        self.samples_above_target = self.samples_above_target + 1 if is_above else 0
        if self.samples_above_target >= STOP_AFTER_SAMPLES:
            return {(filler.task_id, filler.run): 0 for filler in fillers}
        target_by_run = {}
        for filler in sorted(fillers, key=self._precedence):
            share = _affordable_share(filler.increase_by_image, budgets)
            if filler.millicores:
                share = min(share, max(0.0, idle / filler.millicores))
            idle -= share * filler.millicores
            for image, increase in filler.increase_by_image.items():
                budgets[image] -= share * increase
            run = (filler.task_id, filler.run)
            target_by_run[run] = self._limit_increase(run, share)
        return target_by_run

    def _samples_of(self, filler):
        return self.samples_by_run.get((filler.task_id, filler.run), 0)

    def _precedence(self, filler):
        """Sort key: long-running fillers first, then those that interfere least."""
        samples = self._samples_of(filler)
        aged_samples = samples if samples >= AGED_FILLER_SAMPLES else 0
        return -aged_samples, *_interference_order(filler)

    def _limit_increase(self, run, share):
        current = self.pace_of(*run)
        percent = min(
            round(FULL_PACE_PERCENT * share), current + MAX_PACE_INCREASE_PERCENT
        )
        return 0 if percent < MIN_PACE_PERCENT else percent

    def _changes(self, fillers, target_by_run):
        changes = []
        pace_by_run = {}
        for filler in fillers:
            run = (filler.task_id, filler.run)
            current = self.pace_of(*run)
            percent = target_by_run.get(run, FULL_PACE_PERCENT)
            is_at_limit = percent in (0, FULL_PACE_PERCENT) and current != percent
            if is_at_limit or abs(current - percent) >= MIN_PACE_CHANGE_PERCENT:
                changes.append(PaceChange(filler.task_id, filler.run, percent))
                current = percent
            pace_by_run[run] = current
        self.pace_by_run = pace_by_run
        return changes


def _tails(rows):
    """Return the largest ratio of tail to target, by serving image."""
    tail_by_image = {}
    for row, traits in rows:
        if traits.target_ms and not traits.filler:
            tail = (row.figure + 0.5) / traits.target_ms
            earlier = tail_by_image.get(traits.image, 0.0)
            tail_by_image[traits.image] = max(tail, earlier)
    return tail_by_image


def _filler_cores(rows):
    cores_by_image = {}
    for row, traits in rows:
        if traits.filler:
            cores = cores_by_image.get(traits.image, 0.0)
            cores_by_image[traits.image] = cores + row.figure / 1000
    return cores_by_image


def _other_millicores(rows):
    """Return the processors that all tasks but fillers use at peak load."""
    return sum(
        traits.millicores * (SERVING_PEAK_CPU_RATIO if traits.target_ms else 1.0)
        for _, traits in rows
        if not traits.filler
    )


def _affordable_share(increase_by_image, budgets):
    share = 1.0
    for image, increase in increase_by_image.items():
        if increase >= NEGLIGIBLE_INCREASE_RATIO:
            share = min(share, max(0.0, budgets[image] / increase))
    return share


def _interference_order(filler):
    increase = max(filler.increase_by_image.values(), default=0.0)
    return (
        max(increase, NEGLIGIBLE_INCREASE_RATIO),
        -filler.percent_done,
        filler.task_id,
    )
