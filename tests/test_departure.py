"""When an agent calls a worker again that did not answer."""

import pytest

from dotterelspread.jobs.departure import (
    EXPECTING_RETRY_INTERVAL_S,
    LATE_START_RETRY_INTERVAL_S,
    LATE_START_TIMEOUT_MS,
    RESTART_TIMEOUT_MS,
    RETRY_INTERVAL_S,
    SHUTDOWN_TIMEOUT_MS,
    Departure,
)
from dotterelspread.jobs.workeradapter import WorkerGoneError, WorkerReplyError

NOW_MS = 1_000_000
#: A start that was left unanswered too long ago to be executed.
LONG_AGO_MS = NOW_MS - LATE_START_TIMEOUT_MS - 1


def make_gone():
    """Return the departure of a worker that was found to be gone."""
    departure = Departure()
    assert departure.observe_failure(WorkerGoneError("connection refused"), NOW_MS)
    return departure


def test_a_later_incarnation_is_called_soon_while_a_start_may_still_be_executed():
    interval_s = make_gone().retry_interval_s(NOW_MS, NOW_MS - 3000)
    assert interval_s == LATE_START_RETRY_INTERVAL_S


@pytest.mark.parametrize(
    ("passed_ms", "interval_s"),
    [(0, EXPECTING_RETRY_INTERVAL_S), (RESTART_TIMEOUT_MS + 1, RETRY_INTERVAL_S)],
)
def test_a_worker_that_is_gone_is_called_often_for_some_time_only(
    passed_ms, interval_s
):
    departure = make_gone()
    start_unanswered_ms = LONG_AGO_MS + passed_ms
    assert (
        departure.retry_interval_s(NOW_MS + passed_ms, start_unanswered_ms)
        == interval_s
    )


def test_a_worker_that_is_only_silent_is_not_called_more_often_for_late_starts():
    departure = Departure()
    assert not departure.observe_failure(WorkerReplyError("no reply"), NOW_MS)
    assert departure.retry_interval_s(NOW_MS, NOW_MS) == RETRY_INTERVAL_S


def test_a_worker_that_shuts_down_is_called_soon_while_a_start_may_be_executed():
    departure = Departure()
    departure.announce(NOW_MS)
    soon_ms, later_ms = NOW_MS + 10, NOW_MS + SHUTDOWN_TIMEOUT_MS + 1
    assert departure.retry_interval_s(soon_ms, NOW_MS) == LATE_START_RETRY_INTERVAL_S
    assert departure.retry_interval_s(later_ms, NOW_MS) == RETRY_INTERVAL_S
