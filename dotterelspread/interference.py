"""Online model of how much each batch program slows a service down.

The logarithm of the service's tail latency is modelled as a baseline plus, for each
batch program, its running cores times a slowdown per core. Both are interpolated
linearly between a few loads of the service (knots). A Kalman filter tracks the weights,
and its variances give the uncertainty of the estimates. Reports arrive late, so each is
matched with the batch cores that ran in the interval it covers.
"""

import math
from collections import OrderedDict, deque
from dataclasses import dataclass

__all__ = ["CoreHistory", "InterferenceModel", "SlowdownEstimate", "UsageSample"]

#: Loads of the service at which weights are estimated; at 1, all slots are in use.
LOAD_KNOT_RATIOS = (0.2, 0.5, 0.8)

#: Maximum number of batch programs in the model.
MAX_PROGRAMS = 10

#: Age to which running cores are kept, to be matched with late reports.
HISTORY_RETENTION_S = 90.0

#: Prior mean and standard deviation of a program's slowdown, in log latency per core.
PRIOR_SLOWDOWN = 0.02
PRIOR_SLOWDOWN_SD = 0.03

#: Standard deviations of the baseline's prior and of a sample's noise.
PRIOR_BASELINE_SD = 1.0
SAMPLE_NOISE_SD = 0.12

#: Process noise: variance added per second to the baseline and to each slowdown.
BASELINE_VARIANCE_PER_S = 2e-5
SLOWDOWN_VARIANCE_PER_S = 2e-8


@dataclass(slots=True, frozen=True)
class UsageSample:
    """Latency and load of a service on one instance, from a usage report.

    Parameters
    ----------
    start_s, end_s : float
        The interval that the sample covers, which is over when the sample arrives.
    load : float
        Fraction of the service's slots in use, averaged over the interval.
    p99_s : float
        Tail latency of the service in the interval.
    """

    start_s: float
    end_s: float
    load: float
    p99_s: float


@dataclass(slots=True, frozen=True)
class SlowdownEstimate:
    """Estimated slowdown of the service by one program, at one load."""

    #: Increase of log latency per running core.
    slowdown: float
    #: Standard deviation of the estimate.
    uncertainty: float


class CoreHistory:
    """Recent running cores of each batch program, as a step function of time."""

    __slots__ = ("_steps",)

    def __init__(self):
        self._steps = deque()

    def record(self, now_s, cores_by_program):
        """Record the cores that run from ``now_s`` on."""
        self._steps.append((now_s, dict(cores_by_program)))
        while len(self._steps) > 2 and self._steps[1][0] < now_s - HISTORY_RETENTION_S:
            self._steps.popleft()

    def average(self, start_s, end_s):
        """Return the average running cores by program in an interval."""
        sums = {}
        length = max(end_s - start_s, 1e-9)
        for index, (since_s, cores_by_program) in enumerate(self._steps):
            following = index + 1
            until_s = end_s
            if following < len(self._steps):
                until_s = min(self._steps[following][0], end_s)
            part = (until_s - max(since_s, start_s)) / length
            if part <= 0.0:
                continue
            for program, cores in cores_by_program.items():
                sums[program] = sums.get(program, 0.0) + part * cores
        return sums


class InterferenceModel:
    """Slowdown of one service on one instance by each batch program.

    Parameters
    ----------
    target_s : float
        Target for the service's tail latency. Half of it is the prior for the latency
        without batch work.
    """

    __slots__ = (
        "_covariance",
        "_first_weight_by_program",
        "_means",
        "_updated_s",
        "history",
    )

    def __init__(self, target_s):
        self.history = CoreHistory()
        #: Index of each program's first weight, the least recently used program first.
        self._first_weight_by_program = OrderedDict()
        knots = len(LOAD_KNOT_RATIOS)
        self._means = [math.log(target_s / 2.0)] * knots
        self._covariance = [
            [PRIOR_BASELINE_SD**2 if row == column else 0.0 for column in range(knots)]
            for row in range(knots)
        ]
        self._updated_s = None

    def observe(self, sample):
        """Update the model with a usage report.

        Parameters
        ----------
        sample : UsageSample
        """
        cores_by_program = self.history.average(sample.start_s, sample.end_s)
        for program in sorted(cores_by_program):
            self._ensure_program(program)
        self._add_process_noise(sample.end_s)
        features = self._features(sample.load, cores_by_program)
        self._update(features, math.log(max(sample.p99_s, 1e-6)))

    def baseline(self, load):
        """Return the log latency without batch work, and its standard deviation."""
        return self._estimate(self._features(load, {}))

    def slowdown_estimate(self, program, load):
        """Return the `SlowdownEstimate` of a program at a load of the service."""
        if program not in self._first_weight_by_program:
            return SlowdownEstimate(PRIOR_SLOWDOWN, PRIOR_SLOWDOWN_SD)
        first = self._first_weight_by_program[program]
        weights = knot_weights(load)
        features = [(first + knot, weight) for knot, weight in weights]
        return SlowdownEstimate(*self._estimate(features))

    def predict(self, load, cores_by_program):
        """Return the expected log latency, and its standard deviation."""
        for program in sorted(cores_by_program):
            self._ensure_program(program)
        return self._estimate(self._features(load, cores_by_program))

    def _features(self, load, cores_by_program):
        """Return the index and value of each feature that is not zero."""
        weights = knot_weights(load)
        features = list(weights)
        for program, cores in sorted(cores_by_program.items()):
            first = self._first_weight_by_program.get(program)
            if first is not None and cores > 0.0:
                features += [(first + knot, weight * cores) for knot, weight in weights]
        return features

    def _estimate(self, features):
        mean = sum(self._means[index] * value for index, value in features)
        variance = sum(
            self._covariance[row][column] * left * right
            for row, left in features
            for column, right in features
        )
        return mean, math.sqrt(max(variance, 0.0))

    def _ensure_program(self, program):
        """Add a program's weights; evict the least recently used if full."""
        if program in self._first_weight_by_program:
            self._first_weight_by_program.move_to_end(program)
            return
        if len(self._first_weight_by_program) >= MAX_PROGRAMS:
            _, first = self._first_weight_by_program.popitem(last=False)
        else:
            first = len(self._means)
            self._add_weights()
        self._first_weight_by_program[program] = first
        self._reset_to_prior(first)

    def _add_weights(self):
        knots = len(LOAD_KNOT_RATIOS)
        size = len(self._means) + knots
        for row in self._covariance:
            row.extend([0.0] * knots)
        self._covariance.extend([0.0] * size for _ in range(knots))
        self._means.extend([0.0] * knots)

    def _reset_to_prior(self, first):
        """Reset a program's weights to the prior, correlated across loads."""
        block = range(first, first + len(LOAD_KNOT_RATIOS))
        for row in block:
            self._means[row] = PRIOR_SLOWDOWN
            for column in range(len(self._means)):
                self._covariance[row][column] = 0.0
                self._covariance[column][row] = 0.0
        for row in block:
            for column in block:
                part = 1.0 if row == column else 0.5
                self._covariance[row][column] = part * PRIOR_SLOWDOWN_SD**2

    def _add_process_noise(self, now_s):
        """Add the process noise for the time since the last sample to the variances."""
        if self._updated_s is not None:
            elapsed_s = max(now_s - self._updated_s, 0.0)
            for index in range(len(self._means)):
                rate = (
                    BASELINE_VARIANCE_PER_S
                    if index < len(LOAD_KNOT_RATIOS)
                    else SLOWDOWN_VARIANCE_PER_S
                )
                self._covariance[index][index] += rate * elapsed_s
        self._updated_s = now_s

    def _update(self, features, observed):
        """Update means and covariance with one observation (Kalman filter update)."""
        gains = [
            sum(row[index] * value for index, value in features)
            for row in self._covariance
        ]
        mean = sum(self._means[index] * value for index, value in features)
        innovation_variance = SAMPLE_NOISE_SD**2 + sum(
            gains[index] * value for index, value in features
        )
        error = observed - mean
        active = [index for index, gain in enumerate(gains) if gain != 0.0]
        for row in active:
            part = gains[row] / innovation_variance
            self._means[row] += part * error
            covariance = self._covariance[row]
            for column in active:
                covariance[column] -= part * gains[column]


def knot_weights(load):
    """Return the knots next to a load with their interpolation weights."""
    if load <= LOAD_KNOT_RATIOS[0]:
        return [(0, 1.0)]
    for knot in range(1, len(LOAD_KNOT_RATIOS)):
        low, high = LOAD_KNOT_RATIOS[knot - 1], LOAD_KNOT_RATIOS[knot]
        if load <= high:
            part = (load - low) / (high - low)
            return [(knot - 1, 1.0 - part), (knot, part)]
    return [(len(LOAD_KNOT_RATIOS) - 1, 1.0)]
