"""Failures of jobs on workers, and the cooldowns that follow from them."""

from dataclasses import replace

import pytest

from dotterelspread.jobs import clock
from dotterelspread.jobs.agentreport import EndedRun, RunEnd
from dotterelspread.jobs.handlers import reduce
from dotterelspread.jobs.placement.cooldown import (
    FAILING_WORKER_COOLDOWN_S,
    MAX_FAULTY_WORKERS,
    RECENT_FAILURE_S,
)
from dotterelspread.jobs.placement.workerfaults import record_completion, record_failure
from dotterelspread.resources import Resources
from tests.builders_cell import make_cell, make_report, make_worker, submit
from tests.builders_fleet import make_job, make_step, run_scenario

WORKERS = 11
#: Numbers of jobs that are accepted and placed nowhere.
JOB_NUMBERS = range(1, 6)
#: Interval at which cooldowns are looked at, and looks for each submitted job.
LOOK_INTERVAL_S, LOOKS_PER_JOB = 0.05, 10
#: Time between two cooldowns that may pass without a placement.
SHORT_GAP_S = 0.25
#: Time between two failures or submissions.
INTERVAL_S = 0.01
#: Longest time from the end of a cooldown to the starts of the tasks that waited.
PLACING_DELAY_S = 0.5


def make_full_cell(workers=WORKERS):
    """Return a cell, its workers and jobs that no worker has room for."""
    cell = make_cell(*(make_worker(n, capacity=Resources()) for n in range(workers)))
    for number in JOB_NUMBERS:
        submit(cell, make_step(), number=number)
    return cell, list(cell.workers_by_id.values()), list(cell.jobs_by_id.values())


def cooling(workers, now_s):
    return sum(worker.cools_down(now_s) for worker in workers)


def test_a_worker_on_which_two_jobs_failed_gets_no_batch_work():
    cell, workers, jobs = make_full_cell()
    for job in jobs[:2]:
        assert cooling(workers, 0.0) == 0
        record_failure(cell, job, workers[0], 0.0)
    assert workers[0].cools_down(FAILING_WORKER_COOLDOWN_S - INTERVAL_S)
    assert cooling(workers, 0.0) == 1


def test_three_workers_that_fail_every_job_are_all_avoided():
    cell, workers, jobs = make_full_cell()
    for job in jobs:
        for worker in workers[:MAX_FAULTY_WORKERS]:
            record_failure(cell, job, worker, 0.0)
    assert cooling(workers[:MAX_FAULTY_WORKERS], 1.0) == MAX_FAULTY_WORKERS


def test_a_worker_that_still_fails_after_a_cooldown_is_avoided_at_once():
    cell, workers, jobs = make_full_cell()
    record_failure(cell, jobs[0], workers[0], 0.0)
    record_failure(cell, jobs[1], workers[0], 0.0)
    record_failure(cell, jobs[1], workers[0], FAILING_WORKER_COOLDOWN_S)
    assert workers[0].cools_down(FAILING_WORKER_COOLDOWN_S + INTERVAL_S)


def test_failures_during_a_cooldown_do_not_prolong_it():
    cell, workers, jobs = make_full_cell()
    for step in range(int(FAILING_WORKER_COOLDOWN_S / INTERVAL_S)):
        record_failure(cell, jobs[step % 2], workers[0], step * INTERVAL_S)
    assert not workers[0].cools_down(FAILING_WORKER_COOLDOWN_S + INTERVAL_S)


@pytest.mark.parametrize("workers", [1, 2, 3, 11, 60])
def test_half_of_the_workers_take_batch_work_however_many_jobs_fail(workers):
    cell, workers, jobs = make_full_cell(workers)
    for worker in workers:
        for job in jobs:
            job.failed_s_by_worker_id.clear()
            record_failure(cell, job, worker, 0.0)
    assert cooling(workers, 0.0) == len(workers) // 2


def test_workers_that_take_no_tasks_do_not_count_for_the_share():
    cell, workers, jobs = make_full_cell(4)
    workers[2].is_draining = workers[3].is_evacuated = True
    for worker in workers[:2]:
        for job in jobs[:2]:
            record_failure(cell, job, worker, 0.0)
    assert cooling(workers, 0.0) == 1


def test_a_job_that_fails_on_many_workers_says_nothing_about_them():
    cell, workers, jobs = make_full_cell()
    for worker in workers:
        record_failure(cell, jobs[0], worker, 0.0)
    for worker in workers:
        record_failure(cell, jobs[1 + workers.index(worker) % 4], worker, 0.0)
    assert cooling(workers, 0.0) == 0


def test_failures_before_the_last_completion_do_not_make_a_job_faulty():
    cell, workers, jobs = make_full_cell()
    for worker in workers[: MAX_FAULTY_WORKERS + 1]:
        record_failure(cell, jobs[0], worker, 0.0)
    record_completion(jobs[0], workers[-1])
    for job in jobs[:2]:
        record_failure(cell, job, workers[0], 0.0)
    assert workers[0].cools_down(0.0)


def test_failures_of_long_ago_do_not_make_a_job_faulty():
    cell, workers, jobs = make_full_cell()
    for worker in workers[:MAX_FAULTY_WORKERS]:
        record_failure(cell, jobs[0], worker, 0.0)
    now_s = RECENT_FAILURE_S + INTERVAL_S
    for job in jobs[:2]:
        record_failure(cell, job, workers[-1], now_s)
    assert workers[-1].cools_down(now_s)
    assert len(jobs[0].failed_s_by_worker_id) == 1


def test_a_failed_run_that_a_worker_reports_counts_against_it():
    cell = make_cell(make_worker(0), make_worker(1, capacity=Resources()))
    starts = [submit(cell, make_step(), number=n)[0] for n in (1, 2)]
    ended = tuple(
        EndedRun(number, start.task_id, start.run.run, RunEnd.FAILED, "")
        for number, start in enumerate(starts, 1)
    )
    event = make_report(0, 1.0)
    reduce(replace(event, report=replace(event.report, ended=ended)), cell)
    assert cell.workers_by_id["i-0"].cools_down(1.0)


def test_half_of_the_workers_with_a_label_take_batch_work_that_needs_it():
    cell, workers, jobs = make_full_cell()
    for worker in workers[:2]:
        worker.labels = frozenset({"b"})
    submit(cell, make_step(required_label="b"), number=JOB_NUMBERS[-1] + 1)
    for worker in workers[:2]:
        for job in jobs[:2]:
            record_failure(cell, job, worker, 0.0)
    assert cooling(workers, 0.0) == 1


async def submit_failing_services(fleet, **changes):
    """Submit lasting jobs whose tasks fail at each start, each on another worker."""
    step = make_step(
        **{"count": 6, "is_service": True, "demand": Resources(1600, 1600)} | changes
    )
    for number in (1, 2):
        service = make_job(number, (step,))
        fleet.poison.add(service.job_id)
        await fleet.submit(service)


@pytest.mark.parametrize("is_filler", [False, True])
@pytest.mark.parametrize("failing_workers", [0, 2])
@pytest.mark.parametrize("seed", range(1, 4))
def test_batch_jobs_run_beside_lasting_tasks_that_fail_on_every_worker(
    seed, failing_workers, is_filler
):
    async def scenario(fleet):
        for worker in fleet.workers[:failing_workers]:
            worker.is_failing = True
        await submit_failing_services(fleet)
        step = make_step(count=2, is_filler=is_filler, image="f")
        batch = [make_job(n, (step,)) for n in range(100, 120)]
        for job in batch:
            await fleet.settle(0.5)
            await fleet.submit(job)
        await fleet.settle(3.0)
        states = [(await fleet.state(job.job_id)).state for job in batch]
        assert states == ["COMPLETED"] * len(batch)

    run_scenario(scenario, seed=seed, agents=WORKERS)


@pytest.mark.parametrize("seed", range(1, 4))
def test_a_batch_job_runs_through_a_wave_of_failing_jobs(seed):
    async def scenario(fleet):
        sound = []
        for number in range(100, 140):
            for offset in (1000, 2000):
                job = make_job(number + offset, (make_step(count=4),))
                fleet.poison.add(job.job_id)
                await fleet.submit(job)
            sound.append(make_job(number, (make_step(),)))
            await fleet.submit(sound[-1])
            await fleet.settle(0.15)
        await fleet.settle(1.0)
        states = [(await fleet.state(job.job_id)).state for job in sound]
        assert states == ["COMPLETED"] * len(sound)

    run_scenario(scenario, seed=seed, agents=WORKERS)


class CooldownWatch:
    """Measures for how long on end all workers with a label take no batch work."""

    def __init__(self, fleet, label):
        self.fleet = fleet
        self.label = label
        #: When all of them last began to be in cooldown; None if some are not.
        self.since_s = None
        #: When all of them last were.
        self.last_s = 0.0
        self.longest_s = 0.0

    def look(self):
        """Note whether all of the workers are in cooldown now while jobs wait."""
        leader = next(
            entry.candidate.leader
            for entry in self.fleet.entries
            if entry.candidate.leader
        )
        cell, now_s = leader.cell, clock.now_s()
        workers = [w for w in cell.workers_by_id.values() if self.label in w.labels]
        if cell.ready_by_job and cooling(workers, now_s) == len(workers):
            if self.since_s is None:
                self.since_s = now_s
            self.last_s = now_s
            self.longest_s = max(self.longest_s, now_s - self.since_s)
        elif now_s - self.last_s > SHORT_GAP_S:
            self.since_s = None


@pytest.mark.parametrize("seed", range(1, 4))
def test_batch_jobs_that_need_a_label_wait_for_one_cooldown_at_most(seed):
    async def scenario(fleet):
        label = "rack0"
        demand = Resources(500, 500)
        await submit_failing_services(fleet, required_label=label, demand=demand)
        watch = CooldownWatch(fleet, label)
        for number in range(100, 130):
            job = make_job(number, (make_step(count=2, required_label=label),))
            await fleet.submit(job)
            for _ in range(LOOKS_PER_JOB):
                await fleet.settle(LOOK_INTERVAL_S)
                watch.look()
        assert 1.0 < watch.longest_s < FAILING_WORKER_COOLDOWN_S + PLACING_DELAY_S

    # Two of the workers have the label.
    run_scenario(scenario, seed=seed, agents=6)
