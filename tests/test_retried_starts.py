"""Tests of starts that are retried on a worker that has changed meanwhile."""

from dataclasses import replace

from dotterelspread.jobs.cell import CellTick, StartRun, StopRun
from dotterelspread.jobs.handlers import reduce
from dotterelspread.resources import Resources
from tests.builders_cell import (
    make_cell,
    make_report,
    make_worker,
    settle_order,
    submit,
)
from tests.builders_fleet import make_step

SMALL = Resources(2000, 16_000)


def report_change(cell, now_s, **changes):
    event = make_report(0, now_s)
    return reduce(replace(event, report=replace(event.report, **changes)), cell)


def kinds_of(effects):
    return [
        type(effect) for effect in effects if isinstance(effect, (StartRun, StopRun))
    ]


def test_a_start_is_not_retried_on_a_smaller_incarnation():
    cell = make_cell(make_worker(0))
    for start in submit(cell, make_step(count=8)):
        settle_order(cell, start, "unknown")
    report_change(cell, 1.0, born_ms=1000, capacity=SMALL)
    assert kinds_of(reduce(CellTick(2.0, 0), cell)) == [StopRun] * 8


def test_a_start_is_not_retried_on_an_incarnation_without_the_label():
    cell = make_cell(make_worker(0))
    (start,) = submit(cell, make_step(required_label="a"))
    settle_order(cell, start, "unknown")
    report_change(cell, 1.0, born_ms=1000, labels=frozenset({"b"}))
    assert kinds_of(reduce(CellTick(2.0, 0), cell)) == [StopRun]


def test_a_start_is_not_retried_on_an_incarnation_of_another_service():
    cell = make_cell(make_worker(0))
    (start,) = submit(cell, make_step())
    settle_order(cell, start, "unknown")
    report_change(cell, 1.0, born_ms=1000, service="other")
    assert kinds_of(reduce(CellTick(2.0, 0), cell)) == [StopRun]


def test_a_start_is_not_retried_on_a_worker_that_has_shrunk():
    cell = make_cell(make_worker(0))
    for start in submit(cell, make_step(count=8)):
        settle_order(cell, start, "unknown")
    report_change(cell, 0.2, capacity=SMALL)
    assert kinds_of(reduce(CellTick(1.0, 0), cell)) == [StopRun] * 8


def test_a_start_is_retried_on_an_incarnation_that_has_room():
    cell = make_cell(make_worker(0))
    (start,) = submit(cell, make_step())
    settle_order(cell, start, "unknown")
    report_change(cell, 1.0, born_ms=1000, capacity=SMALL)
    assert kinds_of(reduce(CellTick(2.0, 0), cell)) == [StartRun]


def test_a_task_whose_start_no_longer_fits_goes_elsewhere_once_that_is_stopped():
    cell = make_cell(make_worker(0))
    (start,) = submit(cell, make_step(demand=Resources(4000, 10)))
    cell.workers_by_id["i-1"] = make_worker(1)
    settle_order(cell, start, "unknown")
    report_change(cell, 0.2, capacity=SMALL)
    (stop,) = reduce(CellTick(1.0, 0), cell)
    assert settle_order(cell, stop, "confirmed", 1.1, 1100) == []
    report_change(cell, 1.3, capacity=SMALL)
    (again,) = reduce(CellTick(1.4, 0), cell)
    assert (again.task_id, again.worker.worker_id) == (start.task_id, "i-1")


def test_the_other_half_of_a_worker_that_shrinks_and_grows_is_used_again():
    cell = make_cell(make_worker(0))
    report_change(cell, 0.1, capacity=SMALL)
    assert len(submit(cell, make_step(count=8))) == 2
    report_change(cell, 0.3)
    assert len(reduce(CellTick(0.4, 0), cell)) == 6
