"""Suspension of lease grants to silent workers."""

from dataclasses import replace

from dotterelspread.jobs.cell import (
    AgentLost,
    CellTick,
    EarlierTermsEnded,
    GrantsResumed,
    ResumeGrants,
)
from dotterelspread.jobs.handlers import reduce
from dotterelspread.jobs.leasesuspension import adopt_suspension
from dotterelspread.jobs.worker import LeaseGrants, Worker
from tests.builders_cell import make_cell, make_report

WORKER_ID = "i-0"


def grants_of(cell):
    return cell.workers_by_id[WORKER_ID].grants


def suspend(cell, now_s):
    """Lose the agent of the worker at ``now_s``, until its grants are suspended."""
    address = cell.workers_by_id[WORKER_ID].agent_address
    reduce(AgentLost(now_s, address), cell)
    reduce(CellTick(now_s + 1.5, 0), cell)
    assert grants_of(cell) is LeaseGrants.SUSPENDED


def report(cell, now_s):
    """Report the worker as reachable; return the `ResumeGrants` effect."""
    effects = reduce(make_report(0, now_s), cell)
    (effect,) = [e for e in effects if isinstance(e, ResumeGrants)]
    return effect


def commit(cell, now_s, effect):
    """Apply what follows the commit of a `ResumeGrants` effect."""
    event = GrantsResumed(now_s, effect.worker_id, effect.suspension_number)
    reduce(event, cell)


def make_suspended_cell():
    cell = make_cell()
    reduce(make_report(0, 10.0), cell)
    suspend(cell, 11.0)
    return cell


def test_grants_resume_only_after_the_commit():
    cell = make_suspended_cell()
    effect = report(cell, 13.0)
    assert grants_of(cell) is LeaseGrants.RESUMING
    commit(cell, 13.1, effect)
    assert grants_of(cell) is LeaseGrants.ALLOWED


def test_grants_are_not_resumed_while_the_journal_tells_of_a_later_suspension():
    cell = make_suspended_cell()
    first = report(cell, 13.0)
    suspend(cell, 14.0)
    second = report(cell, 16.0)
    commit(cell, 16.1, first)
    assert grants_of(cell) is LeaseGrants.RESUMING
    commit(cell, 16.2, second)
    assert grants_of(cell) is LeaseGrants.ALLOWED


def test_grants_are_not_suspended_while_an_earlier_leader_may_grant():
    cell = make_cell()
    cell.are_earlier_terms_over = False
    reduce(make_report(0, 10.0), cell)
    reduce(AgentLost(11.0, cell.workers_by_id[WORKER_ID].agent_address), cell)
    reduce(CellTick(12.5, 0), cell)
    assert grants_of(cell) is LeaseGrants.ALLOWED


def test_a_new_incarnation_of_a_suspended_worker_gets_no_grants_before_the_commit():
    cell = make_suspended_cell()
    event = make_report(0, 13.0)
    reduce(replace(event, report=replace(event.report, born_ms=99)), cell)
    assert grants_of(cell) is LeaseGrants.RESUMING


def test_the_end_of_earlier_terms_does_not_shorten_the_lease_of_a_reported_worker():
    cell = make_cell()
    reduce(make_report(0, 10.0), cell)
    before_s = cell.workers_by_id[WORKER_ID].lease_end_s
    reduce(EarlierTermsEnded(10.1, before_s - 5.0), cell)
    assert cell.workers_by_id[WORKER_ID].lease_end_s == before_s


def test_a_new_worker_that_is_not_reachable_yet_is_not_suspended_at_once():
    cell = make_cell()
    event = make_report(0, 10.0)
    unreachable = replace(event.report, is_reachable=False)
    reduce(replace(event, report=unreachable), cell)
    reduce(CellTick(10.1, 0), cell)
    assert grants_of(cell) is LeaseGrants.ALLOWED


def test_leases_of_earlier_leaders_count_for_reported_workers_until_they_have_ended():
    cell = make_cell()
    cell.are_earlier_terms_over = False
    cell.earlier_lease_end_s = 40.0
    reduce(make_report(0, 10.0), cell)
    reduce(make_report(0, 10.5), cell)
    assert cell.workers_by_id[WORKER_ID].lease_end_s == 40.0
    reduce(EarlierTermsEnded(11.0, 16.0), cell)
    assert cell.workers_by_id[WORKER_ID].lease_end_s == 16.0


def adopt_suspended_placeholder():
    """Return a cell with a worker that the previous leader had suspended."""
    cell = make_cell()
    worker = Worker(WORKER_ID, make_report(0, 10.0).report.born_ms, lease_end_s=12.0)
    cell.workers_by_id[WORKER_ID] = worker
    adopt_suspension(cell, worker)
    return cell


def report_unreachable(cell, **changes):
    event = make_report(0, 10.0)
    report = replace(event.report, is_reachable=False, **changes)
    reduce(replace(event, report=report, lease_end_s=16.7), cell)
    return cell.workers_by_id[WORKER_ID].lease_end_s


def test_a_first_report_of_a_silent_worker_does_not_start_its_wait_anew():
    assert report_unreachable(adopt_suspended_placeholder()) == 12.0


def test_leases_of_earlier_leaders_do_not_count_for_an_adopted_suspension():
    """Guards against a wait that the second report of a silent worker starts anew."""
    cell = adopt_suspended_placeholder()
    cell.are_earlier_terms_over = False
    cell.earlier_lease_end_s = 40.0
    for _ in range(3):
        event = make_report(0, 10.0)
        report = replace(event.report, is_reachable=False)
        # The first report only is counted as a grant; `AgentLink` gives 0 afterwards.
        reduce(replace(event, report=report, lease_end_s=0.0), cell)
    assert cell.workers_by_id[WORKER_ID].lease_end_s == 12.0


def test_leases_of_earlier_leaders_count_for_another_silent_incarnation():
    cell = adopt_suspended_placeholder()
    cell.are_earlier_terms_over = False
    cell.earlier_lease_end_s = 40.0
    assert report_unreachable(cell, born_ms=99) == 40.0


def test_a_first_report_of_another_incarnation_counts_a_lease_of_the_earlier_one():
    assert report_unreachable(adopt_suspended_placeholder(), born_ms=99) == 16.7


def test_an_adopted_suspension_is_recorded_for_the_new_term():
    assert WORKER_ID in adopt_suspended_placeholder().dirty_worker_ids
