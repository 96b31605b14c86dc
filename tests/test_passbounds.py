"""What a placement pass does again for jobs that wait and have not changed."""

import pytest

from dotterelspread.jobs.cell import CellTick
from dotterelspread.jobs.handlers import reduce
from dotterelspread.jobs.job import Job
from dotterelspread.jobs.placement import ordering
from tests.builders_cell import CAPACITY, make_cell, make_worker, submit
from tests.builders_fleet import make_step

JOBS = 30
TASKS = 300


def make_waiting_cell(jobs, **changes):
    """Return a cell whose only worker is full, with jobs that wait."""
    cell = make_cell(make_worker(0))
    submit(cell, make_step(demand=CAPACITY))
    for number in range(2, 2 + jobs):
        submit(cell, make_step(demand=CAPACITY, **changes), number=number)
    reduce(CellTick(0.1, 0), cell)
    return cell


def count_calls(monkeypatch, owner, name):
    calls = []
    function = getattr(owner, name)

    def note_call(*values):
        calls.append(values)
        return function(*values)

    monkeypatch.setattr(owner, name, note_call)
    return calls


def test_the_work_of_jobs_that_wait_is_not_estimated_in_each_pass(monkeypatch):
    # Guards against passes that take as long as all waiting jobs have steps.
    cell = make_waiting_cell(JOBS)
    calls = count_calls(monkeypatch, ordering, "_critical_path_ms")
    for number in range(10):
        assert reduce(CellTick(0.2 + 0.1 * number, 0), cell) == []
    assert calls == []


@pytest.mark.parametrize("target_ms", [0, 20])
def test_the_tasks_of_services_that_wait_are_not_looked_at_in_each_pass(
    monkeypatch, target_ms
):
    # Guards against passes that take as long as a service waits with tasks.
    cell = make_waiting_cell(1, count=TASKS, is_service=True, target_ms=target_ms)
    calls = count_calls(monkeypatch, Job, "step_of")
    for number in range(10):
        assert reduce(CellTick(0.2 + 0.1 * number, 0), cell) == []
    assert len(calls) <= TASKS


def test_a_job_is_estimated_anew_after_its_tasks_have_changed():
    # Guards against an order of placement by work that is done.
    cell = make_cell(make_worker(0))
    [start] = submit(cell, make_step(count=2, demand=CAPACITY))
    job = cell.jobs_by_id[start.run.job_id]
    assert ordering.estimate_work(job).work == pytest.approx(4.0)
    cell.workers_by_id["i-0"].remove(start.task_id)
    job.requeue(start.run.key)
    assert ordering.estimate_work(job).work == pytest.approx(8.0)
