"""Sums over the runs of a worker, as the leader sees it."""

import random

from dotterelspread.jobs.taskrun import TaskRun
from dotterelspread.resources import Resources
from tests.builders_cell import make_cell, make_worker, submit
from tests.builders_fleet import make_step


class CountingDict(dict):
    """A dictionary that counts how often all its values are looked at."""

    def __init__(self):
        super().__init__()
        self.looks = 0

    def values(self):
        self.looks += 1
        return super().values()


def make_random_run(rng):
    return TaskRun(
        f"job{rng.randint(0, 2)}",
        (0, rng.randint(0, 1), rng.randint(0, 99)),
        1,
        Resources(100, 10),
        rng.choice([100, 333]),
        0,
        is_filler=rng.random() < 0.7,
        image=rng.choice(["f", "g"]),
    )


def test_sums_of_a_worker_are_those_of_its_runs_after_any_change():
    # Guards against a limit per worker or a usage that counts runs that are not there.
    rng = random.Random(1)
    worker = make_worker(0)
    for number in range(400):
        worker.idle_millicores  # noqa: B018
        if worker.runs_by_task and rng.random() < 0.4:
            worker.remove(rng.choice(list(worker.runs_by_task)))
        else:
            worker.add(f"task{number}", make_random_run(rng))
        runs = list(worker.runs_by_task.values())
        usage = worker.idle_millicores, worker.filler_cores_by_image()
        worker.invalidate_usage()
        assert usage == (worker.idle_millicores, worker.filler_cores_by_image())
        for job_id in ("job0", "job1", "job2"):
            keys = [run.key[:2] for run in runs if run.job_id == job_id]
            for step_key in ((0, 0), (0, 1)):
                count = worker.count_of_step(job_id, step_key)
                assert count == keys.count(step_key)


def test_a_choice_of_a_worker_does_not_look_at_all_its_runs():
    # Guards against a pass whose time grows with the square of a step's tasks.
    for changes in ({"max_per_worker": 200}, {"is_filler": True}, {}):
        workers = [
            make_worker(number, capacity=Resources(3200, 6400)) for number in range(10)
        ]
        for worker in workers:
            worker.runs_by_task = CountingDict()
        step = make_step(count=200, demand=Resources(50, 1), **changes)
        assert len(submit(make_cell(*workers), step)) == 200
        assert sum(worker.runs_by_task.looks for worker in workers) <= 10
