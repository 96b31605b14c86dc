"""Share of the leader's time that searches for gangs in vain may take."""

import pytest

from dotterelspread.jobs.cell import AppendDone, CellTick
from dotterelspread.jobs.gangsearch import (
    MAX_MEMBERS_PER_PASS,
    MEMBERS_PER_S,
    GangSearches,
)
from dotterelspread.jobs.handlers import reduce
from dotterelspread.jobs.lifecycle import make_run
from dotterelspread.jobs.placement import placing
from dotterelspread.resources import Resources
from tests.builders_cell import make_cell, make_worker, submit
from tests.builders_fleet import make_step

TINY = Resources(10, 10)
MEMBERS = 400


@pytest.fixture
def sought(monkeypatch):
    """Return the list of task keys for which a worker was sought."""
    keys = []
    choose_worker = placing.choose_worker

    def note_choice(cell, job, key, *rest):
        keys.append(key)
        return choose_worker(cell, job, key, *rest)

    monkeypatch.setattr(placing, "choose_worker", note_choice)
    return keys


def make_stopping_cell(gangs):
    """Return a cell with gangs that fit, but for runs of a member being stopped."""
    workers = [make_worker(n, capacity=Resources(99_000, 99_000)) for n in range(2)]
    cell = make_cell(*workers)
    cell.is_append_under_way = True
    for number in range(1, gangs + 1):
        submit(cell, make_step(count=MEMBERS, is_gang=True, demand=TINY), number=number)
    for job in cell.jobs_by_id.values():
        last = (0, 0, MEMBERS - 1)
        for worker in workers:
            worker.add(job.task_id(last), make_run(job, last, 0))
    cell.is_append_under_way = False
    return cell


def test_a_gang_that_earlier_runs_stop_is_not_sought_in_each_pass(sought):
    # Guards against a leader that seeks thousands of members ten times a second while
    # an earlier run of one of them is being stopped.
    cell = make_stopping_cell(1)
    for number in range(20):
        assert reduce(CellTick(0.01 * number, 0), cell) == []
    assert len(sought) <= MEMBERS + 0.2 * MEMBERS_PER_S


def test_gangs_in_vain_share_one_pass_and_one_rate(sought):
    # Guards against a pass whose time grows with the number of such gangs.
    cell = make_stopping_cell(10)
    reduce(CellTick(0.1, 0), cell)
    assert len(sought) < MAX_MEMBERS_PER_PASS + MEMBERS
    for number in range(100):
        reduce(CellTick(0.1 + 0.1 * number, 0), cell)
    assert len(sought) <= 10 * MEMBERS + 10.1 * MEMBERS_PER_S
    assert len(sought) > 10 * MEMBERS


def test_small_jobs_start_beside_gangs_in_vain():
    cell = make_stopping_cell(10)
    for number in range(100, 110):
        assert len(submit(cell, make_step(demand=TINY), number=number)) == 1


def test_a_gang_starts_soon_after_its_earlier_run_has_ended():
    cell = make_stopping_cell(1)
    assert reduce(CellTick(0.1, 0), cell) == []
    for worker in cell.workers_by_id.values():
        for task_id in list(worker.runs_by_task):
            worker.remove(task_id)
    assert len(reduce(AppendDone(0.1 + MEMBERS / MEMBERS_PER_S), cell)) == 0
    assert len(reduce(CellTick(0.1 + MEMBERS / MEMBERS_PER_S, 0), cell)) == MEMBERS


def test_searches_are_due_in_turn():
    searches = GangSearches()
    searches.begin_pass(1.0)
    for job_id, members in (("a", 400), ("b", 800)):
        assert searches.may_search(job_id, (0, 0), 1.0)
        searches.note_failure(job_id, (0, 0), members, 1.0)
    assert not searches.may_search("c", (0, 0), 1.0)
    searches.begin_pass(1.1)
    due = [searches.may_search(job_id, (0, 0), 1.1) for job_id in "abc"]
    assert due == [True, False, True]
    searches.begin_pass(1.3)
    assert all(searches.may_search(job_id, (0, 0), 1.3) for job_id in "ab")
