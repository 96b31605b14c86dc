"""Tests of queues whose policy allows only some workers to run a step."""

import asyncio
import json
from dataclasses import replace

import msgspec
import pytest

from dotterelspread.h1server import H1Response, listen_h1
from dotterelspread.jobs.permits import Permits, PermitServiceError
from dotterelspread.jobs.queues import FleetConfiguration, PermitTiming
from dotterelspread.platform.configuration import read_configuration
from dotterelspread.platform.policy import PlatformPermits
from standins.site import free_port
from tests.builders_cell import make_worker
from tests.builders_fleet import QUEUE, make_job, make_step, run_scenario
from tests.builders_platform import CONFIGURATION

TWO_STEPS = (make_step(count=6), make_step(count=5, depends_on=(0,)))


def play_with_policy(scenario, timing=None, **sizes):
    async def configured(fleet):
        fleet.policy.timing = timing or fleet.policy.timing
        queue = msgspec.structs.replace(
            QUEUE, needs_permits=True, permit_timing=fleet.policy.timing
        )
        fleet.configuration = FleetConfiguration(2, {"q": queue})
        leader = next(e.candidate.leader for e in fleet.entries if e.candidate.leader)
        leader.configure(fleet.configuration)
        await scenario(fleet)

    run_scenario(configured, **sizes)


def workers_by_step(fleet, job_id):
    by_step = {}
    for number, incarnation in fleet.checker.ends_by_incarnation:
        for task_id, _ in fleet.checker.ends_by_incarnation[number, incarnation]:
            if task_id.startswith(job_id):
                by_step.setdefault(task_id.split(".")[2], set()).add(number)
    return by_step


def test_a_step_runs_only_on_permitted_workers():
    async def scenario(fleet):
        job = make_job(1, TWO_STEPS)
        await fleet.submit(job)
        await fleet.expect_completed(6)
        assert workers_by_step(fleet, job.job_id) == {"0": {0, 2}, "1": {1, 3}}
        assert fleet.policy.refused_starts == 0
        # One query per step: the permitted workers run all of its tasks.
        assert fleet.policy.request_count == 2

    play_with_policy(scenario, agents=4)


def test_expired_permits_are_renewed_before_a_start():
    async def scenario(fleet):
        job = make_job(1, (make_step(count=40),))
        fleet.durations[job.job_id] = 1.0
        await fleet.submit(job)
        await fleet.expect_completed(12)
        assert fleet.policy.refused_starts == 0
        assert 2 <= fleet.policy.request_count <= 8

    play_with_policy(scenario, agents=4)


def test_queries_are_retried_while_the_policy_service_is_silent():
    async def scenario(fleet):
        fleet.policy.is_unresponsive = True
        job = make_job(1, TWO_STEPS)
        await fleet.submit(job)
        await fleet.settle(2)
        assert fleet.checker.runs == 0
        assert fleet.policy.request_count <= 7
        fleet.policy.is_unresponsive = False
        await fleet.expect_completed(6)

    play_with_policy(scenario, agents=4)


def test_a_new_leader_queries_permits_again_and_runs_nothing_twice():
    async def scenario(fleet):
        job = make_job(1, TWO_STEPS)
        fleet.durations[job.job_id] = 1.5
        await fleet.submit(job)
        await fleet.settle(0.5)
        leader = next(e for e in fleet.entries if e.candidate.leader)
        leader.kill()
        await fleet.settle(3)
        leader.start()
        await fleet.expect_completed(10)
        assert fleet.checker.runs == 11

    play_with_policy(scenario, agents=4)


def test_many_jobs_complete_under_a_policy():
    async def scenario(fleet):
        for number in range(8):
            await fleet.submit(make_job(number, TWO_STEPS))
        await fleet.expect_completed(20)
        assert fleet.policy.refused_starts == 0

    play_with_policy(scenario, agents=6)


SLOW_TIMINGS = {
    "all workers take longer than a permit is valid": PermitTiming(100, 100, 3000),
    "any answer takes longer than a permit is valid": PermitTiming(2000, 10, 1500),
    "a worker takes longer than a permit is valid": PermitTiming(0, 900, 800),
    "permits are valid for less than their margin": PermitTiming(40, 2, 300),
}


@pytest.mark.parametrize("name", SLOW_TIMINGS)
@pytest.mark.parametrize("is_gang", [False, True])
def test_jobs_start_although_the_policy_service_is_slow(name, is_gang):
    async def scenario(fleet):
        fleet.policy.permits_all = True
        await fleet.submit(make_job(1, (make_step(count=3, is_gang=is_gang),)))
        await fleet.expect_completed(30)

    play_with_policy(scenario, timing=SLOW_TIMINGS[name], agents=30)


def test_the_first_task_does_not_wait_for_the_permits_of_all_workers():
    async def scenario(fleet):
        await fleet.submit(make_job(1, (make_step(count=3),)))
        await fleet.settle(1.5)
        assert fleet.checker.runs == 3
        assert max(fleet.policy.query_sizes) <= 5
        await fleet.expect_completed(5)
        assert fleet.policy.refused_starts == 0

    play_with_policy(scenario, timing=PermitTiming(100, 100, 3000), agents=30)


def test_a_query_that_is_answered_at_once_names_many_workers():
    async def scenario(fleet):
        await fleet.submit(make_job(1, (make_step(count=3),)))
        await fleet.expect_completed(5)
        assert fleet.policy.query_sizes == [30]

    play_with_policy(scenario, agents=30)


def test_a_gang_on_separate_workers_gets_its_permits_at_the_same_time():
    async def scenario(fleet):
        step = make_step(count=12, is_gang=True, max_per_worker=1)
        await fleet.submit(make_job(1, (step,)))
        await fleet.expect_completed(30)

    play_with_policy(scenario, timing=PermitTiming(100, 100, 3000), agents=30)


def test_the_configuration_sets_the_policy_of_a_queue():
    route = CONFIGURATION["Routes"][0]
    policy = {"DecideMs": 40, "PeriodMs": 2, "ValidMs": 3000}
    routes = [route | {"Advice": policy}, route | {"Name": "other"}]
    document = json.dumps(CONFIGURATION | {"Routes": routes}).encode()
    queues = read_configuration(document).queues_by_name
    assert queues[route["Name"]].needs_permits
    assert queues[route["Name"]].permit_timing == PermitTiming(40, 2, 3000)
    assert not queues["other"].needs_permits


def test_the_policy_service_over_http():
    address = f"127.0.0.1:{free_port()}"
    replies = [
        H1Response(200, b'{"Allowed":[["i-1","c81e-7a"]],"ValidMs":3000}'),
        H1Response(429),
        H1Response(200, b'{"Allowed":7}'),
    ]
    asked = []

    async def answer(request):
        asked.append((request.path, json.loads(request.body)))
        return replies.pop(0)

    async def scenario():
        async with listen_h1(address, answer):
            permits = PlatformPermits(address)
            step = "5c0e7a21d94b36f8.0.1"
            allowed = await permits.ask(step, ["i-1", "i-2"], 0.1)
            assert allowed == ({"i-1": "c81e-7a"}, 3000)
            for _ in range(2):
                with pytest.raises(PermitServiceError):
                    await permits.ask(step, ["i-1"], 0.1)
            permits.close()
            body = {"Step": step, "Workers": ["i-1", "i-2"]}
            assert asked[0] == ("/api/advise", body)

    asyncio.run(scenario())


def test_a_later_incarnation_of_a_refused_worker_is_not_refused_unasked():
    permits = Permits(refused={("i-0", 1)})
    worker = make_worker(0)
    assert permits.is_refused(worker)
    assert not permits.is_refused(replace(worker, born_ms=2))


def test_without_a_policy_service_nothing_is_permitted():
    with pytest.raises(PermitServiceError):
        asyncio.run(PlatformPermits("").ask("s", ["i-1"], 0.1))
