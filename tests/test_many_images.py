"""Queries of the leader stay readable whatever images the tasks of a worker have."""

import pytest

from dotterelspread.jobs.paircost import CostEstimate
from dotterelspread.jobs.taskrun import TaskRun
from dotterelspread.resources import Resources
from tests.builders_cell import make_worker
from tests.builders_fleet import make_job, make_step, run_scenario

#: Their square is above the number of elements that a message may have.
IMAGES = 260
SMALL_TASK = Resources(10, 10)
LONG_RUN_S = 60.0


def make_steps(**changes):
    prefix = "filler" if changes.get("is_filler") else "serving"
    return [
        make_step(demand=SMALL_TASK, image=f"{prefix} {n}", **changes)
        for n in range(IMAGES)
    ]


async def expect_worker_in_use(fleet, tasks):
    """Expect that a worker has all tasks, and still does another job."""
    await fleet.settle(4)
    (worker,) = fleet.workers
    assert len(worker.running) == tasks
    job = make_job(9)
    await fleet.submit(job)
    await fleet.settle(2)
    assert (await fleet.state(job.job_id)).state == "COMPLETED"
    assert len(worker.starts) == tasks + 1


def test_many_pairs_of_images_do_not_make_their_worker_unreachable():
    async def scenario(fleet):
        jobs = [
            make_job(1, make_steps(is_service=True, target_ms=100)),
            make_job(2, make_steps(is_filler=True)),
        ]
        for job in jobs:
            fleet.durations[job.job_id] = LONG_RUN_S
            assert (await fleet.submit(job)).result == 1
        await expect_worker_in_use(fleet, 2 * IMAGES)

    run_scenario(scenario, agents=1)


@pytest.mark.parametrize("fillers", [1, 4])
def test_an_agent_is_told_the_learned_costs_on_its_worker_only(fillers):
    worker = make_worker(0)
    no_room = Resources()
    worker.add("s", TaskRun("", (0, 0, 0), 1, no_room, 0, 100, image="serving"))
    for n in range(fillers):
        run = TaskRun("", (0, 0, n), 1, no_room, 0, 0, is_filler=True, image=f"f{n}")
        worker.add(f"f{n}", run)
    pairs = [("serving", "f0"), ("other", "f0"), ("serving", "other")]
    known = worker.known_pairs(dict.fromkeys(pairs, CostEstimate()))
    assert known == {("serving", "f0")}
