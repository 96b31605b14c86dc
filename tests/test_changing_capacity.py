"""Workers of the virtual fleet whose capacity shrinks and grows while they run."""

import pytest

from dotterelspread.resources import Resources
from tests.builders_fleet import make_job, make_step, run_scenario
from tests.builders_worker import CAPACITY

SMALL = Resources(2000, 16_000)
SERVING = make_step(
    is_service=True, target_ms=20, image="s", demand=Resources(3000, 100)
)
#: The first seeds, and those in which a start exceeded a capacity.
SEEDS = [*range(4), 10, 16, 28, 35]
#: Seeds in which a task ran twice, or a job failed, when calls that list were late too.
LATE_LISTS_SEEDS = [48, 89, 91, 124, 138, 167, 168, 192]
#: Time within which a leader has to know the capacity that a worker announces.
MAX_NOTICE_S = 1.5
SERVICE_ID = f"{1:016x}"


def leader_of(fleet):
    return next(e.candidate.leader for e in fleet.entries if e.candidate.leader)


def is_serving(fleet):
    return any(t.startswith(SERVICE_ID) for w in fleet.workers for t in w.running)


def test_the_leader_learns_of_a_changed_capacity_soon():
    async def scenario(fleet):
        for capacity in (SMALL, CAPACITY):
            fleet.workers[0].change_capacity(capacity)
            await fleet.settle(MAX_NOTICE_S)
            worker = leader_of(fleet).cell.workers_by_id["i-0"]
            assert worker.capacity == capacity

    run_scenario(scenario)


def test_a_serving_task_starts_once_a_worker_has_grown_again():
    async def scenario(fleet):
        for worker in fleet.workers:
            worker.change_capacity(SMALL)
        await fleet.settle(MAX_NOTICE_S)
        fleet.durations[SERVICE_ID] = 1000.0
        await fleet.submit(make_job(1, (SERVING,)))
        await fleet.settle(2)
        assert not is_serving(fleet)
        fleet.workers[1].change_capacity(CAPACITY)
        await fleet.settle(MAX_NOTICE_S + 0.5)
        assert is_serving(fleet)

    run_scenario(scenario)


def test_a_serving_task_that_ends_on_a_shrunk_worker_moves():
    async def scenario(fleet):
        fleet.durations[SERVICE_ID] = 4.0
        await fleet.submit(make_job(1, (SERVING,)))
        await fleet.settle(1)
        (host,) = [worker for worker in fleet.workers if worker.running]
        host.change_capacity(SMALL)
        await fleet.settle(4)
        assert is_serving(fleet)
        assert not host.running

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("seed", "are_lists_late"),
    [(seed, False) for seed in SEEDS] + [(seed, True) for seed in LATE_LISTS_SEEDS],
)
def test_no_start_exceeds_a_changing_capacity(seed, are_lists_late):
    async def scenario(fleet):
        rng = fleet.rng
        fleet.store.loss = rng.choice([0.0, 0.2])
        fleet.network.loss = rng.choice([0.0, 0.05])
        for worker in fleet.workers:
            worker.late_ratio = rng.choice([0.0, 0.3])
            if are_lists_late:
                worker.late_hold_ratio = worker.late_ratio
        for number in range(2, 22):
            fleet.durations[f"{number:016x}"] = rng.choice([0.5, 3.0, 8.0])
            step = make_step(count=rng.randint(1, 6), demand=Resources(1500, 100))
            await fleet.submit(make_job(number, (step,)), rng.randrange(2), 2500)
            worker = rng.choice(fleet.workers)
            worker.change_capacity(rng.choice([SMALL, CAPACITY]))
            if rng.random() < 0.2:
                worker.crash()
                worker.begin_incarnation()
            if rng.random() < 0.1:
                entry = rng.choice(fleet.entries)
                entry.kill()
                entry.start()
            mode = rng.choice([None, None, None, "silent"])
            fleet.store.mode_by_node.clear()
            if mode:
                fleet.store.mode_by_node["*"] = mode
            await fleet.settle(rng.choice([0.3, 1.5, 6.0]))
        fleet.store.mode_by_node.clear()
        for worker in fleet.workers:
            worker.change_capacity(CAPACITY)
        await fleet.settle(10)
        await fleet.expect_completed_or_given_up(90)

    run_scenario(scenario, seed)
