"""No record that the store does not take stops the work of others."""

import pytest

from dotterelspread.jobs.forwarding import Verb
from dotterelspread.jobs.paircost import MAX_PAIRS, CostEstimate
from dotterelspread.resources import Resources
from tests.builders_fleet import kill_leader, make_job, make_step, run_scenario
from tests.builders_store import MAX_RECORD_BYTES

#: Width of the largest step, and half and all of the length that a program may have.
WIDE_COUNT = 160
STOP_CHECKPOINT = "c" * 2000
LONG_CHECKPOINT = "é" * 2000
OVERSIZED_CHECKPOINT = "c" * MAX_RECORD_BYTES
SMALL_TASK = Resources(50, 50)
#: Time in which a job of 0.6 s is done unless the leader changes.
CALM_S = 2.0
WIDE_ID = make_job(1).job_id


async def submit_wide_job(fleet, checkpoint, count=WIDE_COUNT):
    """Run a job that lasts until the end of the scenario."""
    for worker in fleet.workers:
        worker.checkpoint = checkpoint
    fleet.durations[WIDE_ID] = 30.0
    step = make_step(count=count, demand=SMALL_TASK, is_checkpointing=True)
    assert (await fleet.submit(make_job(1, (step,)))).result == 1
    await fleet.settle(0.5)
    assert sum(len(worker.running) for worker in fleet.workers) == count


def leader_epoch(fleet):
    leaders = [e.candidate.leader for e in fleet.entries if e.candidate.leader]
    assert leaders, "no entry leads"
    return leaders[0].epoch


async def expect_calm_work(fleet, epoch):
    """Expect that another job is done under the same leader."""
    job = make_job(2, (make_step(count=3),))
    await fleet.submit(job)
    await fleet.settle(CALM_S)
    assert (await fleet.state(job.job_id)).state == "COMPLETED"
    assert leader_epoch(fleet) == epoch


@pytest.mark.parametrize("checkpoint", [STOP_CHECKPOINT, OVERSIZED_CHECKPOINT])
def test_the_cancelling_of_a_wide_job_does_not_stop_the_fleet(checkpoint):
    async def scenario(fleet):
        count = 3 if checkpoint is OVERSIZED_CHECKPOINT else WIDE_COUNT
        await submit_wide_job(fleet, checkpoint, count)
        epoch = leader_epoch(fleet)
        assert (await fleet.ask(Verb.CANCEL, WIDE_ID)).result == 1
        await fleet.settle(0.5)
        await expect_calm_work(fleet, epoch)
        assert not any(worker.running for worker in fleet.workers)

    run_scenario(scenario)


@pytest.mark.parametrize("checkpoint", ["c", LONG_CHECKPOINT])
def test_tasks_resume_from_long_checkpoints_after_a_failover(checkpoint):
    async def scenario(fleet):
        await submit_wide_job(fleet, checkpoint)
        epoch = leader_epoch(fleet)
        # An end of another task of the job causes a record of its progress.
        fleet.durations[WIDE_ID] = 0.6
        fleet.workers[0].crash()
        await fleet.settle(0.2)
        fleet.workers[0].begin_incarnation()
        await fleet.settle(3)
        assert leader_epoch(fleet) == epoch
        for worker in fleet.workers:
            worker.crash()
            worker.checkpoint = ""
        done_count = len(fleet.checker.done)
        assert done_count < WIDE_COUNT
        kill_leader(fleet)
        await fleet.settle(1)
        for worker in fleet.workers:
            worker.resumed_by_task_id.clear()
            worker.begin_incarnation()
        await fleet.settle(20)
        resumed = [c for w in fleet.workers for c in w.resumed_by_task_id.values()]
        assert len(resumed) == WIDE_COUNT - done_count
        assert set(resumed) == {checkpoint}

    run_scenario(scenario)


def test_a_checkpoint_that_fits_in_no_record_does_not_stop_the_fleet():
    async def scenario(fleet):
        await submit_wide_job(fleet, OVERSIZED_CHECKPOINT, count=3)
        epoch = leader_epoch(fleet)
        fleet.workers[0].crash()
        await fleet.settle(0.2)
        fleet.workers[0].begin_incarnation()
        await fleet.settle(3)
        await expect_calm_work(fleet, epoch)

    run_scenario(scenario)


def test_a_job_whose_specification_fits_in_no_record_is_refused():
    async def scenario(fleet):
        epoch = leader_epoch(fleet)
        reply = await fleet.submit(make_job(1, (make_step(),) * 20_000))
        assert reply.reason.startswith("specification: ")
        await expect_calm_work(fleet, epoch)

    run_scenario(scenario)


def test_pair_costs_of_long_images_do_not_stop_the_fleet():
    async def scenario(fleet):
        epoch = leader_epoch(fleet)
        leader = next(e.candidate.leader for e in fleet.entries if e.candidate.leader)
        for number in range(MAX_PAIRS):
            pair = ("serving" * 30, f"filler {number} " * 20)
            leader.cell.costs.by_pair[pair] = CostEstimate()
        await fleet.settle(3)
        await expect_calm_work(fleet, epoch)

    run_scenario(scenario)
