"""At which share of their speed the fillers beside serving tasks work.

Answers a load of fillers of which a few disturb the serving tasks of one image or
another much and most hardly do, while the serving tasks' own load changes within
seconds. Each filler gets the share that all serving images can bear, the harmless
fillers first unless others have run for long, and all together get the processors that
the others leave; shares fall at once and rise step by step. A tail that stays above its
target stops all fillers, whatever was learned.
"""

from dataclasses import dataclass, field

from .paircost import CostEstimate, disturbance
from .worker import SERVING_LOAD

__all__ = [
    "FULL_PERCENT",
    "HARMLESS_RISE",
    "FillerPacer",
    "PaceChange",
    "rise_budget",
]

#: Part of a target up to which fillers may raise a tail.
TAIL_LIMIT = 0.8
#: Factor by which a serving task's own load may raise its tail before the next look.
SWING_FACTOR = 1.15
#: Looks in a row above target after which all fillers stand still.
STOP_AFTER_LOOKS = 3
#: Part of the undisturbed tail that a filler may add without being counted.
HARMLESS_RISE = 0.02
#: Most percent by which a filler's share rises at one look.
RISE_STEP = 25
#: Looks after which a filler goes before younger ones, so that none starves: 8 s.
OLD_LOOKS = 16
FULL_PERCENT = 100
#: Percent below which a filler stands still.
LEAST_PERCENT = 4
#: Least difference in percent that is worth an order.
LEAST_CHANGE = 5


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
    rise_by_image: dict[str, float]


def rise_budget(undisturbed):
    """Return what fillers may add to a tail, as a part of the undisturbed one.

    Parameters
    ----------
    undisturbed : float
        Part of its target that the tail would be at without fillers.
    """
    return TAIL_LIMIT / (SWING_FACTOR * undisturbed) - 1.0


@dataclass(slots=True)
class FillerPacer:
    """Control of the fillers on one worker; use one for each incarnation of it."""

    #: What each filler was last told, by task id and run.
    told_by_run: dict[tuple[str, int], int] = field(default_factory=dict)
    #: Looks at which each filler ran, by task id and run.
    looks_by_run: dict[tuple[str, int], int] = field(default_factory=dict)
    #: Looks in a row with a tail above its target.
    looks_above: int = 0

    def pace_of(self, task_id, run):
        """Return the share in percent that a run was told to work at."""
        return self.told_by_run.get((task_id, run), FULL_PERCENT)

    def look(self, capacity_millicores, running, traits_by_task, costs_by_pair):
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
                    image: cost(image, traits.image).cautious * traits.millicores / 1000
                    for image in tail_by_image
                },
            )
            for row, traits in rows
            if traits.filler
        ]
        self.looks_by_run = {
            (filler.task_id, filler.run): 1 + self._looks_at(filler)
            for filler in fillers
        }
        cores_by_image = _filler_cores(rows)
        budgets = {
            image: rise_budget(tail / disturbance(cost, image, cores_by_image))
            for image, tail in tail_by_image.items()
        }
        idle = capacity_millicores - _other_millicores(rows)
        wanted = self._wanted(fillers, tail_by_image, budgets, idle)
        return self._changes(fillers, wanted)

    def _wanted(self, fillers, tail_by_image, budgets, idle):
        """Return the share of each filler in percent, by task id and run."""
        if not tail_by_image:
            self.looks_above = 0
            return {}
        is_above = max(tail_by_image.values()) > 1.0
        self.looks_above = self.looks_above + 1 if is_above else 0
        if self.looks_above >= STOP_AFTER_LOOKS:
            return {(filler.task_id, filler.run): 0 for filler in fillers}
        wanted = {}
        for filler in sorted(fillers, key=self._precedence):
            share = _affordable_share(filler.rise_by_image, budgets)
            if filler.millicores:
                share = min(share, max(0.0, idle / filler.millicores))
            idle -= share * filler.millicores
            for image, rise in filler.rise_by_image.items():
                budgets[image] -= share * rise
            run = (filler.task_id, filler.run)
            wanted[run] = self._step(run, share)
        return wanted

    def _looks_at(self, filler):
        return self.looks_by_run.get((filler.task_id, filler.run), 0)

    def _precedence(self, filler):
        """Sort fillers that have run for long first, then the harmless ones."""
        looks = self._looks_at(filler)
        old_looks = looks if looks >= OLD_LOOKS else 0
        return -old_looks, *_largest_rise(filler)

    def _step(self, run, share):
        told = self.pace_of(*run)
        percent = min(round(FULL_PERCENT * share), told + RISE_STEP)
        return 0 if percent < LEAST_PERCENT else percent

    def _changes(self, fillers, wanted):
        changes = []
        told_by_run = {}
        for filler in fillers:
            run = (filler.task_id, filler.run)
            told = self.pace_of(*run)
            percent = wanted.get(run, FULL_PERCENT)
            is_end = percent in (0, FULL_PERCENT) and told != percent
            if is_end or abs(told - percent) >= LEAST_CHANGE:
                changes.append(PaceChange(filler.task_id, filler.run, percent))
                told = percent
            told_by_run[run] = told
        self.told_by_run = told_by_run
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
        traits.millicores * (SERVING_LOAD if traits.target_ms else 1.0)
        for _, traits in rows
        if not traits.filler
    )


def _affordable_share(rise_by_image, budgets):
    share = 1.0
    for image, rise in rise_by_image.items():
        if rise >= HARMLESS_RISE:
            share = min(share, max(0.0, budgets[image] / rise))
    return share


def _largest_rise(filler):
    rise = max(filler.rise_by_image.values(), default=0.0)
    return max(rise, HARMLESS_RISE), -filler.percent_done, filler.task_id
