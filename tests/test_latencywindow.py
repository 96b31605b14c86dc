import pytest

from dotterelspread.latencywindow import LatencyWindow


def test_a_sample_has_the_tail_latency_and_the_average_load():
    window = LatencyWindow(100.0, slots=8)
    window.set_used(100.0, 4)
    window.set_used(105.0, 8)
    for number in range(100):
        window.add(0.001 * (number + 1))
    sample = window.take(110.0)
    assert (sample.start_s, sample.end_s) == (100.0, 110.0)
    assert sample.load == pytest.approx(0.75)
    assert sample.p99_s == pytest.approx(0.099)
    assert window.load == 1.0


def test_a_window_with_too_few_requests_is_extended():
    window = LatencyWindow(0.0, slots=1)
    window.add(0.5)
    assert window.take(5.0) is None
    for _ in range(19):
        window.add(0.1)
    assert window.take(10.0).start_s == 0.0
    assert window.take(15.0) is None


def test_a_service_is_idle_after_the_idle_timeout():
    window = LatencyWindow(0.0, slots=8)
    assert window.is_idle(0.0)
    window.set_used(10.0, 1)
    assert not window.is_idle(100.0)
    window.set_used(100.0, 0)
    assert not window.is_idle(129.0)
    assert window.is_idle(131.0)
