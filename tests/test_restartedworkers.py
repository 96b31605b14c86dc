"""Workers that may hold leases from calls to their earlier incarnations."""

from dataclasses import replace

import pytest

from dotterelspread.jobs.cell import CellTick
from dotterelspread.jobs.handlers import reduce
from dotterelspread.jobs.reportedeffects import WorkerGivenUp
from dotterelspread.jobs.restartedworkers import (
    REMOVED_WORKER_RETENTION_S,
    may_hold_residual_lease,
)
from tests.builders_cell import make_cell, make_report

WORKER_ID = "i-0"
#: Longest residual lease from a report on, beyond the lease of `make_report`.
RESIDUAL_S = 10.0


def report(cell, now_s, residual_s=RESIDUAL_S, **changes):
    """Report worker 0; a residual lease lasts ``residual_s`` at most."""
    event = make_report(0, now_s)
    residual_end_s = now_s + residual_s if residual_s else 0.0
    details = replace(event.report, **changes)
    event = replace(event, report=details, residual_lease_end_s=residual_end_s)
    reduce(event, cell)
    return event.lease_end_s


def lease_end_s(cell):
    return cell.workers_by_id[WORKER_ID].lease_end_s


def is_given_up(cell, now_s):
    """Tell whether a tick at ``now_s`` gives up the worker."""
    effects = reduce(CellTick(now_s, 0), cell)
    return any(isinstance(effect, WorkerGivenUp) for effect in effects)


def make_restarted_cell():
    """Return a cell whose worker has started again under its id at 20 s."""
    cell = make_cell()
    report(cell, 10.0)
    report(cell, 20.0, born_ms=2)
    return cell


def make_removed_cell(removed_s):
    cell = make_cell()
    report(cell, 10.0)
    report(cell, removed_s, has_left=True, is_reachable=False)
    assert WORKER_ID not in cell.workers_by_id
    return cell


def test_a_new_worker_is_not_waited_for_longer_than_its_own_lease():
    cell = make_cell()
    own_end_s = report(cell, 10.0)
    assert lease_end_s(cell) == own_end_s
    assert not may_hold_residual_lease(cell, WORKER_ID)


def test_a_restarted_worker_is_not_given_up_before_its_residual_lease():
    cell = make_restarted_cell()
    report(cell, 21.0, born_ms=2, is_reachable=False)
    assert not is_given_up(cell, 21.0 + RESIDUAL_S - 0.1)
    assert is_given_up(cell, 21.0 + RESIDUAL_S + 0.1)


def test_the_wait_for_a_restarted_worker_is_not_shortened_by_its_own_lease():
    cell = make_restarted_cell()
    own_end_s = report(cell, 21.0, residual_s=1.0, born_ms=2)
    assert lease_end_s(cell) == 20.0 + RESIDUAL_S > own_end_s


@pytest.mark.parametrize(
    ("absent_s", "may_hold"),
    [
        (1.0, True),
        (REMOVED_WORKER_RETENTION_S - 1.0, True),
        (REMOVED_WORKER_RETENTION_S + 1.0, False),
    ],
)
def test_a_late_call_to_a_removed_worker_is_expected_until_none_is_under_way(
    absent_s, may_hold
):
    cell = make_removed_cell(removed_s=11.0)
    back_s = 11.0 + absent_s
    reduce(CellTick(back_s - 0.1, 0), cell)
    assert may_hold_residual_lease(cell, WORKER_ID) == may_hold
    own_end_s = report(cell, back_s, born_ms=2)
    assert lease_end_s(cell) == (back_s + RESIDUAL_S if may_hold else own_end_s)
    assert may_hold_residual_lease(cell, WORKER_ID) == may_hold


def test_a_worker_that_was_given_up_may_hold_a_residual_lease_when_it_answers_again():
    cell = make_cell()
    report(cell, 10.0)
    report(cell, 11.0, is_reachable=False)
    assert is_given_up(cell, 16.0)
    report(cell, 17.0, born_ms=2)
    assert lease_end_s(cell) == 17.0 + RESIDUAL_S


def test_a_worker_of_another_id_on_the_instance_holds_no_residual_lease():
    cell = make_cell()
    report(cell, 10.0)
    own_end_s = report(cell, 11.0, worker_id="i-9", born_ms=2)
    assert cell.workers_by_id["i-9"].lease_end_s == own_end_s
    assert may_hold_residual_lease(cell, WORKER_ID)
    assert not may_hold_residual_lease(cell, "i-9")


def test_a_residual_lease_that_has_ended_does_not_begin_again_in_the_incarnation():
    cell = make_restarted_cell()
    report(cell, 40.0, residual_s=0.0, born_ms=2)
    assert not may_hold_residual_lease(cell, WORKER_ID)
    # A restarted agent does not know of earlier calls of its own.
    own_end_s = report(cell, 41.0, born_ms=2)
    assert lease_end_s(cell) == own_end_s
    assert not may_hold_residual_lease(cell, WORKER_ID)


def test_each_further_incarnation_may_hold_a_residual_lease_again():
    cell = make_restarted_cell()
    report(cell, 40.0, residual_s=0.0, born_ms=2)
    report(cell, 41.0, born_ms=3)
    assert may_hold_residual_lease(cell, WORKER_ID)
    assert lease_end_s(cell) == 41.0 + RESIDUAL_S


def test_a_worker_that_is_back_is_not_forgotten_with_the_removed_ones():
    cell = make_restarted_cell()
    late_s = 21.0 + REMOVED_WORKER_RETENTION_S
    report(cell, late_s, born_ms=2)
    reduce(CellTick(late_s + 0.1, 0), cell)
    assert may_hold_residual_lease(cell, WORKER_ID)
