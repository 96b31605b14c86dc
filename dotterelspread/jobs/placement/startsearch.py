"""Search for the earliest starts of waiting tasks, by the timelines of the workers."""

from heapq import nsmallest

from .scoring import MIN_FILLER_SPEED_RATIO, FillerDemand, expected_speed
from .timeline import add, fits, free_now, releases_of, subtract

__all__ = ["StartSearch"]

#: Longest time until the start of a reserved task. Ends further away are not known
#: well enough, so that capacity would stay idle.
MAX_LOOKAHEAD_S = 1.0
#: The same for a gang, which collects the capacity of several workers.
MAX_GANG_LOOKAHEAD_S = 5.0
#: Maximum number of tasks of a step that are reserved on one worker.
MAX_PER_WORKER = 8
#: Number of possible starts for each task after which no more workers are searched: the
#: earliest of a few is early enough, and a search of all would slow down the pass.
CANDIDATES_PER_TASK = 4


class StartSearch:
    """Finds when and where tasks will fit.

    Parameters
    ----------
    cell : Cell
    workers : list of Worker
        Workers that accept tasks.
    now_s : float
    """

    __slots__ = ("_cell", "_free_by_end", "_now_s", "_workers")

    def __init__(self, cell, workers, now_s):
        self._cell = cell
        self._workers = workers
        self._now_s = now_s
        #: Free capacity of each worker at a time, if nothing is placed until then.
        self._free_by_end = {}

    def find(self, job, step_key, count, need, use, service, held_of):
        """Return pairs of time and worker of the earliest starts of a step's tasks.

        Parameters
        ----------
        job : Job
        step_key : tuple of int
            Occurrence and number of the step.
        count : int
            Number of its tasks.
        need, use : tuple
            See `timeline.need_of` and `timeline.use_of`.
        service : str
            Service whose workers run the step.
        held_of : callable
            Returns the reservations on a worker.
        """
        step = job.spec.steps[step_key[1]]
        until_s = self._now_s + (
            MAX_GANG_LOOKAHEAD_S if step.is_gang else MAX_LOOKAHEAD_S
        )
        last_free = self._free_at(until_s)
        demand = None
        if step.is_filler:
            demand = FillerDemand(
                step.image, step.demand.millicores, MIN_FILLER_SPEED_RATIO
            )
        found = []
        for number, worker in enumerate(self._workers):
            if len(found) >= CANDIDATES_PER_TASK * count:
                break
            # Nothing that is placed during the pass adds capacity.
            if not fits(need, last_free[number]):
                continue
            if not self._may_run(step, worker, service):
                continue
            limit = min(count, MAX_PER_WORKER)
            if step.max_per_worker:
                present = worker.count_of_step(job.job_id, step_key)
                limit = min(limit, step.max_per_worker - present)
            held = held_of(worker)
            times = self._fit_times(worker, need, use, limit, held, until_s)
            if not times or (
                demand and not _is_tolerated(self._cell.costs, demand, worker)
            ):
                continue
            found.extend((start_s, number, worker) for start_s in times)
        return [(one[0], one[2]) for one in nsmallest(count, found, _time_of)]

    def _may_run(self, step, worker, service):
        has_label = not step.required_label or step.required_label in worker.labels
        return (
            has_label
            and worker.service == service
            and not worker.cools_down(self._now_s)
            and not worker.is_cold(self._now_s)
        )

    def _free_at(self, until_s):
        """Return the free capacity of each worker at a time, as of the first search."""
        found = self._free_by_end.get(until_s)
        if found is None:
            found = []
            for worker in self._workers:
                free = free_now(worker)
                for release in releases_of(self._cell, worker, self._now_s):
                    if release.at_s > until_s:
                        break
                    free = add(free, release.amounts)
                found.append(free)
            self._free_by_end[until_s] = found
        return found

    def _fit_times(self, worker, need, use, limit, held, until_s):
        """Return the times at which one more task fits on a worker, up to a limit."""
        free = free_now(worker)
        for one in held:
            free = subtract(free, one.use)
        times = []
        while len(times) < limit and fits(need, free):
            times.append(self._now_s)
            free = subtract(free, use)
        if len(times) >= limit or not worker.runs_by_task:
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
    """Return whether the serving tasks of a worker let a filler run fast enough."""
    speed = expected_speed(costs, demand, worker)
    if speed >= demand.min_speed_ratio or not demand.millicores:
        return speed >= demand.min_speed_ratio
    # Processors become idle; what the serving tasks tolerate stays the same.
    return speed >= min(1.0, max(0.0, worker.idle_millicores / demand.millicores))
