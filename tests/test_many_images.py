"""Queries of the leader stay readable whatever images the tasks of a worker have."""

import msgspec
import pytest

from dotterelspread.jobs.paircost import CostEstimate
from dotterelspread.jobs.taskrun import TaskRun
from dotterelspread.platform.jobdocument import MAX_IMAGE_BYTES, read_job_document
from dotterelspread.resources import Resources
from tests.builders_cell import make_worker
from tests.builders_fleet import QUEUE, make_job, make_step, run_scenario

#: Their square is above the number of elements that a message may have.
IMAGES = 260
SMALL_TASK = Resources(10, 10)
LONG_RUN_S = 60.0
#: Jobs whose names of images are together above the largest message.
JOBS = 64
LONG_NAME = "i" * 140_000


def make_steps(**changes):
    prefix = "filler" if changes.get("is_filler") else "serving"
    return [
        make_step(demand=SMALL_TASK, image=f"{prefix} {n}", **changes)
        for n in range(IMAGES)
    ]


def read_job(number, image):
    step = {"Cpu": 10, "MemMb": 10, "LongRunning": True, "Image": image}
    body = msgspec.json.encode({"Steps": [step]})
    return read_job_document(f"{number:016x}", QUEUE, body, 0)


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


def test_long_names_of_images_do_not_keep_an_agent_from_starting_again():
    async def scenario(fleet):
        for number in range(JOBS):
            job = read_job(100 + number, image=f"{number} {LONG_NAME}")
            fleet.durations[job.job_id] = LONG_RUN_S
            assert (await fleet.submit(job)).result == 1
        await fleet.settle(1)
        # The leader tells the next process of the agent about all tasks at once.
        fleet.agents[0].kill()
        fleet.agents[0].start()
        await expect_worker_in_use(fleet, JOBS)

    run_scenario(scenario, agents=1)


@pytest.mark.parametrize("character", ["i", "é"])
def test_images_with_long_names_stay_different(character):
    longest = character * (MAX_IMAGE_BYTES // len(character.encode()))
    images = [longest, longest + "1", longest + "2"]
    read = [read_job(1, image).steps[0].image for image in images]
    assert read[0] == longest
    assert len(set(read)) == len(images)
    assert max(len(image.encode()) for image in read) <= MAX_IMAGE_BYTES
    assert read_job(2, images[1]).steps[0].image == read[1]
