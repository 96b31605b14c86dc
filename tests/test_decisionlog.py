"""Lines are structured and rate-limited, and a slow reader never blocks the log."""

import json

import pytest

from dotterelspread.counters import Counters
from dotterelspread.decisionlog import MAX_BURST_LINES, MAX_LINES_PER_S, DecisionLog


class Clock:
    def __init__(self):
        self.now_s = 0.0

    def __call__(self):
        return self.now_s


def test_a_line_carries_the_decision_and_its_fields():
    lines = []
    log = DecisionLog(lines.append, Clock(), lambda: 12.5, role="entry")
    log.write("job accepted", {"job_id": "a"})
    assert json.loads(lines[0]) == {
        "at": 12.5,
        "message": "job accepted",
        "role": "entry",
        "job_id": "a",
    }


def test_lines_over_the_budget_are_counted_and_the_count_is_written():
    lines = []
    clock = Clock()
    log = DecisionLog(lines.append, clock, lambda: 0.0)
    for _ in range(int(MAX_BURST_LINES) + 7):
        log.write("x", {})
    assert len(lines) == MAX_BURST_LINES
    clock.now_s = 2 / MAX_LINES_PER_S
    log.write("y", {})
    assert json.loads(lines[-1])["lost_lines"] == 7
    assert log.lost == 0


def test_a_full_pipe_loses_lines_without_blocking():
    def full(data):
        raise BlockingIOError

    log = DecisionLog(full, Clock(), lambda: 0.0)
    log.write("x", {})
    log.write("x", {})
    assert log.lost == 2


def test_counters_and_histograms_are_text_for_prometheus():
    own = Counters()
    own.add("orders", result="confirmed")
    own.add("orders", 2, result="confirmed")
    own.observe("append", 0.004)
    own.observe("append", 99.0)
    text = own.to_text()
    assert 'dotterelspread_orders_total{result="confirmed"} 3' in text
    assert 'dotterelspread_append_seconds_bucket{le="0.005"} 1' in text
    assert 'dotterelspread_append_seconds_bucket{le="+Inf"} 2' in text
    assert "dotterelspread_append_seconds_count 2" in text


@pytest.mark.parametrize("value", [2**64, 10**400, "\ud800", b"\xff", object()])
def test_a_field_of_another_writer_does_not_make_a_line_fail(value):
    lines = []
    log = DecisionLog(lines.append, Clock(), lambda: 0.0)
    log.write("invalid", {"value": value, "job_id": "a"})
    line = json.loads(lines[0])
    assert (line["message"], line["job_id"]) == ("invalid", "a")
    assert len(lines[0]) < 3000


def test_a_field_of_any_length_makes_a_line_of_bounded_length():
    lines = []
    log = DecisionLog(lines.append, Clock(), lambda: 0.0)
    log.write("invalid", {"value": "x" * 2**21})
    assert len(lines[0]) < 3000
