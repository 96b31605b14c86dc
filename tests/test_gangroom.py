"""Room for the members of a gang, against a search with one member after the other."""

import random

import pytest

from dotterelspread.jobs import placing
from dotterelspread.jobs.cell import CellTick, Submitted
from dotterelspread.jobs.gangroom import count_member_room
from dotterelspread.jobs.handlers import reduce
from dotterelspread.jobs.job import Job
from dotterelspread.jobs.paircost import CostEstimate
from dotterelspread.resources import Resources
from tests.builders_cell import make_cell, make_worker, submit
from tests.builders_fleet import make_job, make_step

#: Demand of a member, of which a worker takes eight.
SMALL = Resources(1000, 10)


@pytest.fixture
def choices(monkeypatch):
    """Return the list of task keys for which a worker was sought."""
    sought = []
    choose_worker = placing.choose_worker

    def note_choice(cell, job, key, *rest):
        sought.append(key)
        return choose_worker(cell, job, key, *rest)

    monkeypatch.setattr(placing, "choose_worker", note_choice)
    return sought


@pytest.mark.parametrize(
    "changes",
    [
        {"demand": SMALL},
        {"demand": SMALL, "same_rack": True},
        {"demand": SMALL, "max_per_worker": 4},
        {"demand": Resources(10, 1000)},
        {"demand": Resources(10, 10, 1)},
        {"demand": SMALL, "is_filler": True},
        {"demand": SMALL, "is_service": True, "target_ms": 20},
    ],
)
def test_no_pass_searches_for_the_members_of_a_gang_without_room(choices, changes):
    # Guards against passes that take as long as the gang has members (review/7).
    cell = make_cell(make_worker(0), make_worker(1))
    for number in range(2):
        gang = make_step(count=8000, is_gang=True, **changes)
        assert submit(cell, gang, number=number) == []
    reduce(CellTick(0.1, 0), cell)
    assert choices == []


def test_small_jobs_start_beside_a_gang_without_room(choices):
    cell = make_cell(make_worker(0), make_worker(1))
    assert submit(cell, make_step(count=17, is_gang=True, demand=SMALL)) == []
    for number in range(2, 18):
        assert len(submit(cell, make_step(demand=SMALL), number=number)) == 1
    assert len(choices) == 16


def test_a_gang_starts_in_the_pass_in_which_room_for_it_is_free():
    cell = make_cell(make_worker(0))
    assert submit(cell, make_step(count=9, is_gang=True, demand=SMALL)) == []
    cell.workers_by_id["i-0"].set_capacity(Resources(9000, 16_000))
    assert len(reduce(CellTick(0.1, 0), cell)) == 9


def test_a_gang_starts_in_the_pass_in_which_a_worker_has_come():
    cell = make_cell(make_worker(0))
    assert submit(cell, make_step(count=16, is_gang=True, demand=SMALL)) == []
    cell.workers_by_id["i-1"] = make_worker(1)
    assert len(reduce(CellTick(0.1, 0), cell)) == 16


def make_random_worker(rng, number):
    return make_worker(
        number,
        capacity=Resources(rng.choice([2000, 3500, 8000]), rng.choice([4000, 16_000])),
        baseline_tail_by_image=rng.choice([{}, {"s": 0.6}, {"s": 0.9, "t": 0.5}]),
    )


def make_random_step(rng, **changes):
    values = {
        "demand": Resources(rng.choice([0, 130, 700, 1100]), rng.choice([0, 10, 900])),
        "is_filler": rng.random() < 0.5,
        "image": rng.choice(["f", "g"]),
        "max_per_worker": rng.choice([0, 0, 2, 9]),
    }
    return make_step(**(values | changes))


def make_random_cell(rng):
    """Return a cell of a few workers with costs and some running tasks."""
    workers = [make_random_worker(rng, number) for number in range(rng.randint(1, 5))]
    cell = make_cell(*workers)
    for pair in (("s", "f"), ("s", "g"), ("t", "f")):
        cell.costs.by_pair[pair] = CostEstimate(rng.choice([-0.1, 0.04, 0.3]), 0.0)
    for number in range(rng.randint(0, 3)):
        submit(cell, make_random_step(rng, count=rng.randint(1, 6)), number=number)
    return cell


def hosts_of(cell, step):
    return [
        worker
        for worker in cell.workers_by_id.values()
        if placing._can_host(worker, step)
    ]


def search(cell, job, count, workers):
    """Return the pairs of member and worker that a search finds for some members."""
    keys = job.keys_of_step(0, 0)[:count]
    step = job.spec.steps[0]
    return placing._choose_members(cell, job, keys, step, workers, 0.0, None)


@pytest.mark.parametrize("seed", range(200))
def test_a_worker_has_room_for_as_many_members_as_a_search_places_there(seed):
    rng = random.Random(seed)
    cell = make_random_cell(rng)
    step = make_random_step(rng, count=40, is_gang=True)
    job = Job.from_spec(make_job(9, (step,)), 0.0)
    demand = placing._filler_demand(job, step, 0.0)
    for worker in hosts_of(cell, step):
        room = count_member_room(cell, job, (0, 0), worker, demand)
        assert not room or search(cell, job, room, [worker])
        assert room == step.count or not search(cell, job, room + 1, [worker])


@pytest.mark.parametrize("seed", range(200))
def test_a_gang_starts_as_a_search_of_all_its_members_finds(seed):
    rng = random.Random(seed)
    cell = make_random_cell(rng)
    step = make_random_step(rng, count=rng.randint(2, 30), is_gang=True)
    spec = make_job(9, (step,))
    job = Job.from_spec(spec, 0.0)
    found = search(cell, job, step.count, hosts_of(cell, step))
    started = reduce(Submitted(0.0, spec, 0), cell)
    own = [effect for effect in started if effect.run.job_id == spec.job_id]
    assert [(effect.run.key, effect.worker) for effect in own] == found
