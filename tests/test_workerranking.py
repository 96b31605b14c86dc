"""Ranking of workers: a choice does not look at all of them."""

import random
from typing import NamedTuple

import pytest

from dotterelspread.jobs.placement.workerranking import WorkerRanking
from dotterelspread.resources import Resources
from tests.builders_cell import make_cell, make_worker, submit
from tests.builders_fleet import make_step

WORKERS = 50
TASKS = 200


class CountingRuns(dict):
    """Runs of a worker that count how often it was asked for one."""

    looks = 0

    def __contains__(self, task_id):
        CountingRuns.looks += 1
        return super().__contains__(task_id)


@pytest.mark.parametrize("is_gang", [True, False])
def test_a_choice_does_not_look_at_all_workers(is_gang, monkeypatch):
    # Guards against a pass in which each task of a large step looks at each worker.
    monkeypatch.setattr(CountingRuns, "looks", 0)
    workers = [make_worker(number) for number in range(WORKERS)]
    for worker in workers:
        worker.runs_by_task = CountingRuns()
    cell = make_cell(*workers)
    step = make_step(count=TASKS, demand=Resources(100, 10), is_gang=is_gang)
    assert len(submit(cell, step)) == TASKS
    assert CountingRuns.looks <= 2 * (WORKERS + TASKS)


class Score(NamedTuple):
    is_not_avoided: bool
    value: int
    worker_id: str


def choose_by_search(workers, score_by_id, task_id, avoided_worker_id):
    scores = []
    for worker in workers:
        score = score_by_id[worker.worker_id]
        if score is None or task_id in worker.runs_by_task:
            continue
        is_avoided = worker.worker_id == avoided_worker_id
        scores.append(score._replace(is_not_avoided=not is_avoided))
    return max(scores).worker_id if scores else None


@pytest.mark.parametrize("seed", range(50))
def test_the_ranking_chooses_as_a_search_of_all_workers(seed):
    # Guards against a choice by a score from before a worker has changed.
    rng = random.Random(seed)
    workers = [make_worker(number) for number in range(rng.randint(1, 8))]
    score_by_id = {}

    def draw(worker):
        score = Score(True, rng.randint(0, 3), worker.worker_id)
        score_by_id[worker.worker_id] = rng.choice([score, score, None])

    for worker in workers:
        draw(worker)
        for task in rng.sample("abc", rng.randint(0, 2)):
            worker.runs_by_task[task] = None
    ranking = WorkerRanking(workers, lambda worker: score_by_id[worker.worker_id])
    for _ in range(20):
        task_id, avoided = rng.choice("abcd"), rng.choice(["", "i-0", "i-1"])
        best = ranking.choose(task_id, avoided)
        expected = choose_by_search(workers, score_by_id, task_id, avoided)
        assert (best and best.worker_id) == expected
        if best is not None:
            draw(best)
            ranking.invalidate(best.worker_id)
