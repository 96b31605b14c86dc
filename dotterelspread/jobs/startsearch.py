"""Search for the earliest starts of waiting tasks, by the timelines of the workers."""

from heapq import nsmallest

from .scoring import MIN_FILLER_SPEED_RATIO, FillerDemand, expected_speed
from .timeline import add, fits, free_now, releases_of, subtract

__all__ = ["StartSearch"]

#: Longest time until the start of a reserved task. Ends further away are not known
#: well enough: with 5 s capacity stays idle, and large fillers wait 1.3 s instead of
#: 0.9 s at the median of a steady load.
MAX_LOOKAHEAD_S = 1.0
#: The same for a gang, which collects the capacity of several workers.
MAX_GANG_LOOKAHEAD_S = 5.0
#: Maximum number of tasks of a step that are reserved on one worker.
MAX_PER_WORKER = 8


class StartSearch:
    """Finds when and where tasks will fit.

    Parameters
    ----------
    cell : Cell
    workers : list of Worker
        Workers that accept tasks.
    now_s : float
    """

    __slots__ = ("_cell", "_now_s", "_workers")

    def __init__(self, cell, workers, now_s):
        self._cell = cell
        self._workers = workers
        self._now_s = now_s

    def find(self, step, count, need, use, service, held_of):
        """Return pairs of time and worker of the earliest starts of a step's tasks.

        Parameters
        ----------
        step : StepSpec
        count : int
            Number of tasks.
        need, use : tuple
            See `timeline.need_of` and `timeline.use_of`.
        service : str
            Service whose workers run the step.
        held_of : callable
            Returns the reservations on a worker.
        """
        limit = min(count, step.max_per_worker or MAX_PER_WORKER, MAX_PER_WORKER)
        until_s = self._now_s + (
            MAX_GANG_LOOKAHEAD_S if step.is_gang else MAX_LOOKAHEAD_S
        )
        found = []
        for number, worker in enumerate(self._workers):
            is_usable = worker.service == service and not worker.cools_down(self._now_s)
            if not is_usable or (
                step.required_label and step.required_label not in worker.labels
            ):
                continue
            for start_s in self._fit_times(
                worker, need, use, limit, held_of(worker), until_s
            ):
                found.append((start_s, number, worker))
        if not step.is_filler:
            return [(one[0], one[2]) for one in nsmallest(count, found, _time_of)]
        demand = FillerDemand(
            step.image, step.demand.millicores, MIN_FILLER_SPEED_RATIO
        )
        chosen = []
        for start_s, _, worker in sorted(found, key=_time_of):
            if len(chosen) == count:
                break
            if _is_tolerated(self._cell.costs, demand, worker):
                chosen.append((start_s, worker))
        return chosen

    def _fit_times(self, worker, need, use, limit, held, until_s):
        """Return the times at which one more task fits on a worker, up to a limit."""
        free = free_now(worker)
        for one in held:
            free = subtract(free, one.use)
        times = []
        while len(times) < limit and fits(need, free):
            times.append(self._now_s)
            free = subtract(free, use)
        if len(times) == limit or not worker.runs_by_task:
            return times
        for release in releases_of(self._cell, worker, self._now_s):
            if release.at_s > until_s:
                break
            free = add(free, release.amounts)
            while len(times) < limit and fits(need, free):
                times.append(max(self._now_s, release.at_s))
                free = subtract(free, use)
        return times


def _time_of(found):
    return found[0], found[1]


def _is_tolerated(costs, demand, worker):
    """Tell whether the serving tasks of a worker let a filler run fast enough."""
    speed = expected_speed(costs, demand, worker)
    if speed >= demand.min_speed_ratio or not demand.millicores:
        return speed >= demand.min_speed_ratio
    # Processors become idle; what the serving tasks tolerate stays the same.
    return speed >= min(1.0, max(0.0, worker.idle_millicores / demand.millicores))
