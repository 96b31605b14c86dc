"""Guarantees of the fleet on virtual time, under faults of the platform."""

import asyncio

import pytest

from dotterelspread.gen.peer.ttypes import WorkResult
from dotterelspread.jobs.forwarding import Verb
from dotterelspread.jobs.placement.placing import MAX_STARTS_PER_PASS
from dotterelspread.resources import Resources
from tests.builders_fleet import (
    make_job,
    make_step,
    run_scenario,
)

TWO_STEPS = (make_step(count=3), make_step(count=2, depends_on=(0,)))


def test_a_job_runs_step_by_step_to_its_end():
    async def scenario(fleet):
        reply = await fleet.submit(make_job(1, TWO_STEPS))
        assert reply.result == WorkResult.DONE
        await fleet.expect_completed(5)
        assert fleet.checker.runs == 5

    run_scenario(scenario)


def test_resubmission_through_another_entry_is_idempotent():
    async def scenario(fleet):
        job = make_job(1, TWO_STEPS)
        replies = await asyncio.gather(fleet.submit(job, 0), fleet.submit(job, 1))
        assert [reply.result for reply in replies] == [WorkResult.DONE] * 2
        await fleet.expect_completed(5)
        assert fleet.checker.runs == 5

    run_scenario(scenario)


def test_an_unknown_job_is_denied_by_the_leader_only():
    async def scenario(fleet):
        assert (await fleet.state("0" * 16, 0)).result == WorkResult.NOT_FOUND
        assert (await fleet.state("0" * 16, 1)).result == WorkResult.NOT_FOUND
        fleet.store.mode_by_node["*"] = "silent"
        await fleet.settle(4)
        assert (await fleet.state("0" * 16, 0)).result == WorkResult.REFUSED

    run_scenario(scenario)


def test_all_entries_killed_at_once_lose_nothing_that_was_accepted():
    async def scenario(fleet):
        fleet.durations[f"{0:016x}"] = 5.0
        for number in range(4):
            await fleet.submit(make_job(number, TWO_STEPS))
        for entry in fleet.entries:
            entry.kill()
        await fleet.settle(1)
        for entry in fleet.entries:
            entry.start()
        await fleet.expect_completed(30)
        assert fleet.checker.runs == 20

    run_scenario(scenario)


def test_runs_survive_a_killed_agent():
    async def scenario(fleet):
        fleet.durations[f"{1:016x}"] = 4.0
        await fleet.submit(make_job(1, (make_step(count=9),)))
        for agent in fleet.agents:
            agent.kill()
        await fleet.settle(1)
        for agent in fleet.agents:
            agent.start()
        await fleet.expect_completed()
        assert fleet.checker.runs == 9

    run_scenario(scenario)


def test_runs_of_a_crashed_worker_are_rescheduled():
    async def scenario(fleet):
        fleet.durations[f"{1:016x}"] = 3.0
        await fleet.submit(make_job(1, (make_step(count=9),)))
        await fleet.settle(1)
        fleet.workers[0].crash()
        await fleet.expect_completed(20)

    run_scenario(scenario)


def test_a_worker_that_left_while_its_agent_restarted_is_not_used():
    async def scenario(fleet):
        fleet.durations[f"{1:016x}"] = 3.0
        await fleet.submit(make_job(1, (make_step(count=9),)))
        await fleet.settle(1)
        # The new agent process never hears of the worker.
        fleet.agents[0].kill()
        fleet.workers[0].crash()
        await fleet.settle(0.3)
        fleet.agents[0].start()
        await fleet.settle(2)
        await fleet.submit(make_job(2, (make_step(count=3),)))
        await fleet.settle(2)
        assert (await fleet.state(f"{2:016x}")).state == "COMPLETED"
        await fleet.expect_completed(12)

    run_scenario(scenario)


def test_runs_of_a_restarted_worker_are_rescheduled():
    async def scenario(fleet):
        fleet.durations[f"{1:016x}"] = 3.0
        await fleet.submit(make_job(1, (make_step(count=9),)))
        await fleet.settle(1)
        fleet.workers[0].crash()
        fleet.workers[0].begin_incarnation()
        await fleet.expect_completed(9)

    run_scenario(scenario)


def test_runs_of_a_partitioned_agent_are_never_duplicated():
    async def scenario(fleet):
        fleet.durations[f"{1:016x}"] = 4.0
        await fleet.submit(make_job(1, (make_step(count=9),)))
        await fleet.settle(1)
        fleet.network.partitioned.add(fleet.agents[0].address)
        await fleet.settle(9)
        fleet.network.partitioned.clear()
        await fleet.expect_completed(20)

    run_scenario(scenario)


def test_a_failing_job_ends_as_failed_after_its_attempts():
    async def scenario(fleet):
        job = make_job(1, (make_step(count=1),))
        fleet.poison.add(job.job_id)
        await fleet.submit(job)
        await fleet.settle(6)
        assert (await fleet.state(job.job_id)).state == "FAILED"
        assert fleet.checker.runs == 3

    run_scenario(scenario)


def test_a_cancelled_job_stops_and_stays_cancelled_after_failover():
    async def scenario(fleet):
        job = make_job(1, TWO_STEPS)
        fleet.durations[job.job_id] = 30.0
        await fleet.submit(job)
        await fleet.settle(1)
        reply = await fleet.ask(Verb.CANCEL, job.job_id)
        assert reply.result == WorkResult.DONE
        await fleet.settle(1.5)
        assert not any(worker.running for worker in fleet.workers)
        assert (await fleet.state(job.job_id)).state == "CANCELLED"
        for entry in fleet.entries:
            entry.kill()
            entry.start()
        await fleet.settle(5)
        assert (await fleet.state(job.job_id)).state == "CANCELLED"

    run_scenario(scenario)


def test_a_service_task_is_restarted_however_it_ends():
    async def scenario(fleet):
        job = make_job(1, (make_step(count=2, is_service=True),))
        fleet.durations[job.job_id] = 1.0
        await fleet.submit(job)
        await fleet.settle(6)
        assert (await fleet.state(job.job_id)).state == "RUNNING"
        assert fleet.checker.runs > 4

    run_scenario(scenario)


def test_gang_members_start_under_one_run():
    async def scenario(fleet):
        step = make_step(count=4, is_gang=True)
        await fleet.submit(make_job(1, (step,)))
        await fleet.expect_completed(5)
        assert fleet.checker.runs == 4

    run_scenario(scenario)


def test_repeated_occurrences_start_when_they_are_due(monkeypatch):
    from dotterelspread.jobs import clock

    async def scenario(fleet):
        start_s = clock.now_s()
        monkeypatch.setattr(
            clock, "wall_ms", lambda: int((clock.now_s() - start_s) * 1000)
        )
        spec = make_job(1, first_ms=1000, interval_ms=2000, repeat_count=3)
        await fleet.submit(spec)
        runs = []
        for _ in range(4):
            runs.append(fleet.checker.runs)
            await fleet.settle(2)
        assert runs == [0, 1, 2, 3]
        await fleet.expect_completed(3)

    run_scenario(scenario)


def test_a_start_after_a_long_store_outage_is_not_repeated_elsewhere():
    async def scenario(fleet):
        steps = (make_step(), make_step(count=2, depends_on=(0,)))
        fleet.durations[f"{1:016x}"] = 3.0
        await fleet.submit(make_job(1, steps))
        await fleet.settle(0.5)
        # The first task ends and the leader may not grant leases any more.
        fleet.store.mode_by_node["*"] = "busy"
        await fleet.settle(14)
        fleet.store.mode_by_node.clear()
        while not any(worker.running for worker in fleet.workers):
            await fleet.settle(0.01)
        # The order to start has extended the lease; its agent is not heard again.
        (number, *_) = [n for n, w in enumerate(fleet.workers) if w.running]
        fleet.network.partitioned.add(fleet.agents[number].address)
        await fleet.settle(4)
        fleet.network.partitioned.clear()
        await fleet.expect_completed(30)

    run_scenario(scenario)


def test_a_submission_is_refused_at_once_while_the_store_is_silent():
    async def scenario(fleet):
        fleet.store.mode_by_node["*"] = "silent"
        first = await fleet.submit(make_job(1), deadline_ms=1500)
        assert first.result == WorkResult.UNKNOWN
        later = await fleet.submit(make_job(2), deadline_ms=3000)
        assert later.result == WorkResult.REFUSED
        fleet.store.mode_by_node.clear()
        await fleet.settle(6)
        assert (await fleet.state(f"{2:016x}")).result == WorkResult.NOT_FOUND

    run_scenario(scenario)


def test_a_submission_without_a_leader_is_refused_with_retry_after():
    async def scenario(fleet):
        for entry in fleet.entries:
            entry.kill()
        await fleet.settle(4)
        reply = await fleet.submit(make_job(1))
        assert reply.result == WorkResult.REFUSED
        assert reply.retry_after_ms > 0

    run_scenario(scenario)


def test_a_successor_knows_the_worker_that_another_one_replaced():
    async def scenario(fleet):
        fleet.durations[f"{1:016x}"] = 2.0
        await fleet.submit(make_job(1, (make_step(count=9),)))
        await fleet.settle(1)
        processes = (*fleet.entries, *fleet.agents)
        for process in processes:
            process.kill()
        for worker in fleet.workers:
            worker.crash()
        for number, worker in enumerate(fleet.workers):
            worker.worker_id = f"i-new-{number}"
            worker.begin_incarnation()
        for process in processes:
            process.start()
        await fleet.expect_completed(8)

    run_scenario(scenario)


def test_runs_of_a_worker_that_left_go_elsewhere_at_once():
    async def scenario(fleet):
        fleet.durations[f"{1:016x}"] = 1.5
        await fleet.submit(make_job(1, (make_step(count=9),)))
        await fleet.settle(0.5)
        worker, agent = fleet.workers[0], fleet.agents[0].agent
        worker.is_draining = True
        agent.announce(worker.announcement())
        agent.leave(worker.worker_id)
        worker.crash()
        await fleet.expect_completed(4)

    run_scenario(scenario)


@pytest.mark.parametrize("slowness", [float("inf"), 12.0])
def test_runs_on_a_stalled_or_slow_worker_are_moved(slowness):
    async def scenario(fleet):
        fleet.workers[0].slowness = slowness
        fleet.durations[f"{1:016x}"] = 1.5
        await fleet.submit(make_job(1, (make_step(count=9),)))
        await fleet.expect_completed(9)

    run_scenario(scenario)


def test_uniformly_slow_tasks_are_not_treated_as_stragglers():
    async def scenario(fleet):
        for worker in fleet.workers:
            worker.slowness = 6.0
        await fleet.submit(make_job(1, (make_step(count=9),)))
        await fleet.expect_completed(8)
        assert fleet.checker.runs == 9

    run_scenario(scenario)


def test_a_step_of_more_tasks_than_a_pass_starts_completes():
    # Guards against a pass that ends early and is not followed by another one.
    async def scenario(fleet):
        count = 2 * MAX_STARTS_PER_PASS + 10
        step = make_step(count=count, demand=Resources(10, 1))
        await fleet.submit(make_job(1, (step,)))
        await fleet.expect_completed(8)
        assert fleet.checker.runs == count

    run_scenario(scenario)
