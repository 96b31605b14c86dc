"""Counters and latency histograms in the Prometheus text format.

For processes that are billed by memory use; the others use `telemetry`.
"""

from bisect import bisect_left

__all__ = ["METRICS_PATH", "METRICS_TYPE", "Counters", "counters"]

METRICS_PATH = "/metrics"
METRICS_TYPE = "text/plain; version=0.0.4"
#: Upper bounds of the latency buckets.
LATENCY_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0)
PREFIX = "dotterelspread"


class _Histogram:
    __slots__ = ("counts", "sum_s")

    def __init__(self):
        self.counts = [0] * (len(LATENCY_BUCKETS_S) + 1)
        self.sum_s = 0.0


class Counters:
    """Counters and histograms of a process, by name and labels."""

    __slots__ = ("_counts", "_histograms")

    def __init__(self):
        self._counts = {}
        self._histograms = {}

    def add(self, name, amount=1, **labels):
        """Increment a counter.

        Parameters
        ----------
        name : str
            Plural name without the prefix, such as ``orders``.
        amount : int
        **labels
            Labels with few values each, since every combination is kept in memory.
        """
        key = (name, tuple(sorted(labels.items())))
        self._counts[key] = self._counts.get(key, 0) + amount

    def observe(self, name, seconds, **labels):
        """Record a latency in a histogram."""
        key = (name, tuple(sorted(labels.items())))
        histogram = self._histograms.get(key)
        if histogram is None:
            histogram = self._histograms[key] = _Histogram()
        histogram.counts[bisect_left(LATENCY_BUCKETS_S, seconds)] += 1
        histogram.sum_s += seconds

    def to_text(self):
        """Return all counters and histograms in the Prometheus text format."""
        lines = []
        for (name, labels), count in sorted(self._counts.items()):
            lines.append(f"{PREFIX}_{name}_total{_labels(labels)} {count}")
        for (name, labels), histogram in sorted(self._histograms.items()):
            lines.extend(_histogram_lines(name, labels, histogram))
        return "\n".join(lines) + "\n"


def _histogram_lines(name, labels, histogram):
    metric_name = f"{PREFIX}_{name}_seconds"
    cumulative = 0
    bounds = [*map(str, LATENCY_BUCKETS_S), "+Inf"]
    for bound, count in zip(bounds, histogram.counts, strict=True):
        cumulative += count
        yield f"{metric_name}_bucket{_labels((*labels, ('le', bound)))} {cumulative}"
    yield f"{metric_name}_sum{_labels(labels)} {histogram.sum_s:.6f}"
    yield f"{metric_name}_count{_labels(labels)} {cumulative}"


def _labels(pairs):
    if not pairs:
        return ""
    return "{" + ",".join(f'{name}="{value}"' for name, value in pairs) + "}"


#: The counters of this process.
counters = Counters()
