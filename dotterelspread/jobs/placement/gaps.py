"""Choice of workers for small tasks that keeps room for waiting large ones."""

from .scoring import MIN_FILLER_SPEED_RATIO
from .timeline import free_now, need_of, subtract, use_of

__all__ = ["GapKeeper"]


class GapKeeper:
    """Measures the capacity that a task would take from the largest waiting ones.

    Parameters
    ----------
    cell : Cell
    jobs : list of Job
        Jobs with tasks to place.
    """

    __slots__ = ("_large",)

    def __init__(self, cell, jobs):
        # Fillers wait for idle processors, other tasks for those not reserved.
        largest_by_kind = {}
        for job in jobs:
            key = next(iter(cell.ready_by_job[job.job_id]))
            step = job.step_of(key)
            largest = largest_by_kind.get(step.is_filler)
            is_larger = (
                largest is None or step.demand.millicores > largest.demand.millicores
            )
            if is_larger and not step.is_service:
                largest_by_kind[step.is_filler] = step
        self._large = [
            (step.demand.millicores, need_of(step, MIN_FILLER_SPEED_RATIO))
            for step in largest_by_kind.values()
        ]

    def loss(self, step, worker):
        """Return how many of the largest tasks would not fit on a worker any more."""
        loss = 0
        if step.is_service:
            return loss
        for millicores, need in self._large:
            if step.demand.millicores < millicores:
                free = free_now(worker)
                remaining = subtract(free, use_of(step))
                loss += _count_fitting(need, free) - _count_fitting(need, remaining)
        return loss


def _count_fitting(need, free):
    counts = [max(0, free[kind]) // need[kind] for kind in range(4) if need[kind]]
    return min(counts, default=0)
