"""Effects that only report a decision of the cell."""

from unittest import mock

import pytest

from dotterelspread.counters import Counters
from dotterelspread.jobs import effectlog, reportedeffects
from dotterelspread.jobs.ordersending import OrderSender
from dotterelspread.jobs.reportedeffects import (
    ReservationsMade,
    StartWithdrawn,
    TaskGivenUp,
    WorkerCrashed,
    WorkerGivenUp,
    WorkerReturned,
)
from tests.builders_cell import make_worker
from tests.virtualloop import run_virtually

EFFECTS = [
    ReservationsMade((("j1", (0, 1), 0.4), ("j2", (0, 0), 0.9)), 3),
    StartWithdrawn("j1.0.0.0", 2, "i-0"),
    TaskGivenUp("j1.0.0.0", "i-0", 3, 4),
    WorkerCrashed("i-0", "agent0:7000", (("j1.0.0.0", 1),), 2),
    WorkerGivenUp(make_worker(0), ("j1.0.0.0",)),
    WorkerReturned("i-0", "agent0:7000", 2),
]
NAMES = [type(effect).__name__ for effect in EFFECTS]


async def perform_with_sender(effect):
    OrderSender(mock.Mock(epoch=7)).perform(effect)


def perform(effect):
    """Return the calls of the log and the lines of the counters."""
    counters = Counters()
    with (
        mock.patch.object(effectlog, "counters", counters),
        mock.patch.object(effectlog, "log_decision") as log,
    ):
        run_virtually(perform_with_sender(effect))
    return log.call_args_list, counters.to_text().splitlines()


@pytest.mark.parametrize("effect", EFFECTS, ids=NAMES)
def test_each_reported_effect_is_logged(effect):
    # Guards against a new effect without a handler, which would end the term.
    calls, _ = perform(effect)
    assert calls


def test_all_reported_effects_are_covered_here():
    assert sorted(NAMES) == reportedeffects.__all__


def test_reservations_are_logged_and_counted():
    calls, lines = perform(EFFECTS[0])
    first = mock.call("reservation made", job_id="j1", step="0.1", start_in_s=0.4)
    assert calls[0] == first
    assert "dotterelspread_reservations_total 2" in lines
    assert "dotterelspread_backfills_total 3" in lines
