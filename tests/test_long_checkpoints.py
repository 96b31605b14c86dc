"""A worker full of tasks with long checkpoints stays in use, and no run is lost."""

import asyncio
from dataclasses import replace

import pytest

from dotterelspread.jobs.agentreport import EndedRun, RunEnd, RunningTask
from dotterelspread.jobs.cell import AcknowledgeEnds, AgentLost, CellTick
from dotterelspread.jobs.handlers import reduce
from dotterelspread.jobs.job import Phase
from dotterelspread.jobs.spec import task_id_of
from dotterelspread.resources import Resources
from tests.builders_agent import HEARTBEAT, make_query, run_agent
from tests.builders_cell import make_cell, make_report, make_worker, submit
from tests.builders_fleet import kill_leader, make_job, make_step, run_scenario

TASKS = 64
CHECKPOINT = "c" * 140_000
SMALL_TASK = Resources(50, 50)
#: Time in which an agent is cut off, and longer than any lease.
CUT_S = 9.0
#: Time in which a job of 0.6 s is done on workers that are in use.
CALM_S = 2.0
JOB_ID = make_job(1).job_id


async def submit_wide_job(fleet, run_s):
    for worker in fleet.workers:
        worker.checkpoint = CHECKPOINT
    fleet.durations[JOB_ID] = run_s
    step = make_step(count=TASKS, demand=SMALL_TASK, is_checkpointing=True)
    await fleet.submit(make_job(1, (step,)))
    await fleet.settle(0.5)


async def expect_small_job_done(fleet):
    job = make_job(2)
    await fleet.submit(job)
    await fleet.settle(CALM_S)
    assert (await fleet.state(job.job_id)).state == "COMPLETED"


def leading_entry(fleet):
    """Return the number of the entry that leads."""
    leads = [entry.candidate.leader is not None for entry in fleet.entries]
    return leads.index(True)


def count_starts(fleet):
    return sum(len(worker.starts) for worker in fleet.workers)


def test_tasks_with_long_checkpoints_do_not_make_their_worker_unreachable():
    async def scenario(fleet):
        await submit_wide_job(fleet, run_s=8.0)
        await expect_small_job_done(fleet)
        await fleet.expect_completed(within_s=8)
        assert count_starts(fleet) == TASKS + 1

    run_scenario(scenario, agents=1)


@pytest.mark.parametrize("seed", range(3))
def test_a_worker_with_long_checkpoints_of_ended_runs_comes_back_into_use(seed):
    async def scenario(fleet):
        await submit_wide_job(fleet, run_s=30.0)
        agent = fleet.agents[0]
        fleet.network.partitioned.add(agent.address)
        await fleet.settle(CUT_S)
        assert len(agent.worker.ended) == TASKS
        fleet.network.partitioned.discard(agent.address)
        await fleet.settle(3)
        assert not agent.worker.ended
        await expect_small_job_done(fleet)
        fleet.durations[JOB_ID] = 0.6
        await fleet.expect_completed(within_s=40)
        assert set(agent.worker.resumed_by_task_id.values()) == {"", CHECKPOINT}

    run_scenario(scenario, seed, agents=1)


@pytest.mark.parametrize("is_leader_lost", [False, True])
@pytest.mark.parametrize("seed", range(3))
def test_tasks_whose_ends_are_left_to_later_reports_are_not_done_twice(
    seed, is_leader_lost
):
    async def scenario(fleet):
        (worker,), (agent,) = fleet.workers, fleet.agents
        worker.checkpoint = CHECKPOINT
        failing = make_job(1, (make_step(count=TASKS, demand=SMALL_TASK),))
        done = make_job(2, (make_step(count=4, demand=SMALL_TASK),))
        fleet.poison.add(failing.job_id)
        await asyncio.gather(fleet.submit(failing), fleet.submit(done))
        await fleet.settle(0.15)
        fleet.network.partitioned.add(agent.address)
        if is_leader_lost:
            kill_leader(fleet)
        await fleet.settle(1.5)
        assert [end.how for end in worker.ended[-4:]] == [RunEnd.COMPLETED] * 4
        fleet.network.partitioned.discard(agent.address)
        await fleet.settle(4)
        state = await fleet.state(done.job_id, entry=leading_entry(fleet))
        assert state.state == "COMPLETED"
        starts = [task_id.split(".")[0] for _, task_id in worker.starts]
        assert starts.count(done.job_id) == 4

    run_scenario(scenario, seed, agents=1)


def make_running_cell(count):
    """Return a cell with running tasks on worker 0, and their rows."""
    cell = make_cell(make_worker(0))
    submit(cell, make_step(count=count))
    rows = [
        RunningTask(task_id_of(JOB_ID, (0, 0, n)), 1, "", 10, 0) for n in range(count)
    ]
    for run in cell.workers_by_id["i-0"].runs_by_task.values():
        run.is_start_in_flight = False
    reduce(make_report(0, 1.0, *rows), cell)
    return cell, rows


def end_of(row, number, how=RunEnd.COMPLETED):
    return EndedRun(number, row.task_id, 1, how, "")


def apply_report(cell, now_s, *running, **changes):
    event = make_report(0, now_s, *running)
    event = replace(event, wall_ms=1, report=replace(event.report, **changes))
    return reduce(event, cell)


def phases(cell):
    tasks = cell.jobs_by_id[JOB_ID].tasks_by_key.values()
    return [(task.phase, task.run) for task in tasks]


def test_a_run_whose_end_is_left_to_a_later_report_is_not_started_again():
    cell, rows = make_running_cell(2)
    ended = (end_of(rows[0], 1),)
    effects = apply_report(cell, 2.0, ended=ended, has_more_ends=True)
    assert phases(cell) == [(Phase.COMPLETED, 1), (Phase.ASSIGNED, 1)]
    (acknowledgement,) = (e for e in effects if isinstance(e, AcknowledgeEnds))
    assert acknowledgement.number == 1
    apply_report(cell, 3.0, ended=(end_of(rows[1], 2),))
    assert phases(cell) == [(Phase.COMPLETED, 1)] * 2


def test_a_worker_that_left_is_kept_until_all_its_ends_are_known():
    cell, rows = make_running_cell(2)
    left = {"has_left": True, "is_gone": True, "is_reachable": False}
    ended = (end_of(rows[0], 1),)
    apply_report(cell, 2.0, ended=ended, has_more_ends=True, **left)
    assert phases(cell) == [(Phase.COMPLETED, 1), (Phase.ASSIGNED, 1)]
    apply_report(cell, 3.0, ended=(end_of(rows[1], 2),), **left)
    assert phases(cell) == [(Phase.COMPLETED, 1)] * 2
    assert not cell.workers_by_id


@pytest.mark.parametrize("is_restarted", [False, True])
def test_a_shutdown_whose_ends_are_left_to_later_reports_is_no_crash(is_restarted):
    cell, rows = make_running_cell(2)
    left = {"has_left": True, "is_gone": True, "is_reachable": False}
    ended = (end_of(rows[0], 1, RunEnd.STOPPED),)
    apply_report(cell, 2.0, ended=ended, has_more_ends=True, **left)
    if is_restarted:
        apply_report(cell, 2.1, born_ms=2)
    else:
        reduce(CellTick(60.0, 60_000), cell)
    tasks = cell.jobs_by_id[JOB_ID].tasks_by_key.values()
    assert [task.crashes for task in tasks] == [0, 0]


def test_ends_left_to_later_reports_outlast_the_leases_of_a_worker_that_left():
    # No report is acknowledged while the store does not answer.
    cell, rows = make_running_cell(2)
    left = {"has_left": True, "is_gone": True, "is_reachable": False}
    first, last = end_of(rows[0], 1), end_of(rows[1], 2)
    apply_report(cell, 2.0, ended=(first,), has_more_ends=True, **left)
    reduce(CellTick(60.0, 60_000), cell)
    apply_report(cell, 60.1, ended=(last,), **left)
    assert phases(cell) == [(Phase.COMPLETED, 1)] * 2
    assert not cell.workers_by_id


def test_a_worker_that_left_is_given_up_with_its_agent():
    cell, rows = make_running_cell(2)
    left = {"has_left": True, "is_gone": True, "is_reachable": False}
    apply_report(cell, 2.0, ended=(end_of(rows[0], 1),), has_more_ends=True, **left)
    reduce(AgentLost(3.2, "agent0:1"), cell)
    reduce(CellTick(60.0, 60_000), cell)
    assert phases(cell) == [(Phase.COMPLETED, 1), (Phase.PENDING, 1)]
    assert not cell.workers_by_id


def test_a_report_without_a_checkpoint_keeps_the_known_one():
    cell, (row,) = make_running_cell(1)
    apply_report(cell, 2.0, replace(row, checkpoint=CHECKPOINT))
    apply_report(cell, 3.0, row)
    (task,) = cell.jobs_by_id[JOB_ID].tasks_by_key.values()
    assert task.checkpoint == CHECKPOINT


def test_the_next_ends_follow_at_once_when_the_listed_ones_are_acknowledged():
    async def scenario(agent, worker):
        worker.ended = tuple(
            EndedRun(n, f"task {n}", 1, RunEnd.STOPPED, CHECKPOINT)
            for n in range(1, TASKS + 1)
        )
        agent.announce(HEARTBEAT)
        await asyncio.sleep(1.0)
        query = make_query(session=None, born_ms=agent.born_ms)
        query.accepts_partial_ends = True
        reply = await agent.watch(query)
        assert reply.has_more_ends
        while reply.has_more_ends:
            query.version, query.wait_ms = reply.version, 700
            query.seen = reply.ended[-1].number
            async with asyncio.timeout(0.1):
                reply = await agent.watch(query)
            assert reply.ended[0].number == query.seen + 1
        assert reply.ended[-1].number == TASKS

    run_agent(scenario)
