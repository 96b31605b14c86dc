"""What fillers cost the serving tasks beside them, learned for each pair of images.

The tail latency of a serving task is taken as an undisturbed tail, which its own load
moves, times one plus the sum over the fillers' running cores of a cost. Between two
listings of a worker the change of the logarithm of the tails is compared with the
changes of the cores; each pair has an estimate with a variance, corrected as by an
extended Kalman filter.
"""

import math
from dataclasses import dataclass, field

__all__ = ["CostEstimate", "PairCosts", "interference_factor"]

#: Estimate for a pair that is not known, and its deviation.
PRIOR_COST_PER_CORE = 0.05
PRIOR_COST_DEVIATION = 0.12
#: Least deviation of an estimate: costs change while they are learned.
MIN_COST_DEVIATION = 0.015
#: Deviations by which a cautious estimate lies above the best one.
UPPER_BOUND_DEVIATIONS = 0.5
#: Deviation of the change of a log tail between two listings that its own load causes.
LOG_TAIL_CHANGE_DEVIATION = 0.15
#: Deviation by which a tail given in whole milliseconds is off, in milliseconds.
ROUNDING_DEVIATION_MS = 0.4
#: Times between two listings that may be compared.
MIN_SAMPLE_INTERVAL_MS = 250
MAX_SAMPLE_INTERVAL_MS = 1600
#: Change of a filler's cores that is too small to learn from.
MIN_CHANGE_CORES = 0.05
#: Most pairs that are kept; the one that was corrected least lately goes.
MAX_PAIRS = 1000


@dataclass(slots=True)
class CostEstimate:
    """Part of the undisturbed tail that each core adds, and its deviation."""

    per_core: float = PRIOR_COST_PER_CORE
    deviation: float = PRIOR_COST_DEVIATION

    @property
    def upper_per_core(self):
        """A cost that the true one seldom exceeds."""
        return max(0.0, self.per_core + UPPER_BOUND_DEVIATIONS * self.deviation)


@dataclass(slots=True)
class _Sample:
    born_ms: int
    listed_ms: int
    #: Tails in milliseconds of each serving image, by task id.
    tails_by_image: dict[str, dict[str, int]]
    cores_by_image: dict[str, float]


def interference_factor(costs, serving_image, cores_by_image):
    """Return the factor by which running fillers raise a tail.

    Parameters
    ----------
    costs : callable
        Returns the `CostEstimate` of a serving image and a filler's image.
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
    """Estimates of all pairs that one leader has seen."""

    by_pair: dict[tuple[str, str], CostEstimate] = field(default_factory=dict)
    _samples_by_worker: dict[str, _Sample] = field(default_factory=dict)

    def of(self, serving_image, filler_image):
        """Return the estimate for a pair."""
        return self.by_pair.get((serving_image, filler_image)) or CostEstimate()

    def learn(self, worker_id, born_ms, listed_ms, tails_by_image, cores_by_image):
        """Compare a listing of a worker with the one before it.

        Parameters
        ----------
        worker_id : str
        born_ms, listed_ms : int
            Life of the worker, and the agent's clock at the listing.
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
    """Return the mean change of the log tails and its variance, or None for none."""
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
