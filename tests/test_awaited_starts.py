"""How many starts of a worker may be awaited before it gets further tasks."""

import pytest

from dotterelspread.jobs.cell import AppendDone, CellTick
from dotterelspread.jobs.handlers import reduce
from dotterelspread.jobs.placement import placing
from dotterelspread.jobs.worker import MAX_AWAITED_STARTS
from dotterelspread.resources import Resources
from tests.builders_cell import make_cell, make_worker, submit
from tests.builders_fleet import make_step

TINY = Resources(10, 10)
WORKERS = 3


def make_flooded_cell(**changes):
    """Return a cell with a job of far more tasks than it may start at once."""
    cell = make_cell(*(make_worker(number) for number in range(WORKERS)))
    return cell, submit(cell, make_step(count=700, demand=TINY, **changes))


def confirm(cell, count):
    """Confirm some runs of each worker."""
    for worker in cell.workers_by_id.values():
        awaited = [r for r in worker.runs_by_task.values() if not r.is_confirmed]
        for run in awaited[:count]:
            worker.confirm(run)


@pytest.mark.parametrize("is_service", [False, True])
def test_one_job_does_not_fill_the_queues_of_orders(is_service):
    # Guards against thousands of orders that wait for each other at an agent, while
    # those of small jobs time out behind them and leaders are taken for lost.
    cell, starts = make_flooded_cell(is_service=is_service)
    assert len(starts) == WORKERS * MAX_AWAITED_STARTS
    assert reduce(CellTick(0.1, 0), cell) == []
    confirm(cell, 5)
    assert len(reduce(AppendDone(0.2), cell)) == 0
    assert len(reduce(CellTick(0.2, 0), cell)) == WORKERS * 5


def test_a_small_job_gets_the_next_start():
    cell, _ = make_flooded_cell()
    assert submit(cell, make_step(demand=Resources(100, 100)), number=2) == []
    confirm(cell, 1)
    first, *_ = reduce(CellTick(0.1, 0), cell)
    assert first.run.job_id == f"{2:016x}"


def test_a_gang_starts_whole_beside_a_flood():
    # Guards against a gang that never finds as many starts free as it has members.
    cell, _ = make_flooded_cell()
    gang = make_step(count=50, is_gang=True, demand=Resources(100, 100))
    assert len(submit(cell, gang, number=2)) == 50


def test_orders_that_are_not_answered_are_repeated_some_at_a_time():
    # Guards against a new leader that orders all adopted runs at the same time.
    cell, _ = make_flooded_cell()
    (worker,) = [w for w in cell.workers_by_id.values() if w.worker_id == "i-0"]
    for _ in range(4):
        confirm(cell, 700)
        reduce(CellTick(0.1, 0), cell)
    for run in worker.runs_by_task.values():
        run.is_confirmed = run.is_start_in_flight = False
    worker.is_draining = True
    repeated = reduce(CellTick(10.0, 0), cell)
    own = [effect for effect in repeated if effect.worker is worker]
    assert len(worker.runs_by_task) > 2 * MAX_AWAITED_STARTS
    assert len(own) == MAX_AWAITED_STARTS
    again = reduce(CellTick(10.1, 0), cell)
    assert not [effect for effect in again if effect.worker is worker]


def test_jobs_behind_a_flood_do_not_each_look_at_all_workers(monkeypatch):
    # Guards against passes whose time grows with the jobs that wait behind a flood.
    cell, _ = make_flooded_cell()
    for number in range(2, 100):
        submit(cell, make_step(demand=Resources(100, 100)), number=number)
    looks = []
    can_host = placing.can_host

    def note_look(worker, step):
        looks.append(worker.worker_id)
        return can_host(worker, step)

    monkeypatch.setattr(placing, "can_host", note_look)
    assert reduce(CellTick(0.1, 0), cell) == []
    assert len(looks) <= 3 * WORKERS
