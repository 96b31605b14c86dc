"""Random placement passes: no task waits while a worker could take it."""

import random

import pytest

from dotterelspread.jobs.cell import Submitted
from dotterelspread.jobs.handlers import reduce
from dotterelspread.jobs.paircost import CostEstimate
from dotterelspread.jobs.placement.workerchoice import choose_worker
from dotterelspread.jobs.queues import Queue
from dotterelspread.resources import Resources
from tests.builders_cell import make_cell, make_worker
from tests.builders_fleet import make_job, make_step

QUEUES = [
    Queue(f"q{priority}", "host", f"/{priority}/", "svc", priority, 3, 2.0, 500)
    for priority in range(3)
]


def make_random_worker(rng, number):
    return make_worker(
        number,
        capacity=Resources(rng.choice([2000, 4000, 8000]), rng.choice([4000, 16_000])),
        labels=frozenset(rng.sample(["a", "b"], rng.randint(0, 2))),
        cooldown_until_s=rng.choice([0.0, 0.0, 4.0]),
        backoff_until_s=rng.choice([0.0, 0.0, 0.0, 0.5]),
        is_draining=rng.random() < 0.1,
        baseline_tail_by_image=rng.choice([{}, {"s": 0.6}]),
    )


def make_random_step(rng):
    kind = rng.choice(["batch", "service", "filler"])
    return make_step(
        count=rng.randint(1, 6),
        demand=Resources(rng.choice([200, 1000, 3000]), rng.choice([10, 1000, 3000])),
        required_label=rng.choice(["", "", "a", "b"]),
        max_per_worker=rng.choice([0, 0, 1]),
        preferred_rack=rng.choice(["", "rack1"]),
        is_service=kind == "service",
        target_ms=20 if kind == "service" else 0,
        is_filler=kind == "filler",
        image=rng.choice(["s", "f"]),
    )


@pytest.mark.parametrize("seed", range(100))
def test_no_task_waits_while_a_worker_could_take_it(seed):
    rng = random.Random(seed)
    workers = [make_random_worker(rng, number) for number in range(rng.randint(1, 5))]
    cell = make_cell(*workers, queues=QUEUES)
    cell.costs.by_pair["s", "f"] = CostEstimate(0.3, 0.0)
    cell.is_append_under_way = True
    for number in range(rng.randint(2, 25)):
        steps = [make_random_step(rng) for _ in range(rng.randint(1, 2))]
        spec = make_job(number, steps, queue=rng.choice(QUEUES))
        reduce(Submitted(0.0, spec, 0), cell)
    cell.is_append_under_way = False
    reduce(Submitted(0.0, make_job(100, (make_step(),)), 0), cell)
    for job_id, keys in cell.ready_by_job.items():
        job = cell.jobs_by_id[job_id]
        for key in keys:
            step = job.step_of(key)
            allowed = [
                worker
                for worker in workers
                if worker.accepts_tasks(0.0)
                or (step.is_service and worker.accepts_serving_tasks(0.0))
            ]
            assert choose_worker(cell, job, key, step, allowed, 0.0) is None
