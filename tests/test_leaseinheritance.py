"""Workers that may hold leases from calls to their earlier incarnations."""

from dataclasses import replace

import pytest

from dotterelspread.jobs.cell import CellTick, WorkerGivenUp
from dotterelspread.jobs.handlers import reduce
from dotterelspread.jobs.leaseinheritance import (
    REMOVED_WORKER_RETENTION_S,
    expects_inheritance,
)
from tests.builders_cell import make_cell, make_report

WORKER_ID = "i-0"
#: Longest inherited lease from a report on, beyond the lease of `make_report`.
INHERITED_S = 10.0


def report(cell, now_s, inherited_s=INHERITED_S, **changes):
    """Report worker 0; an inherited lease lasts ``inherited_s`` at most."""
    event = make_report(0, now_s)
    inherited_end_s = now_s + inherited_s if inherited_s else 0.0
    details = replace(event.report, **changes)
    event = replace(event, report=details, inherited_lease_end_s=inherited_end_s)
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
    assert not expects_inheritance(cell, WORKER_ID)


def test_a_restarted_worker_is_not_given_up_before_its_inherited_lease():
    cell = make_restarted_cell()
    report(cell, 21.0, born_ms=2, is_reachable=False)
    assert not is_given_up(cell, 21.0 + INHERITED_S - 0.1)
    assert is_given_up(cell, 21.0 + INHERITED_S + 0.1)


def test_the_wait_for_a_restarted_worker_is_not_shortened_by_its_own_lease():
    cell = make_restarted_cell()
    own_end_s = report(cell, 21.0, inherited_s=1.0, born_ms=2)
    assert lease_end_s(cell) == 20.0 + INHERITED_S > own_end_s


@pytest.mark.parametrize(
    ("absent_s", "inherits"),
    [
        (1.0, True),
        (REMOVED_WORKER_RETENTION_S - 1.0, True),
        (REMOVED_WORKER_RETENTION_S + 1.0, False),
    ],
)
def test_a_late_call_to_a_removed_worker_is_expected_until_none_is_under_way(
    absent_s, inherits
):
    cell = make_removed_cell(removed_s=11.0)
    back_s = 11.0 + absent_s
    reduce(CellTick(back_s - 0.1, 0), cell)
    assert expects_inheritance(cell, WORKER_ID) == inherits
    own_end_s = report(cell, back_s, born_ms=2)
    assert lease_end_s(cell) == (back_s + INHERITED_S if inherits else own_end_s)
    assert expects_inheritance(cell, WORKER_ID) == inherits


def test_a_worker_that_was_given_up_inherits_when_it_answers_again():
    cell = make_cell()
    report(cell, 10.0)
    report(cell, 11.0, is_reachable=False)
    assert is_given_up(cell, 16.0)
    report(cell, 17.0, born_ms=2)
    assert lease_end_s(cell) == 17.0 + INHERITED_S


def test_a_worker_of_another_id_on_the_instance_inherits_nothing():
    cell = make_cell()
    report(cell, 10.0)
    own_end_s = report(cell, 11.0, worker_id="i-9", born_ms=2)
    assert cell.workers_by_id["i-9"].lease_end_s == own_end_s
    assert expects_inheritance(cell, WORKER_ID)
    assert not expects_inheritance(cell, "i-9")


def test_an_ended_inheritance_does_not_begin_again_in_the_same_incarnation():
    cell = make_restarted_cell()
    report(cell, 40.0, inherited_s=0.0, born_ms=2)
    assert not expects_inheritance(cell, WORKER_ID)
    # A restarted agent does not know of earlier calls of its own.
    own_end_s = report(cell, 41.0, born_ms=2)
    assert lease_end_s(cell) == own_end_s
    assert not expects_inheritance(cell, WORKER_ID)


def test_each_further_incarnation_inherits_again():
    cell = make_restarted_cell()
    report(cell, 40.0, inherited_s=0.0, born_ms=2)
    report(cell, 41.0, born_ms=3)
    assert expects_inheritance(cell, WORKER_ID)
    assert lease_end_s(cell) == 41.0 + INHERITED_S


def test_a_worker_that_is_back_is_not_forgotten_with_the_removed_ones():
    cell = make_restarted_cell()
    late_s = 21.0 + REMOVED_WORKER_RETENTION_S
    report(cell, late_s, born_ms=2)
    reduce(CellTick(late_s + 0.1, 0), cell)
    assert expects_inheritance(cell, WORKER_ID)
