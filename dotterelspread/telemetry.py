"""Counters, histograms and spans of a process, built on OpenTelemetry.

Each request and each task is counted once, when it ends, labelled with its outcome.
"""

from contextlib import contextmanager
from functools import singledispatch

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import NoOpMeterProvider, Observation
from opentelemetry.sdk.metrics import AlwaysOffExemplarFilter, MeterProvider
from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation, View
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry, ProcessCollector, generate_latest

from .outcome import Completed, Failed, Refused, Unknown
from .settings import MetricsExport
from .tracing import Tracing

__all__ = ["EXPOSITION_TYPE", "Telemetry", "open_telemetry", "outcome_name"]

#: Media type of `Telemetry.exposition`.
EXPOSITION_TYPE = "text/plain; version=0.0.4; charset=utf-8"
#: Upper bounds of the latency buckets.
LATENCY_BUCKETS_S = (
    *(0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25),
    *(0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0),
)
#: Most attribute sets per counter; further sets are counted as ``other``.
MAX_ATTRIBUTE_SETS = 1000
OVERFLOW_VALUE = "other"
#: Lowest HTTP status that counts as a failure of the backend server.
MIN_SERVER_ERROR_STATUS = 500


@singledispatch
def outcome_name(outcome):
    """Return the label value under which an outcome is counted."""
    raise TypeError(f"not an outcome: {type(outcome).__name__}")


@outcome_name.register
def _(outcome: Completed):
    # A complete answer may still report an error of the backend server.
    return "failed" if outcome.status >= MIN_SERVER_ERROR_STATUS else "completed"


@outcome_name.register
def _(outcome: Failed):
    return "failed"


@outcome_name.register
def _(outcome: Refused):
    return "refused"


@outcome_name.register
def _(outcome: Unknown):
    return "unknown"


class Counter:
    """Sums by attribute set, read by OpenTelemetry when metrics are exported.

    An addition is a dictionary update, which is many times cheaper than a synchronous
    instrument.
    """

    __slots__ = ("_amounts_by_key",)

    def __init__(self):
        self._amounts_by_key = {}

    def add(self, amount, **attributes):
        """Add ``amount`` for a set of attributes; the number of sets is bounded."""
        key = tuple(attributes.items())
        known = self._amounts_by_key.get(key)
        if known is None and len(self._amounts_by_key) >= MAX_ATTRIBUTE_SETS:
            key = tuple((name, OVERFLOW_VALUE) for name in attributes)
        self._amounts_by_key[key] = self._amounts_by_key.get(key, 0) + amount

    def observe(self, options):
        """Return the current sums as observations."""
        amounts = self._amounts_by_key.items()
        return [Observation(amount, dict(key)) for key, amount in amounts]


class Telemetry:
    """Metrics and tracing of one process; create it with `open_telemetry`."""

    __slots__ = (
        "_counters_by_name",
        "_meter",
        "_provider",
        "_registry",
        "_request_duration",
        "tracing",
    )

    def __init__(self, provider, tracing, registry=None):
        self._provider = provider
        self._registry = registry
        self._meter = provider.get_meter("dotterelspread")
        self._counters_by_name = {}
        self._request_duration = self._meter.create_histogram(
            "dotterelspread.request.duration", "s", "Time from arrival to answer"
        )
        #: `Tracing` of the process.
        self.tracing = tracing

    @classmethod
    def from_settings(cls, settings):
        """Return the telemetry configured in `DaemonSettings`."""
        tracing = Tracing.from_settings(settings)
        if settings.telemetry.metrics == MetricsExport.NONE:
            return cls(NoOpMeterProvider(), tracing)
        registry = CollectorRegistry()
        ProcessCollector(registry=registry)
        reader = PrometheusMetricReader(
            disable_target_info=True, scope_info_enabled=False, registry=registry
        )
        provider = MeterProvider(
            [reader],
            Resource({"service.instance.id": settings.instance_id}),
            AlwaysOffExemplarFilter(),
            shutdown_on_exit=False,
            views=[_latency_view()],
        )
        return cls(provider, tracing, registry)

    def count_request(self, service, kind, outcome, duration_s):
        """Count a finished request and record its duration.

        Parameters
        ----------
        service, kind : str
            Names from the configuration; empty for names that are not configured.
        outcome : Outcome
        duration_s : float
            Seconds from its arrival to its answer.
        """
        reason = outcome.reason.value if isinstance(outcome, Refused) else ""
        name = outcome_name(outcome)
        self.count("requests", service=service, kind=kind, outcome=name, reason=reason)
        attributes = {"service": service, "kind": kind, "outcome": name}
        self._request_duration.record(duration_s, attributes)

    def count_task(self, team, outcome):
        """Count a finished task; ``outcome`` is that of `record.TaskEnded`."""
        self.count("tasks", team=team, outcome=outcome)

    def count(self, name, amount=1, **attributes):
        """Increment a counter, such as ``retries`` or ``evictions``.

        Parameters
        ----------
        name : str
            Name of the counter, exported as ``dotterelspread_<name>_total``.
        amount : int or float
        **attributes
            String values; each call must use the same names in the same order.
        """
        counter = self._counters_by_name.get(name)
        if counter is None:
            counter = self._counters_by_name[name] = Counter()
            self._meter.create_observable_counter(
                f"dotterelspread.{name}", [counter.observe]
            )
        counter.add(amount, **attributes)

    def observe(self, name, unit, description, read):
        """Register a gauge whose value is read with ``read()`` on each export."""
        self._meter.create_observable_gauge(
            f"dotterelspread.{name}",
            [lambda options: [Observation(read())]],
            unit,
            description,
        )

    def exposition(self):
        """Return the response body of ``/metrics``; empty when metrics are off."""
        return generate_latest(self._registry) if self._registry else b""

    def close(self):
        """Close the tracing and shut down the metrics provider."""
        self.tracing.close()
        if self._registry:
            self._provider.shutdown()


@contextmanager
def open_telemetry(settings):
    """Yield the `Telemetry` of a process and close it when the block ends."""
    telemetry = Telemetry.from_settings(settings)
    try:
        yield telemetry
    finally:
        telemetry.close()


def _latency_view():
    return View(
        instrument_name="dotterelspread.*.duration",
        aggregation=ExplicitBucketHistogramAggregation(LATENCY_BUCKETS_S),
    )
