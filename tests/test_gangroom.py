"""Room for the members of a gang, against a search with one member after the other."""

import random

import pytest
from msgspec.structs import replace

from dotterelspread.jobs.cell import Cancelled, CellTick, StartRun, Submitted
from dotterelspread.jobs.handlers import reduce
from dotterelspread.jobs.job import Job
from dotterelspread.jobs.paircost import CostEstimate
from dotterelspread.jobs.placement import placing, workerchoice
from dotterelspread.jobs.placement.gangroom import count_member_room
from dotterelspread.jobs.placementpolicy import PlacementPolicy
from dotterelspread.jobs.queues import Queue
from dotterelspread.resources import Resources
from tests.builders_cell import make_cell, make_worker, submit
from tests.builders_fleet import QUEUE, make_job, make_step

OTHER_QUEUE = Queue("other", "host", "/other/", "svc", 1, 3, 2.0, 500)
QUEUES = (QUEUE, OTHER_QUEUE)

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


def make_random_cell(rng, queues=(QUEUE,)):
    """Return a cell of a few workers with costs and some running tasks."""
    workers = [make_random_worker(rng, number) for number in range(rng.randint(1, 5))]
    cell = make_cell(*workers, queues=queues)
    for pair in (("s", "f"), ("s", "g"), ("t", "f")):
        cell.costs.by_pair[pair] = CostEstimate(rng.choice([-0.1, 0.04, 0.3]), 0.0)
    for number in range(rng.randint(0, 3)):
        submit(cell, make_random_step(rng, count=rng.randint(1, 6)), number=number)
    return cell


def hosts_of(cell, step):
    return [
        worker
        for worker in cell.workers_by_id.values()
        if workerchoice.can_host(worker, step)
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
    demand = workerchoice.filler_demand_of(job, step, 0.0)
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


def submit_at(cell, now_s, number, queue, **changes):
    spec = make_job(number, (make_step(**changes),), queue=queue)
    return starts_of(reduce(Submitted(now_s, spec, 0), cell))


def test_no_pass_searches_for_the_members_of_a_gang_that_reservations_stop(choices):
    # Guards against a search of thousands of members in each pass while the room
    # beside the reserved one is too small for all of them.
    cell = make_cell(make_worker(0), make_worker(1), queues=QUEUES)
    cell.placement_policy = PlacementPolicy(reserved_jobs=1)
    half = {"count": 2, "max_per_worker": 1, "demand": Resources(4000, 10)}
    assert len(submit_at(cell, 10.0, 1, QUEUES[0], estimate_ms=2000, **half)) == 2
    large = {"count": 2, "is_gang": True, "demand": Resources(6000, 10)}
    assert submit_at(cell, 10.1, 2, QUEUES[0], estimate_ms=2000, **large) == []
    choices.clear()
    gang = {"count": 60, "is_gang": True, "demand": Resources(100, 10)}
    assert submit_at(cell, 10.2, 3, QUEUES[1], estimate_ms=9000, **gang) == []
    assert choices == []
    assert len(submit_at(cell, 10.2, 4, QUEUES[1], estimate_ms=500, **gang)) == 60


def end_stopped_runs(cell):
    """Report the ends of stopped runs, and that the others go on."""
    for worker in cell.workers_by_id.values():
        worker.invalidate_usage()
        for task_id, run in list(worker.runs_by_task.items()):
            if run.is_stop_requested:
                worker.remove(task_id)


def play_random_passes(seed):
    """Return the tasks and workers of the starts in some passes with reservations."""
    rng = random.Random(seed)
    cell = make_random_cell(rng, QUEUES)
    cell.placement_policy = PlacementPolicy(reserved_jobs=2, keeps_gaps=seed % 2 == 0)
    started = []
    for number in range(10, 20):
        now_s = 0.4 * number
        count = rng.randint(1, 30)
        step = make_random_step(rng, count=count, is_gang=count > 1)
        step = replace(step, estimate_ms=rng.choice([300, 2000, 9000]))
        spec = make_job(number, (step,), queue=rng.choice(QUEUES))
        started += starts_of(reduce(Submitted(now_s, spec, 0), cell))
        if len(started) > 20:
            job_id = rng.choice(started)[0].split(".")[0]
            started += starts_of(reduce(Cancelled(now_s + 0.1, job_id, 0), cell))
        end_stopped_runs(cell)
    return started


def starts_of(effects):
    return [
        (effect.task_id, effect.worker.worker_id)
        for effect in effects
        if isinstance(effect, StartRun)
    ]


def search_always(cell, job, step_key, workers, *rest):
    """Count room for all members everywhere, so that each gang is searched."""
    count = job.spec.steps[step_key[1]].count
    return {worker.worker_id: count for worker in workers}


@pytest.mark.parametrize("seed", range(100))
def test_counted_room_changes_no_placement_beside_reservations(seed, monkeypatch):
    started = play_random_passes(seed)
    monkeypatch.setattr(placing, "count_member_rooms", search_always)
    assert started == play_random_passes(seed)


@pytest.mark.parametrize("seed", range(100))
def test_kept_scores_change_no_placement(seed, monkeypatch):
    # Guards against a choice by a score from before the worker has changed.
    started = play_random_passes(seed)
    choose_worker = placing.choose_worker

    def choose_anew(*values):
        return choose_worker(*values[:7])

    monkeypatch.setattr(placing, "choose_worker", choose_anew)
    assert started == play_random_passes(seed)
