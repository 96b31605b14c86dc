"""Invalid heartbeats and deregistrations leave a fleet's work complete and run once."""

import asyncio
from dataclasses import replace

import pytest

from dotterelspread.resources import Resources
from tests.builders_fleet import make_job, make_step, run_scenario

INVALID_INTERVAL_S = 0.35
INVALID_CHANGES = (
    {"worker_id": "i-stranger", "service": "other", "born_ms": 2**50},
    {"sequence": 2**53},
    {"born_ms": 2**53},
    {"sequence": 2**52, "is_draining": True},
    {"service": "other", "capacity": Resources()},
    {"born_ms": 0, "labels": frozenset()},
    {"born_ms": 1, "sequence": 2**51},
)


async def send_invalid(agent, worker):
    """Send invalid heartbeats and deregistrations in turn, next to the true ones."""
    number = 0
    while True:
        await asyncio.sleep(INVALID_INTERVAL_S)
        announcement = worker.announcement()
        worker.sequence -= 1
        changes = {"is_draining": False} | INVALID_CHANGES[
            number % len(INVALID_CHANGES)
        ]
        agent.announce(replace(announcement, **changes))
        agent.leave(worker.worker_id, (0, 1, 2**53)[number % 3])
        number += 1


def start_invalid(fleet):
    return [
        asyncio.ensure_future(send_invalid(process.agent, process.worker))
        for process in fleet.agents
    ]


async def submit_all(fleet, first, jobs=8):
    for number in range(first, first + jobs):
        await fleet.submit(make_job(number, (make_step(count=3),)))


@pytest.mark.parametrize("seed", range(5))
def test_invalid_heartbeats_cause_no_run_beyond_one_per_task(seed):
    async def scenario(fleet):
        senders = start_invalid(fleet)
        await submit_all(fleet, 0)
        await fleet.expect_completed()
        for sender in senders:
            sender.cancel()
        assert fleet.checker.runs == 8 * 3

    run_scenario(scenario, seed)


@pytest.mark.parametrize("seed", range(5))
def test_workers_that_restart_amid_invalid_heartbeats_lose_no_work(seed):
    async def scenario(fleet):
        senders = start_invalid(fleet)
        await submit_all(fleet, 0)
        for worker in fleet.workers:
            worker.crash()
            await fleet.settle(0.6)
            worker.begin_incarnation()
            await submit_all(fleet, 100 * (1 + worker.number), 3)
            await fleet.settle(1.0)
        await fleet.expect_completed(40)
        leader = next(e.candidate.leader for e in fleet.entries if e.candidate.leader)
        known = leader.cell.workers_by_id
        assert {known[w.worker_id].born_ms for w in fleet.workers} == {
            w.born_ms for w in fleet.workers
        }
        for sender in senders:
            sender.cancel()

    run_scenario(scenario, seed)


@pytest.mark.parametrize("seed", range(5))
def test_draining_is_noticed_amid_invalid_heartbeats(seed):
    async def scenario(fleet):
        senders = start_invalid(fleet)
        await fleet.settle(4)
        fleet.workers[0].is_draining = True
        await fleet.settle(2)
        leader = next(e.candidate.leader for e in fleet.entries if e.candidate.leader)
        known = leader.cell.workers_by_id
        assert [known[w.worker_id].is_draining for w in fleet.workers] == [1, 0, 0]
        for sender in senders:
            sender.cancel()

    run_scenario(scenario, seed)
