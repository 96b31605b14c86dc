"""Evacuated data centres on virtual time: nothing starts there after the bound."""

import asyncio

import pytest

from dotterelspread.platform.configuration import CONFIGURATION_STREAM
from tests.builders_evacuation import (
    FIRST_JOB_NUMBER,
    MAX_START_DELAY_S,
    NORTH,
    SOUTH,
    check_no_late_start,
    cut_off_workers,
    delete_records,
    evacuate,
    expect_completed_after_healing,
    keep_submitting,
    restore,
    run_evacuation,
    starts_after,
    workers_in,
)
from tests.builders_fleet import kill_leader, make_job, make_step
from tests.builders_network import CallOutcome


@pytest.mark.parametrize("store_delay_s", [0.004, 0.04])
def test_nothing_starts_in_an_evacuated_data_centre(store_delay_s):
    async def scenario(fleet):
        fleet.store.delay_s = store_delay_s
        number = await keep_submitting(fleet, 1)
        begin_s = evacuate(fleet, SOUTH)
        await keep_submitting(fleet, 8, number)
        check_no_late_start(fleet, SOUTH, begin_s)
        assert len(starts_after(fleet, NORTH, begin_s + MAX_START_DELAY_S)) > 20
        await fleet.expect_completed(10)

    run_evacuation(scenario)


def test_a_name_that_does_not_exist_changes_nothing():
    async def scenario(fleet):
        begin_s = evacuate(fleet, "nowhere")
        evacuate(fleet, "")
        evacuate(fleet, "x" * 5000)
        await keep_submitting(fleet, 4)
        for name in (NORTH, SOUTH):
            assert starts_after(fleet, name, begin_s + 1)
        await fleet.expect_completed(10)

    run_evacuation(scenario)


def test_work_returns_after_the_evacuation_is_revoked():
    async def scenario(fleet):
        begin_s = evacuate(fleet, SOUTH)
        number = await keep_submitting(fleet, 5)
        check_no_late_start(fleet, SOUTH, begin_s)
        end_s = restore(fleet, SOUTH)
        await keep_submitting(fleet, 5, number)
        assert starts_after(fleet, SOUTH, end_s)
        await fleet.expect_completed(10)

    run_evacuation(scenario)


def test_two_evacuations_overlap():
    async def scenario(fleet):
        first_s = evacuate(fleet, SOUTH)
        number = await keep_submitting(fleet, 4)
        second_s = evacuate(fleet, "east")
        number = await keep_submitting(fleet, 4, number)
        end_s = restore(fleet, SOUTH)
        await keep_submitting(fleet, 4, number)
        check_no_late_start(fleet, SOUTH, first_s, end_s)
        check_no_late_start(fleet, "east", second_s)
        assert starts_after(fleet, SOUTH, end_s)
        await fleet.expect_completed(10)

    run_evacuation(scenario, agents=6, data_centres=(NORTH, SOUTH, "east"))


def test_work_waits_while_the_only_data_centre_with_room_is_evacuated():
    async def scenario(fleet):
        begin_s = evacuate(fleet, SOUTH)
        await fleet.settle(1)
        reply = await fleet.submit(make_job(1, (make_step(count=3),)))
        assert reply.result == 1
        await fleet.settle(8)
        assert starts_after(fleet, SOUTH, begin_s) == []
        restore(fleet, SOUTH)
        await fleet.expect_completed(5)

    run_evacuation(scenario, data_centres=(SOUTH,))


def test_running_work_goes_on_under_its_lease():
    async def scenario(fleet):
        service = make_job(1, (make_step(count=8, is_service=True),))
        fleet.durations[service.job_id] = 60.0
        await fleet.submit(service)
        await fleet.settle(2)
        before = {w.worker_id: dict(w.running) for w in workers_in(fleet, SOUTH)}
        assert any(before.values())
        evacuate(fleet, SOUTH)
        await fleet.settle(12)
        kill_leader(fleet)
        await fleet.settle(12)
        after = {w.worker_id: w.running for w in workers_in(fleet, SOUTH)}
        assert after == before

    run_evacuation(scenario)


def test_a_service_task_that_ends_restarts_elsewhere():
    async def scenario(fleet):
        service = make_job(1, (make_step(count=8, is_service=True),))
        fleet.durations[service.job_id] = 4.0
        await fleet.submit(service)
        await fleet.settle(1)
        begin_s = evacuate(fleet, SOUTH)
        await fleet.settle(6)
        check_no_late_start(fleet, SOUTH, begin_s)
        assert not any(worker.running for worker in workers_in(fleet, SOUTH))
        assert sum(len(w.running) for w in workers_in(fleet, NORTH)) == 8

    run_evacuation(scenario)


@pytest.mark.parametrize("delay_s", [-1.0, -0.01, 0.0, 0.02, 1.0])
def test_a_successor_knows_what_is_evacuated(delay_s):
    async def scenario(fleet):
        number = await keep_submitting(fleet, 1)
        if delay_s < 0:
            kill_leader(fleet)
            await fleet.settle(-delay_s)
        begin_s = evacuate(fleet, SOUTH)
        if delay_s >= 0:
            await fleet.settle(delay_s)
            kill_leader(fleet)
        alive = next(i for i, e in enumerate(fleet.entries) if is_alive(e))
        await keep_submitting(fleet, 10, number, alive)
        check_no_late_start(fleet, SOUTH, begin_s)
        assert starts_after(fleet, NORTH, begin_s + MAX_START_DELAY_S)

    run_evacuation(scenario)


def is_alive(entry):
    return entry.address in entry.fleet.network.handlers_by_address


def test_an_entry_that_starts_during_the_evacuation_knows_it():
    async def scenario(fleet):
        begin_s = evacuate(fleet, SOUTH)
        await fleet.settle(3)
        for entry in fleet.entries:
            entry.kill()
        fleet.entries[1].start()
        await keep_submitting(fleet, 10, entry=1)
        check_no_late_start(fleet, SOUTH, begin_s)
        assert starts_after(fleet, NORTH, begin_s)

    run_evacuation(scenario)


def test_the_last_known_state_applies_while_the_store_is_down():
    async def scenario(fleet):
        begin_s = evacuate(fleet, SOUTH)
        number = await keep_submitting(fleet, 1)
        fleet.store.mode_by_node["*"] = "silent"
        number = await keep_submitting(fleet, 6, number)
        fleet.store.mode_by_node.clear()
        await keep_submitting(fleet, 8, number)
        check_no_late_start(fleet, SOUTH, begin_s)
        assert starts_after(fleet, NORTH, begin_s + 9)
        await fleet.expect_completed(15)

    run_evacuation(scenario)


@pytest.mark.parametrize("is_revoked", [False, True])
def test_a_snapshot_replaces_the_state_when_records_were_deleted(is_revoked):
    async def scenario(fleet):
        begin_s = evacuate(fleet, SOUTH)
        number = await keep_submitting(fleet, 3)
        # Nothing of what follows is read before it is deleted.
        fleet.store.mode_by_node["*"] = "busy"
        await fleet.settle(3)
        change_s = restore(fleet, SOUTH) if is_revoked else evacuate(fleet, NORTH)
        delete_records(fleet)
        fleet.store.mode_by_node.clear()
        await keep_submitting(fleet, 8, number)
        check_no_late_start(fleet, SOUTH, begin_s, change_s)
        if is_revoked:
            assert starts_after(fleet, SOUTH, change_s)
        else:
            check_no_late_start(fleet, NORTH, change_s)
            check_no_late_start(fleet, SOUTH, change_s)

    run_evacuation(scenario)


def leading(fleet):
    return next(e for e in fleet.entries if e.candidate.leader is not None)


def test_a_leader_that_cannot_read_the_stream_starts_nothing_after_the_bound():
    async def scenario(fleet):
        number = await keep_submitting(fleet, 1)
        # The leader's appends succeed.
        fleet.store.unreadable.add((leading(fleet).address, CONFIGURATION_STREAM))
        begin_s = evacuate(fleet, SOUTH)
        await keep_submitting(fleet, 9, number)
        check_no_late_start(fleet, SOUTH, begin_s)
        await expect_completed_after_healing(fleet)
        check_no_late_start(fleet, SOUTH, begin_s)

    run_evacuation(scenario)


def test_entries_that_are_cut_off_from_the_store_retry_no_start_after_the_bound():
    async def scenario(fleet):
        fleet.network.lost_orders = True
        await fleet.submit(make_job(1, (make_step(count=12),)))
        # The leader grants leases for 10 s, since all entries answer it.
        fleet.store.mode_by_node["*"] = "silent"
        fleet.store.unreadable.update(
            (entry.address, CONFIGURATION_STREAM) for entry in fleet.entries
        )
        begin_s = evacuate(fleet, SOUTH)
        await fleet.settle(MAX_START_DELAY_S + 0.1)
        fleet.network.lost_orders = False
        await fleet.settle(6)
        check_no_late_start(fleet, SOUTH, begin_s)
        await expect_completed_after_healing(fleet)
        check_no_late_start(fleet, SOUTH, begin_s)

    run_evacuation(scenario)


def test_an_order_that_arrives_late_starts_nothing():
    async def scenario(fleet):
        network = fleet.network
        network.late_delivery_s = 3.0
        network.outcome_of = lambda method: (
            CallOutcome.LATE if method == "start_run" else CallOutcome.ANSWERED
        )
        submitting = asyncio.ensure_future(
            fleet.submit(make_job(1, (make_step(count=6),)))
        )
        await fleet.settle(0.1)
        begin_s = evacuate(fleet, SOUTH)
        # The agents do not hear of the evacuation.
        network.partitioned.update(agent.address for agent in fleet.agents)
        await fleet.settle(6)
        del network.outcome_of
        network.partitioned.clear()
        await submitting
        await expect_completed_after_healing(fleet)
        check_no_late_start(fleet, SOUTH, begin_s)

    run_evacuation(scenario)


def test_an_earlier_leader_that_returns_starts_nothing():
    async def scenario(fleet):
        earlier = leading(fleet)
        fleet.network.lost_orders = True
        await fleet.submit(
            make_job(1, (make_step(count=12),)), fleet.entries.index(earlier)
        )
        # The earlier leader reaches nothing, and the agents in the south hear nothing.
        fleet.store.mode_by_node[earlier.address] = "silent"
        fleet.network.partitioned.add(earlier.address)
        south = [a for a in fleet.agents if a.worker.data_centre == SOUTH]
        for agent in south:
            for entry in fleet.entries:
                fleet.cut(entry, agent)
        begin_s = evacuate(fleet, SOUTH)
        await fleet.settle(MAX_START_DELAY_S + 0.1)
        fleet.network.lost_orders = False
        fleet.network.partitioned.clear()
        for agent in south:
            fleet.network.cut_pairs.discard(frozenset({earlier.address, agent.address}))
        await fleet.settle(10)
        await expect_completed_after_healing(fleet)
        check_no_late_start(fleet, SOUTH, begin_s)

    run_evacuation(scenario)


def test_starts_that_workers_answer_late_are_not_retried_there():
    async def scenario(fleet):
        cut_off_workers(fleet, SOUTH, True)
        await fleet.submit(make_job(1, (make_step(count=12),)))
        begin_s = evacuate(fleet, SOUTH)
        await fleet.settle(3)
        cut_off_workers(fleet, SOUTH, False)
        await fleet.settle(2)
        check_no_late_start(fleet, SOUTH, begin_s)
        await fleet.expect_completed(20)

    run_evacuation(scenario)


def test_a_gang_across_both_data_centres_starts_in_the_other_one():
    async def scenario(fleet):
        step = make_step(count=4, is_gang=True)
        number = 1
        begin_s = None
        for _ in range(12):
            await fleet.submit(make_job(number, (step,)))
            number += 1
            if number == 4:
                begin_s = evacuate(fleet, SOUTH)
            await fleet.settle(0.3)
        await fleet.settle(2)
        check_no_late_start(fleet, SOUTH, begin_s)
        await fleet.expect_completed(20)

    run_evacuation(scenario)


@pytest.mark.parametrize("seed", range(6))
def test_nothing_starts_late_under_random_faults(seed):
    async def scenario(fleet):
        rng = fleet.rng
        fleet.store.loss = rng.choice([0.0, 0.1])
        fleet.network.loss = rng.choice([0.0, 0.05])
        begin_by_name = {}
        periods = []
        number = FIRST_JOB_NUMBER
        for _ in range(20):
            name = rng.choice([NORTH, SOUTH, "east"])
            if name in begin_by_name:
                periods.append((name, begin_by_name.pop(name), restore(fleet, name)))
            elif len(begin_by_name) < 2:
                begin_by_name[name] = evacuate(fleet, name)
            for _ in range(rng.randint(1, 4)):
                number += 1
                step = make_step(count=rng.randint(1, 6), is_gang=rng.random() < 0.2)
                fleet.durations[f"{number:016x}"] = rng.choice([0.3, 2.0])
                await fleet.submit(make_job(number, (step,)), rng.randrange(2), 800)
            await _inject_faults(fleet, rng)
            await fleet.settle(rng.choice([0.3, 1.5, 5.0]))
            fleet.store.mode_by_node.clear()
            fleet.network.partitioned.clear()
        for name in list(begin_by_name):
            periods.append((name, begin_by_name.pop(name), restore(fleet, name)))
        await fleet.settle(5)
        await fleet.expect_ended(60)
        for name, begin_s, end_s in periods:
            check_no_late_start(fleet, name, begin_s, end_s)

    sizes = {"agents": 6, "data_centres": (NORTH, SOUTH, "east")}
    run_evacuation(scenario, seed, **sizes)


async def _inject_faults(fleet, rng):
    kind = rng.choice(["none", "kill", "store", "store of one", "partition", "worker"])
    process = rng.choice([*fleet.entries, *fleet.agents])
    if kind == "kill":
        process.kill()
        await fleet.settle(rng.choice([0.0, 1.0]))
        process.start()
    elif kind == "store":
        fleet.store.mode_by_node["*"] = rng.choice(["silent", "busy"])
    elif kind == "store of one":
        fleet.store.mode_by_node[process.address] = "silent"
    elif kind == "partition":
        fleet.network.partitioned.add(process.address)
    elif kind == "worker":
        worker = rng.choice(fleet.workers)
        worker.crash()
        worker.begin_incarnation()
