"""Ready tasks of a job, and the work of a pass that finds them unchanged."""

import random

import pytest

from dotterelspread.jobs.cell import CellTick
from dotterelspread.jobs.handlers import reduce
from dotterelspread.jobs.readytasks import ReadyTasks
from dotterelspread.resources import Resources
from tests.builders_cell import make_cell, make_worker, submit
from tests.builders_fleet import make_step


def test_tasks_by_step_are_those_in_the_set_after_any_change():
    # Guards against tasks that are placed twice, or never, after a change of the set.
    rng = random.Random(1)
    ready = ReadyTasks()
    expected = []
    for _ in range(500):
        key = (0, rng.randint(0, 2), rng.randint(0, 20))
        if rng.random() < 0.5:
            ready.add(key)
            expected += [key] * (key not in expected)
        else:
            ready.discard(key)
            expected = [other for other in expected if other != key]
        assert list(ready) == expected
        assert len(ready) == len(expected)
        assert (key in ready) == (key in expected)
        for step_key, keys in ready.by_step().items():
            assert keys == [other for other in expected if other[:2] == step_key]
        assert sum(map(len, ready.by_step().values())) == len(expected)


class CountingKey(tuple):
    """A task key that counts how often keys are looked at."""

    looks = 0

    def __getitem__(self, index):
        CountingKey.looks += 1
        return super().__getitem__(index)


@pytest.mark.parametrize("is_gang", [True, False])
def test_a_pass_does_not_look_at_all_tasks_that_wait_as_before(is_gang):
    # Guards against passes whose time grows with the tasks of jobs that cannot start.
    cell = make_cell(make_worker(0))
    demand = Resources(50 if is_gang else 9000, 10)
    submit(cell, make_step(count=1000, is_gang=is_gang, demand=demand))
    [job] = cell.jobs_by_id.values()
    for key in job.keys_of_step(0, 0):
        cell.clear_ready(job, key)
    for key in job.keys_of_step(0, 0):
        cell.set_ready(job, CountingKey(key))
    assert reduce(CellTick(0.1, 0), cell) == []
    CountingKey.looks = 0
    assert reduce(CellTick(0.2, 0), cell) == []
    assert CountingKey.looks < 10
