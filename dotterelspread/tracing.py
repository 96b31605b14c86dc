"""Spans with W3C trace context, written as JSON lines.

A span covers one hop of a request. Its context is propagated between processes as a
``traceparent`` value, in an HTTP header or in a field of a Thrift message.
"""

import json
import sys
from contextlib import contextmanager

from opentelemetry import trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import (
    SimpleSpanProcessor,
    SpanExporter,
    SpanExportResult,
)
from opentelemetry.sdk.trace.sampling import ParentBased, TraceIdRatioBased
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

__all__ = ["Span", "Tracing", "TracingError"]

NO_SPANS = "none"
STDERR_SPANS = "stderr"
TRACEPARENT = "traceparent"

_propagator = TraceContextTextMapPropagator()


class TracingError(Exception):
    """The span file in the settings cannot be opened."""


class Span:
    """One hop of a request, yielded by `Tracing.span` for setting attributes."""

    __slots__ = ("_span", "traceparent")

    def __init__(self, span, traceparent):
        self._span = span
        #: Trace context for outgoing requests of the hop; empty for none.
        self.traceparent = traceparent

    def set(self, name, value):
        """Set an attribute of the span; does nothing when tracing is off."""
        if self._span is not None:
            self._span.set_attribute(name, value)


class JsonLinesExporter(SpanExporter):
    """Writes each span as one line of JSON."""

    def __init__(self, file):
        self._file = file

    def export(self, spans):
        """Write ``spans`` and flush them."""
        for span in spans:
            self._file.write(json.dumps(_span_to_dict(span)) + "\n")
        self._file.flush()
        return SpanExportResult.SUCCESS


class Tracing:
    """Creates the spans of one process; with tracing off it only propagates context."""

    __slots__ = ("_file", "_provider", "_tracer")

    def __init__(self, provider=None, file=None):
        self._provider = provider
        self._file = file
        self._tracer = provider.get_tracer("dotterelspread") if provider else None

    @classmethod
    def from_settings(cls, settings):
        """Return the tracing configured in the telemetry section of `DaemonSettings`.

        Raises
        ------
        TracingError
            When the span file cannot be opened.
        """
        target = settings.telemetry.spans
        if target == NO_SPANS:
            return cls()
        file = sys.stderr if target == STDERR_SPANS else _open(target)
        provider = TracerProvider(
            sampler=ParentBased(TraceIdRatioBased(settings.telemetry.sample_ratio)),
            resource=Resource({"service.instance.id": settings.instance_id}),
            shutdown_on_exit=False,
        )
        provider.add_span_processor(SimpleSpanProcessor(JsonLinesExporter(file)))
        return cls(provider, file)

    @contextmanager
    def span(self, name, traceparent="", **attributes):
        """Yield a `Span` that lasts as long as the block.

        Parameters
        ----------
        name : str
            Name of the hop, such as ``entry.request``.
        traceparent : str
            Trace context of the incoming request; if empty, a new trace starts.
        **attributes
            Initial attributes.
        """
        if self._tracer is None:
            yield Span(None, traceparent)
            return
        parent = _propagator.extract({TRACEPARENT: traceparent})
        with self._tracer.start_as_current_span(
            name, parent, attributes=attributes
        ) as span:
            carrier = {}
            _propagator.inject(carrier, trace.set_span_in_context(span, parent))
            yield Span(span, carrier.get(TRACEPARENT, ""))

    def close(self):
        """Shut down the exporter and close the span file."""
        if self._provider is not None:
            self._provider.shutdown()
        if self._file is not None and self._file is not sys.stderr:
            self._file.close()


def _open(path):
    try:
        return open(path, "a", encoding="utf-8")
    except OSError as error:
        raise TracingError(f"spans: {error}") from error


def _span_to_dict(span):
    context = span.get_span_context()
    return {
        "name": span.name,
        "trace_id": f"{context.trace_id:032x}",
        "span_id": f"{context.span_id:016x}",
        "parent_id": f"{span.parent.span_id:016x}" if span.parent else None,
        "start_ns": span.start_time,
        "duration_us": (span.end_time - span.start_time) // 1000,
        "instance_id": span.resource.attributes.get("service.instance.id"),
        "status": span.status.status_code.name.lower(),
        "attributes": dict(span.attributes),
    }
