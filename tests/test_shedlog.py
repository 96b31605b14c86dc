"""Shed connections are all counted, and only a bounded number of them is logged."""

from dotterelspread import shedlog
from dotterelspread.counters import counters
from dotterelspread.shedlog import LOG_INTERVAL_S, ShedLog


def test_a_reason_is_logged_once_per_interval_with_the_count_since(monkeypatch):
    lines = []
    monkeypatch.setattr(
        shedlog, "log_decision", lambda message, **fields: lines.append(fields)
    )
    now_s = 100.0
    log = ShedLog(lambda: now_s)
    for _ in range(1000):
        log.add("memory_test")
    log.add("head_test")
    now_s += LOG_INTERVAL_S
    log.add("memory_test")
    assert lines == [
        {"reason": "memory_test", "count": 1},
        {"reason": "head_test", "count": 1},
        {"reason": "memory_test", "count": 1000},
    ]
    line = 'dotterelspread_connections_shed_total{reason="memory_test"} 1001'
    assert line in counters.to_text()
