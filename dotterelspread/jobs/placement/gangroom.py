"""Number of a gang's members that a worker has room for, found without a search."""

from math import floor, inf

from .scoring import filler_headroom

__all__ = ["count_member_room", "count_member_rooms"]

#: Rounding error of a headroom, which must not make a member seem not to fit.
HEADROOM_ERROR = 1e-6


def count_member_rooms(cell, job, step_key, workers, filler_demand, reservations):
    """Return how many members of a gang may start on each worker, by its id.

    The numbers are upper bounds; parameters are those of `count_member_room`.

    Parameters
    ----------
    reservations : Reservations or None
        Room that is kept for other tasks.
    """
    step = job.spec.steps[step_key[1]]
    room_by_worker = {}
    for worker in workers:
        room = count_member_room(cell, job, step_key, worker, filler_demand)
        if reservations is not None:
            room = reservations.count_allowed(job, step, worker, room)
        room_by_worker[worker.worker_id] = room
    return room_by_worker


def count_member_room(cell, job, step_key, worker, filler_demand):
    """Return how many members of a gang fit on a worker beside each other, at most.

    Reservations, and earlier runs of the members on the worker, may allow fewer.

    Parameters
    ----------
    cell : Cell
    job : Job
    step_key : tuple of int
        Occurrence and number of the gang's step.
    worker : Worker
        Worker with room for a member.
    filler_demand : FillerDemand or None
        Demand of a member that is a filler.
    """
    step = job.spec.steps[step_key[1]]
    count = min(step.count, _count_fitting(step.reserved, worker.available))
    if step.max_per_worker:
        present = worker.count_of_step(job.job_id, step_key)
        count = min(count, max(0, step.max_per_worker - present))
    if filler_demand is not None and not step.is_service:
        count = min(count, _count_fast(cell, filler_demand, worker))
    return count


def _count_fitting(needed, available):
    """Return how many times an amount that fits once fits into another one."""
    pairs = (
        (needed.millicores, available.millicores),
        (needed.memory_mb, available.memory_mb),
        (needed.accelerators, available.accelerators),
    )
    return min((free // need for need, free in pairs if need), default=inf)


def _count_fast(cell, demand, worker):
    """Return how many fillers of a kind a worker runs at their minimum speed."""
    if not demand.min_speed_ratio:
        return inf
    # Each filler takes the headroom of one.
    spare = filler_headroom(cell.costs, demand, worker) - demand.min_speed_ratio
    if spare == inf:
        return inf
    return max(0, 1 + floor(spare + HEADROOM_ERROR))
