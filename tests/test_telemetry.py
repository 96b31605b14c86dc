"""Each request and task is counted once; spans propagate their context."""

import json
from dataclasses import replace

import pytest

from dotterelspread.outcome import Completed, Failed, RefusalReason, Refused, Unknown
from dotterelspread.settings import DaemonSettings, TelemetrySettings
from dotterelspread.telemetry import MAX_ATTRIBUTE_SETS, open_telemetry
from dotterelspread.tracing import TracingError

from .builders_tools import EXAMPLES

TRACE_ID = "0af7651916cd43dd8448eb211c80319c"
TRACEPARENT = f"00-{TRACE_ID}-b7ad6b7169203331-01"


def settings_with(**telemetry):
    settings = DaemonSettings.from_file(EXAMPLES / "entry.yaml")
    return replace(settings, telemetry=TelemetrySettings(**telemetry))


def test_requests_and_tasks_are_counted_by_outcome():
    outcomes = [Completed(200), Completed(500), Failed("x"), Unknown()]
    with open_telemetry(settings_with()) as telemetry:
        for outcome in [*outcomes, Refused(RefusalReason.DEADLINE)]:
            telemetry.count_request("dispatch", "report", outcome, 0.2)
        telemetry.count_task("contracts", "cancelled")
        telemetry.observe("slots.running", "1", "Slots in use", lambda: 3)
        lines = telemetry.exposition().decode().splitlines()
    counted = {line for line in lines if line.startswith("dotterelspread_requests_")}
    form = (
        'dotterelspread_requests_total{{kind="report",outcome="{}",'
        'reason="{}",service="dispatch"}} {}'
    )
    assert counted == {
        form.format("completed", "", "1.0"),
        form.format("failed", "", "2.0"),
        form.format("refused", "deadline", "1.0"),
        form.format("unknown", "", "1.0"),
    }
    task = 'dotterelspread_tasks_total{outcome="cancelled",team="contracts"} 1.0'
    assert task in lines and "dotterelspread_slots_running 3.0" in lines
    bucket = 'kind="report",le="0.25",outcome="failed",service="dispatch"} 2.0'
    assert f"dotterelspread_request_duration_seconds_bucket{{{bucket}" in lines


def test_attributes_from_outside_cannot_grow_without_bound():
    with open_telemetry(settings_with()) as telemetry:
        for number in range(MAX_ATTRIBUTE_SETS + 10):
            telemetry.count("retries", service=f"s{number}")
        lines = telemetry.exposition().decode().splitlines()
    assert 'dotterelspread_retries_total{service="other"} 10.0' in lines


def test_spans_join_the_incoming_trace(tmp_path):
    path = tmp_path / "spans"
    with open_telemetry(settings_with(metrics="none", spans=str(path))) as telemetry:
        assert telemetry.exposition() == b""
        with telemetry.tracing.span("entry.request", TRACEPARENT) as entry:
            entry.set("kind", "report")
            with telemetry.tracing.span("agent.run", entry.traceparent):
                pass
        with pytest.raises(KeyError), telemetry.tracing.span("other", "garbage"):
            raise KeyError
    agent, entry, other = map(json.loads, path.read_text().splitlines())
    assert {agent["trace_id"], entry["trace_id"]} == {TRACE_ID}
    assert entry["parent_id"] == "b7ad6b7169203331"
    assert agent["parent_id"] == entry["span_id"]
    assert entry["attributes"] == {"kind": "report"}
    assert (other["parent_id"], other["status"]) == (None, "error")


def test_context_is_propagated_when_spans_are_off():
    with (
        open_telemetry(settings_with()) as telemetry,
        telemetry.tracing.span("entry.request", TRACEPARENT) as span,
    ):
        assert span.traceparent == TRACEPARENT


def test_a_span_file_that_cannot_be_opened_is_an_error(tmp_path):
    settings = settings_with(spans=str(tmp_path / "missing" / "file"))
    with pytest.raises(TracingError, match="spans: "), open_telemetry(settings):
        pass
