"""Choice of the best worker for one task among those that may be assigned it."""

from functools import partial
from typing import NamedTuple

from .scoring import (
    MIN_FILLER_SPEED_RATIO,
    FillerDemand,
    isolation_score,
    placement_score,
)
from .workerranking import WorkerRanking

__all__ = ["IDLE_JOB_TIMEOUT_S", "can_host", "choose_worker", "filler_demand_of"]

#: Time without progress after which the fillers of a job are placed at any speed.
IDLE_JOB_TIMEOUT_S = 1.5


def choose_worker(
    cell, job, key, step, workers, now_s, reservations=None, rankings=None
):
    """Return the best worker for a task, or None if it fits nowhere.

    Parameters
    ----------
    cell : Cell
    job : Job
    key : TaskKey
    step : StepSpec
    workers : list of Worker
        Workers that accept tasks of the job's queue.
    now_s : float
    reservations : Reservations or None
        Room that is kept for other tasks.
    rankings : dict or None
        Rankings of the workers that earlier choices for tasks of the step have made, if
        each of these was placed at once on the chosen worker and nothing else has
        changed.
    """
    task = job.tasks_by_key[key]
    is_suspect = task.early_crashes > 0
    filler_demand = filler_demand_of(job, step, now_s)
    kind = is_suspect, filler_demand and filler_demand.min_speed_ratio
    rankings = {} if rankings is None else rankings
    ranking = rankings.get(kind)
    if ranking is None:
        score_of = partial(
            _score, cell, job, key, is_suspect, filler_demand, now_s, reservations
        )
        ranking = rankings[kind] = WorkerRanking(workers, score_of)
    best = ranking.choose(job.task_id(key), task.avoided_worker_id)
    if best is not None:
        for ranking in rankings.values():
            ranking.invalidate(best.worker_id)
    return best


class _Score(NamedTuple):
    """Sort key of a worker for a task, larger is better."""

    is_sound: bool
    is_warm: bool
    is_not_avoided: bool
    isolation: tuple
    is_near: bool
    suitability: tuple
    worker_id: str


def _score(cell, job, key, is_suspect, filler_demand, now_s, reservations, worker):
    """Return the `_Score` of a worker, or None if the task must not start there."""
    step = job.step_of(key)
    if not _fits(job, key, step, worker):
        return None
    suitability = placement_score(cell, step, worker, filler_demand)
    if suitability is None:
        return None
    if reservations is not None:
        if not reservations.allows(job, step, worker):
            return None
        speed, *rest = suitability
        suitability = (speed, -reservations.gap_loss(step, worker), *rest)
    return _Score(
        not worker.cools_down(now_s),
        not worker.is_cold(now_s),
        True,
        isolation_score(worker, is_suspect),
        not step.preferred_rack or worker.rack == step.preferred_rack,
        suitability,
        worker.worker_id,
    )


def filler_demand_of(job, step, now_s):
    """Return the `FillerDemand` of a step's tasks; None if they are no fillers."""
    if not step.is_filler:
        return None
    # A job that makes no progress gets a filler started at any speed.
    idle_s = now_s - max(job.last_active_s, job.first_seen_s)
    min_speed_ratio = MIN_FILLER_SPEED_RATIO if idle_s < IDLE_JOB_TIMEOUT_S else 0.0
    return FillerDemand(step.image, step.demand.millicores, min_speed_ratio)


def can_host(worker, step):
    """Tell whether a worker has the resources and the label that a step requires."""
    if not step.reserved.fits_in(worker.available):
        return False
    return not step.required_label or step.required_label in worker.labels


def _fits(job, key, step, worker):
    if not can_host(worker, step):
        return False
    if worker.awaits_many_starts and not step.is_gang:
        return False
    if step.max_per_worker:
        return worker.count_of_step(job.job_id, key[:2]) < step.max_per_worker
    return True
