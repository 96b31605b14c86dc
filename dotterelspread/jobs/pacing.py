"""At which share of their speed the fillers beside serving tasks work.

Answers a load of fillers of which a few disturb the serving tasks of one image or
another much and most hardly do, while the serving tasks' own load changes within
seconds. Each filler gets the share that all serving images can bear, the harmless
fillers first unless others have run for long, and all together get the processors that
the others leave; shares fall at once and rise step by step. A tail that stays above its
target stops all fillers, whatever was learned.
"""

from dataclasses import dataclass, field

from .paircost import CostEstimate, interference_factor
from .worker import SERVING_PEAK_CPU_RATIO

__all__ = [
    "FULL_PACE_PERCENT",
    "NEGLIGIBLE_INCREASE_RATIO",
    "FillerPacer",
    "PaceChange",
    "tail_increase_budget",
]

#: Part of a target up to which fillers may raise a tail.
MAX_TAIL_RATIO = 0.8
#: Factor by which a serving task's own load may raise its tail before the next look.
LOAD_SWING_RATIO = 1.15
#: Looks in a row above target after which all fillers stand still.
STOP_AFTER_SAMPLES = 3
#: Part of the undisturbed tail that a filler may add without being counted.
NEGLIGIBLE_INCREASE_RATIO = 0.02
#: Most percent by which a filler's share rises at one look.
MAX_PACE_INCREASE_PERCENT = 25
#: Looks after which a filler goes before younger ones, so that none starves: 8 s.
AGED_FILLER_SAMPLES = 16
FULL_PACE_PERCENT = 100
#: Percent below which a filler stands still.
MIN_PACE_PERCENT = 4
#: Least difference in percent that is worth an order.
MIN_PACE_CHANGE_PERCENT = 5


@dataclass(slots=True, frozen=True)
class PaceChange:
    """A run and the share of its speed that it shall work at."""

    task_id: str
    run: int
    percent: int


@dataclass(slots=True, frozen=True)
class _Filler:
    task_id: str
    run: int
    millicores: int
    percent_done: int
    #: Part of the undisturbed tail that it adds at full speed, by serving image.
    increase_by_image: dict[str, float]


def tail_increase_budget(baseline):
    """Return what fillers may add to a tail, as a part of the undisturbed one.

    Parameters
    ----------
    undisturbed : float
        Part of its target that the tail would be at without fillers.
    """
    return MAX_TAIL_RATIO / (LOAD_SWING_RATIO * baseline) - 1.0


@dataclass(slots=True)
class FillerPacer:
    """Control of the fillers on one worker; use one for each incarnation of it."""

    #: What each filler was last told, by task id and run.
    pace_by_run: dict[tuple[str, int], int] = field(default_factory=dict)
    #: Looks at which each filler ran, by task id and run.
    samples_by_run: dict[tuple[str, int], int] = field(default_factory=dict)
    #: Looks in a row with a tail above its target.
    samples_above_target: int = 0

    def pace_of(self, task_id, run):
        """Return the share in percent that a run was told to work at."""
        return self.pace_by_run.get((task_id, run), FULL_PACE_PERCENT)

    def update(self, capacity_millicores, running, traits_by_task, costs_by_pair):
        """Return the `PaceChange`s that a listing asks for.

        Parameters
        ----------
        capacity_millicores : int
            Processors of the worker.
        running : iterable of RunningTask
        traits_by_task : dict of str to TaskTraits
            Targets of serving tasks in milliseconds; images and processors of all.
        costs_by_pair : dict of (str, str) to CostEstimate
            By serving image and filler's image.
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
                    image: cost(image, traits.image).upper_per_core
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
        """Return the share of each filler in percent, by task id and run."""
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
        """Sort fillers that have run for long first, then the harmless ones."""
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
    """Return the largest part of its target that a tail is at, by serving image."""
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
    """Return the processors that all but the fillers take at their busiest."""
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
