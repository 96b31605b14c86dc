"""Cold workers, which stay slow after a start, get what no warm worker has room for."""

import asyncio
import json
from dataclasses import replace

import pytest

from dotterelspread.jobs.cell import CellTick, Evacuated, StartRun
from dotterelspread.jobs.evacuation import ASSUMED_COLD_S, RESTORE_DELAY_S
from dotterelspread.jobs.handlers import reduce
from dotterelspread.jobs.watchreply import build_watch_reply
from dotterelspread.jobs.watchreport import read_report
from dotterelspread.platform.heartbeats import HeartbeatError, read_heartbeat
from dotterelspread.resources import Resources
from tests.builders_agent import HEARTBEAT, run_agent
from tests.builders_cell import make_cell, make_report, make_worker, submit, workers_of
from tests.builders_evacuation import (
    NORTH,
    SOUTH,
    evacuate,
    keep_submitting,
    restore,
    run_evacuation,
    starts_after,
    workers_in,
)
from tests.builders_fleet import make_step
from tests.builders_platform import HEARTBEAT as PLATFORM_HEARTBEAT

COLD_S = 30.0
KINDS = {
    "batch": {},
    "serving": {"is_service": True, "target_ms": 20, "image": "s"},
    "filler": {"is_filler": True, "demand": Resources(1000, 10)},
}


def make_cold(number, **changes):
    return make_worker(number, cold_until_s=COLD_S, **changes)


@pytest.mark.parametrize("kind", KINDS)
def test_a_cold_worker_gets_no_tasks_while_a_warm_one_has_room(kind):
    # The number of the cold worker is the higher one, which wins between equals.
    cell = make_cell(make_worker(0), make_cold(1))
    assert set(workers_of(submit(cell, make_step(count=7, **KINDS[kind])))) == {"i-0"}


def test_serving_tasks_are_not_packed_onto_a_cold_worker():
    cell = make_cell(make_worker(0), make_cold(1, serving_count=3))
    assert workers_of(submit(cell, make_step(**KINDS["serving"]))) == ["i-0"]


@pytest.mark.parametrize("kind", ["batch", "serving"])
def test_a_cold_worker_gets_what_no_warm_one_has_room_for(kind):
    cell = make_cell(make_worker(0), make_cold(1))
    starts = workers_of(submit(cell, make_step(count=12, **KINDS[kind])))
    assert (starts.count("i-0"), starts.count("i-1")) == (8, 4)


@pytest.mark.parametrize("kind", KINDS)
def test_a_fleet_that_is_cold_as_a_whole_is_used_like_a_warm_one(kind):
    steps = (make_step(count=8, **KINDS[kind]), make_step(count=4, is_gang=True))
    cold = make_cell(*(make_cold(number) for number in range(4)))
    warm = make_cell(*(make_worker(number) for number in range(4)))
    starts = workers_of(submit(cold, *steps))
    assert starts
    assert starts == workers_of(submit(warm, *steps))


def test_a_gang_uses_warm_workers_before_it_stays_in_a_cold_rack():
    cold = [make_cold(number, rack="rack0") for number in (0, 1)]
    warm = [make_worker(number, rack=f"rack{number}") for number in (2, 3)]
    cell = make_cell(*cold, *warm)
    step = make_step(count=2, is_gang=True, same_rack=True, demand=Resources(6000, 10))
    assert sorted(workers_of(submit(cell, step))) == ["i-2", "i-3"]


def test_a_gang_takes_cold_workers_if_warm_ones_do_not_suffice():
    cell = make_cell(make_worker(0), make_cold(1), make_cold(2))
    step = make_step(count=2, is_gang=True, demand=Resources(6000, 10))
    workers = workers_of(submit(cell, step))
    assert len(workers) == 2
    assert "i-0" in workers


def test_a_worker_is_warm_once_the_time_is_over():
    cell = make_cell(make_worker(0), make_cold(1))
    reduce(CellTick(COLD_S, 0), cell)
    assert not cell.workers_by_id["i-1"].is_cold(COLD_S)


def test_reports_state_whether_a_worker_is_cold():
    cell = make_cell(make_worker(0))
    event = make_report(0, 10.0)
    cold = replace(event, report=replace(event.report, cold_ms=5000))
    reduce(cold, cell)
    worker = cell.workers_by_id["i-0"]
    assert worker.is_cold(14.9)
    assert not worker.is_cold(15.1)
    reduce(make_report(0, 11.0), cell)
    assert not worker.is_cold(11.0)


def test_workers_of_a_restored_data_centre_count_as_cold_until_they_are_heard():
    cell = make_cell(make_worker(0), make_worker(1, data_centre=SOUTH))
    reduce(Evacuated(0.0, frozenset({SOUTH})), cell)
    reduce(Evacuated(1.0, frozenset()), cell)
    event = make_report(1, 1.1)
    reduce(replace(event, report=replace(event.report, data_centre=SOUTH)), cell)
    assert cell.workers_by_id["i-1"].is_cold(1.0 + ASSUMED_COLD_S - 0.1)
    # They still get what does not fit elsewhere.
    submit(cell, make_step(count=9))
    effects = reduce(CellTick(1.0 + RESTORE_DELAY_S, 0), cell)
    starts = [effect for effect in effects if isinstance(effect, StartRun)]
    assert workers_of(starts) == ["i-1"]
    assert not cell.workers_by_id["i-1"].is_cold(1.0 + ASSUMED_COLD_S)


def cold_ms_reported(agent):
    reply = build_watch_reply(agent)
    return read_report("agent:1", reply).cold_ms


def test_the_agent_reports_the_time_that_remains():
    async def scenario(agent, worker):
        agent.announce(replace(HEARTBEAT, cold_ms=6000))
        await asyncio.sleep(1)
        assert 4900 < cold_ms_reported(agent) <= 5000
        version = agent.version
        agent.announce(replace(HEARTBEAT, sequence=2, cold_ms=4900))
        # A change of the time alone must not end the leader's poll at each heartbeat.
        assert agent.version == version
        assert 4800 < cold_ms_reported(agent) <= 4900
        agent.announce(replace(HEARTBEAT, sequence=3, cold_ms=0))
        assert agent.version > version
        assert cold_ms_reported(agent) == 0
        agent.announce(replace(HEARTBEAT, sequence=4, cold_ms=500))
        await asyncio.sleep(1)
        assert cold_ms_reported(agent) == 0

    run_agent(scenario)


@pytest.mark.parametrize("value", [-1, 2**31, "soon", None, [1]])
def test_a_heartbeat_with_an_invalid_remaining_time_is_refused(value):
    body = json.dumps(PLATFORM_HEARTBEAT | {"ColdRemainingMs": value}).encode()
    with pytest.raises(HeartbeatError, match="ColdRemainingMs"):
        read_heartbeat("i-1", body)


@pytest.mark.parametrize(("value", "expected"), [(0, 0), (4200, 4200), (..., 0)])
def test_a_heartbeat_states_for_how_long_the_worker_is_cold(value, expected):
    document = PLATFORM_HEARTBEAT | {"ColdRemainingMs": value}
    if value is ...:
        del document["ColdRemainingMs"]
    announcement = read_heartbeat("i-1", json.dumps(document).encode())
    assert announcement.cold_ms == expected


def test_work_returns_to_a_cold_data_centre_only_when_the_other_one_is_full():
    async def scenario(fleet):
        evacuate(fleet, SOUTH)
        await fleet.settle(3)
        for worker in workers_in(fleet, SOUTH):
            worker.cold_ms = 20_000
        end_s = restore(fleet, SOUTH)
        number = await keep_submitting(fleet, 6, count=1)
        assert starts_after(fleet, SOUTH, end_s) == []
        assert starts_after(fleet, NORTH, end_s)
        # More than the warm workers have room for.
        await keep_submitting(fleet, 3, number, count=14)
        assert starts_after(fleet, SOUTH, end_s)
        await fleet.expect_completed(20)

    run_evacuation(scenario)
