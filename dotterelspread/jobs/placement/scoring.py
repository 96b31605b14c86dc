"""Scores of workers for a task: how fast it would run there, and beside what.

Serving tasks are packed onto few workers. A filler goes where it is expected to run
fastest, which sends fillers that interfere with serving tasks to workers without
serving tasks.
"""

from dataclasses import dataclass
from math import inf

from ..pacing import NEGLIGIBLE_INCREASE_RATIO, tail_increase_budget
from ..paircost import interference_factor

__all__ = [
    "MIN_FILLER_SPEED_RATIO",
    "FillerDemand",
    "expected_speed",
    "filler_headroom",
    "isolation_score",
    "placement_score",
]

#: Minimum expected share of its full speed at which a filler is placed.
MIN_FILLER_SPEED_RATIO = 0.7
#: Resolution at which expected speeds are compared; smaller differences are ignored.
SPEED_STEP_RATIO = 0.1
#: Resolution at which numbers of fillers are compared for a serving task.
FILLERS_PER_SERVING_CHOICE = 3


@dataclass(slots=True, frozen=True)
class FillerDemand:
    """The properties of a filler that determine its speed on a worker."""

    image: str
    millicores: int
    #: Minimum expected share of its full speed at which it is placed.
    min_speed_ratio: float


def expected_speed(costs, filler_demand, worker):
    """Return the share of its full speed at which a filler would run on a worker.

    Parameters
    ----------
    costs : PairCosts
    filler_demand : FillerDemand
    worker : Worker
    """
    return min(1.0, max(0.0, filler_headroom(costs, filler_demand, worker)))


def filler_headroom(costs, filler_demand, worker):
    """Return how many fillers of a kind would run at full speed on a worker.

    Less than 1 is the share of its full speed at which one would run; it is negative if
    the fillers that run there are too many.
    """
    headroom = inf
    if filler_demand.millicores:
        headroom = worker.idle_millicores / filler_demand.millicores
    cores_by_image = worker.filler_cores_by_image()
    for image, baseline in worker.baseline_tail_by_image.items():
        increase = (
            costs.of(image, filler_demand.image).per_core
            * filler_demand.millicores
            / 1000
        )
        if increase < NEGLIGIBLE_INCREASE_RATIO:
            continue
        current_increase = interference_factor(costs.of, image, cores_by_image) - 1.0
        budget = tail_increase_budget(baseline) - current_increase
        headroom = min(headroom, budget / increase)
    return headroom


def isolation_score(worker, is_suspect):
    """Return a sort key of a worker, larger is better, that isolates suspects.

    A suspect may crash its worker: it goes where few runs would be lost. While it is on
    trial there, other tasks go elsewhere.
    """
    if is_suspect:
        return -worker.probation_count, -worker.serving_count, -len(worker.runs_by_task)
    return not worker.probation_count, 0, 0


def placement_score(cell, step, worker, filler_demand):
    """Return a sort key of a worker, larger is better, or None if it is too slow."""
    if filler_demand is not None:
        speed = expected_speed(cell.costs, filler_demand, worker)
        if speed < filler_demand.min_speed_ratio:
            return None
        # Workers without serving tasks are left for fillers that would interfere.
        return (
            round(speed / SPEED_STEP_RATIO),
            bool(worker.serving_count),
            worker.idle_millicores,
        )
    if step.target_ms:
        return _serving_score(step, worker)
    # Other batch tasks leave workers without serving tasks to the fillers.
    return 0, bool(worker.serving_count), worker.idle_millicores


def _serving_score(step, worker):
    """Return a sort key of a worker for a serving task, larger is better.

    Serving tasks are packed onto few workers, those of one image together. The other
    workers are left to fillers that no serving task tolerates. This comes before the
    number of fillers on the worker, which change within seconds: by that, serving tasks
    would spread over all workers while fillers keep the packed ones busy.
    """
    runs = worker.runs_by_task.values()
    fillers = sum(run.is_filler for run in runs)
    has_same_image = any(run.is_serving and run.image == step.image for run in runs)
    return (
        bool(worker.serving_count),
        -(fillers // FILLERS_PER_SERVING_CHOICE),
        has_same_image,
        -worker.available.millicores,
    )
