"""Tests of the restart of serving tasks while batch work fills the workers."""

from dataclasses import replace

from dotterelspread.jobs.agentreport import EndedRun, RunEnd
from dotterelspread.jobs.cell import Submitted
from dotterelspread.jobs.handlers import reduce
from dotterelspread.jobs.queues import Queue
from dotterelspread.resources import Resources
from tests.builders_cell import make_cell, make_report, make_worker, submit
from tests.builders_fleet import QUEUE, make_job, make_step, run_scenario

URGENT = Queue("u", "host", "/u/", "svc", 0, 3, 2.0, 500)
LATER = Queue("l", "host", "/l/", "svc", 2, 3, 2.0, 500)
SERVING = make_step(
    is_service=True, target_ms=20, image="s", demand=Resources(5000, 100)
)
BACKLOG_JOBS = range(100, 120)


def submit_backlog(cell, now_s=0.0, queue=QUEUE):
    """Submit small batch jobs, more than fit on a worker."""
    for number in BACKLOG_JOBS:
        spec = make_job(number, (make_step(),), queue=queue)
        reduce(Submitted(now_s, spec, 0), cell)


def end_run(start, now_s, how=RunEnd.FAILED):
    """Return the report of the end of a run on worker 0."""
    end = EndedRun(1, start.task_id, start.run.run, how, "")
    event = make_report(0, now_s)
    return replace(event, report=replace(event.report, ended=(end,)))


def tasks_started(effects):
    return [e.task_id for e in effects if hasattr(e, "program")]


def test_a_serving_task_that_ends_gets_its_room_back_before_a_batch_backlog():
    cell = make_cell(make_worker(0))
    (serving,) = submit(cell, SERVING, number=1)
    # The job of the serving task is far beyond any objective by now.
    submit_backlog(cell, 59.9)
    effects = reduce(end_run(serving, 60.0), cell)
    assert serving.task_id in tasks_started(effects)


def test_a_serving_task_keeps_its_room_against_batch_work_of_an_urgent_queue():
    cell = make_cell(make_worker(0), queues=(QUEUE, URGENT, LATER))
    (serving,) = submit(cell, SERVING, number=1, queue=LATER)
    submit_backlog(cell, queue=URGENT)
    effects = reduce(end_run(serving, 1.0), cell)
    assert serving.task_id in tasks_started(effects)


def test_a_new_service_waits_for_the_work_of_an_urgent_queue():
    cell = make_cell(make_worker(0), queues=(QUEUE, URGENT, LATER))
    (other,) = submit(cell, make_step(demand=Resources(8000, 100)), number=3)
    submit(cell, SERVING, number=1, queue=LATER)
    submit_backlog(cell, queue=URGENT)
    started = tasks_started(reduce(end_run(other, 1.0, RunEnd.COMPLETED), cell))
    assert len(started) == 8
    assert f"{1:016x}.0.0.0" not in started


def test_a_new_service_comes_before_batch_work_of_its_own_queue():
    cell = make_cell(make_worker(0))
    (other,) = submit(cell, make_step(demand=Resources(8000, 100)), number=3)
    submit_backlog(cell)
    submit(cell, SERVING, number=1)
    effects = reduce(end_run(other, 1.0, RunEnd.COMPLETED), cell)
    assert f"{1:016x}.0.0.0" in tasks_started(effects)


def test_a_serving_task_finds_room_among_small_batch_tasks_after_a_crash():
    async def scenario(fleet):
        service = make_job(1, (SERVING,))
        fleet.durations[service.job_id] = 1000.0
        await fleet.submit(service)
        await fleet.settle(1)
        (host,) = [worker for worker in fleet.workers if worker.running]
        for number in range(2, 62):
            backlog = make_job(number, (make_step(count=10),))
            fleet.durations[backlog.job_id] = fleet.rng.uniform(0.4, 1.2)
            await fleet.submit(backlog)
        host.crash()
        # The lease, the time until a lost worker is given up, and some batch tasks.
        await fleet.settle(8)
        others = [worker for worker in fleet.workers if worker is not host]
        assert any(t.startswith(service.job_id) for w in others for t in w.running)

    run_scenario(scenario)
