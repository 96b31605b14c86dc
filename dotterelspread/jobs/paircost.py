"""Interference costs of fillers on serving tasks, learned for each pair of images.

The model: tail latency = baseline * (1 + sum of cost * running filler cores), where the
baseline varies with the load of the serving task itself. Between two listings of a
worker, the change of the log tail is compared with the change of the filler cores. Each
pair of images has an estimate and its variance, which are updated as in an extended
Kalman filter.
"""

import math
from dataclasses import dataclass, field

__all__ = ["CostEstimate", "PairCosts", "interference_factor"]

#: Prior estimate for an unknown pair, and its standard deviation.
PRIOR_COST_PER_CORE = 0.05
PRIOR_COST_DEVIATION = 0.12
#: Lower bound of an estimate's standard deviation: the true costs drift.
MIN_COST_DEVIATION = 0.015
#: Standard deviation of the log tail's change between two listings due to own load.
LOG_TAIL_CHANGE_DEVIATION = 0.15
#: Standard deviation of the rounding error of a tail in whole milliseconds.
ROUNDING_DEVIATION_MS = 0.4
#: Bounds on the time between two listings that are compared.
MIN_SAMPLE_INTERVAL_MS = 250
MAX_SAMPLE_INTERVAL_MS = 1600
#: Changes of a filler's cores up to this size are ignored.
MIN_CHANGE_CORES = 0.05
#: Maximum number of pairs; the least recently updated one is evicted.
MAX_PAIRS = 1000


@dataclass(slots=True)
class CostEstimate:
    """Relative increase of the baseline tail per filler core, with its deviation."""

    per_core: float = PRIOR_COST_PER_CORE
    deviation: float = PRIOR_COST_DEVIATION


@dataclass(slots=True)
class _Sample:
    born_ms: int
    listed_ms: int
    #: Tails in milliseconds, by serving image and task id.
    tails_by_image: dict[str, dict[str, int]]
    cores_by_image: dict[str, float]


def interference_factor(costs, serving_image, cores_by_image):
    """Return the factor by which running fillers raise a tail above its baseline.

    Parameters
    ----------
    costs : callable
        Returns the `CostEstimate` of a serving image and a filler image.
    serving_image : str
    cores_by_image : dict of str to float
        Running cores of the fillers of each image.
    """
    added = sum(
        max(0.0, costs(serving_image, image).per_core) * cores
        for image, cores in cores_by_image.items()
    )
    return 1.0 + added


@dataclass(slots=True)
class PairCosts:
    """Cost estimates of all pairs of images that the leader knows."""

    by_pair: dict[tuple[str, str], CostEstimate] = field(default_factory=dict)
    _samples_by_worker: dict[str, _Sample] = field(default_factory=dict)

    def of(self, serving_image, filler_image):
        """Return the estimate for a pair, or the prior if it is unknown."""
        return self.by_pair.get((serving_image, filler_image)) or CostEstimate()

    def learn(self, worker_id, born_ms, listed_ms, tails_by_image, cores_by_image):
        """Update the estimates from a listing of a worker and the one before it.

        Parameters
        ----------
        worker_id : str
        born_ms, listed_ms : int
            Start of the worker's incarnation, and the agent's clock at the listing.
        tails_by_image : dict of str to dict of str to int
            Tail latency in milliseconds of each serving task, by image and task id.
        cores_by_image : dict of str to float
            Cores that fillers used, by image.
        """
        sample = _Sample(born_ms, listed_ms, tails_by_image, cores_by_image)
        earlier = self._samples_by_worker.get(worker_id)
        if earlier is not None and earlier.listed_ms == listed_ms:
            return
        self._samples_by_worker[worker_id] = sample
        if earlier is None or earlier.born_ms != born_ms:
            return
        if (
            not MIN_SAMPLE_INTERVAL_MS
            <= listed_ms - earlier.listed_ms
            <= MAX_SAMPLE_INTERVAL_MS
        ):
            return
        for image, tails in tails_by_image.items():
            before = earlier.tails_by_image.get(image, {})
            increase, variance = _tail_change(before, tails)
            if variance is not None:
                self._correct(image, earlier, sample, increase, variance)

    def _correct(self, serving_image, before, after, increase, variance):
        factor_before = interference_factor(
            self.of, serving_image, before.cores_by_image
        )
        factor_after = interference_factor(self.of, serving_image, after.cores_by_image)
        error = increase - math.log(factor_after / factor_before)
        slopes = {}
        for image in sorted(before.cores_by_image.keys() | after.cores_by_image.keys()):
            cores_before = before.cores_by_image.get(image, 0.0)
            cores_after = after.cores_by_image.get(image, 0.0)
            if abs(cores_after - cores_before) > MIN_CHANGE_CORES:
                slope = cores_after / factor_after - cores_before / factor_before
                slopes[image] = slope
        estimates = {i: self._estimate((serving_image, i)) for i in slopes}
        scale = variance + sum(
            (estimates[i].deviation * slope) ** 2 for i, slope in slopes.items()
        )
        for image, slope in slopes.items():
            estimate = estimates[image]
            prior_variance = estimate.deviation**2
            gain = prior_variance * slope / scale
            estimate.per_core += gain * error
            left = math.sqrt(max(0.0, prior_variance * (1 - gain * slope)))
            estimate.deviation = max(MIN_COST_DEVIATION, left)

    def _estimate(self, pair):
        estimate = self.by_pair.pop(pair, None) or CostEstimate()
        self.by_pair[pair] = estimate
        if len(self.by_pair) > MAX_PAIRS:
            del self.by_pair[next(iter(self.by_pair))]
        return estimate


def _tail_change(before, after):
    """Return the mean change of the log tails and its variance.

    The variance is None if no task is in both listings.
    """
    increases = []
    rounding = 0.0
    for task_id, tail in after.items():
        if before.get(task_id) and tail:
            increases.append(math.log(tail / before[task_id]))
            rounding += (ROUNDING_DEVIATION_MS / tail) ** 2 + (
                ROUNDING_DEVIATION_MS / before[task_id]
            ) ** 2
    if not increases:
        return 0.0, None
    count = len(increases)
    return sum(increases) / count, LOG_TAIL_CHANGE_DEVIATION**2 + rounding / count**2
