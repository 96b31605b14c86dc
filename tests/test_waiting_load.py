"""Simulated loads of small and large jobs, with and without reservations."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bench.waiting import LOADS, simulate
from bench.waitingload import LARGE, LARGE_KINDS, SMALL, WaitingLoad
from dotterelspread.jobs.placementpolicy import MAX_RESERVED_JOBS, PlacementPolicy
from dotterelspread.jobs.queues import Queue
from dotterelspread.jobs.spec import StepSpec
from dotterelspread.resources import Resources
from tests.builders_fleet import kill_leader, make_job, make_step, run_scenario

POLICY = PlacementPolicy(reserved_jobs=2, keeps_gaps=True)
#: Jobs of this queue are always on time, so that lateness does not change the order.
PATIENT = Queue("patient", "host", "/patient/", "svc", 0, 3, 1000.0, 500)
#: Share of the small jobs that must still complete within their objective.
MIN_SMALL_SERVED_RATIO = 0.95
SECONDS = 10.0

policies = st.builds(PlacementPolicy, st.integers(0, MAX_RESERVED_JOBS), st.booleans())
arrivals = st.lists(
    st.tuples(st.sampled_from(["small", "small", *LARGE_KINDS]), st.floats(0, 0.8)),
    min_size=3,
    max_size=12,
)


@pytest.mark.parametrize("load_name", LOADS)
@pytest.mark.parametrize("large_kind", LARGE_KINDS)
def test_the_small_are_served_beside_reservations(load_name, large_kind):
    # Guards against reservations that starve the small jobs or leave room idle.
    load = simulate(LOADS[load_name], large_kind, POLICY, 1, SECONDS)
    baseline = simulate(LOADS[load_name], large_kind, PlacementPolicy(), 1, SECONDS)
    assert load.violations == []
    served_ratio = load.outcome(SMALL).served_ratio
    assert served_ratio >= min(
        MIN_SMALL_SERVED_RATIO, baseline.outcome(SMALL).served_ratio
    )
    assert load.used_ratio >= baseline.used_ratio - 0.05


def test_gangs_wait_less_behind_a_burst_of_small_jobs():
    # Guards against gangs that find room for all members only when no small tasks run.
    waits_s = {}
    for policy in (PlacementPolicy(), POLICY):
        load = simulate(LOADS["small burst ahead"], "gang", policy, 1, SECONDS)
        waits = load.outcome(LARGE).waits_s
        waits_s[policy] = sum(waits) / len(waits)
    assert waits_s[POLICY] <= waits_s[PlacementPolicy()]


@settings(max_examples=25, deadline=None)
@given(policies, arrivals, st.sampled_from([0.55, 1.0, 1.9]), st.booleans())
def test_all_jobs_complete_within_capacity(policy, events, estimate_ratio, has_loss):
    # Guards against starvation of either kind, also after a lost instance.
    load = WaitingLoad(policy, 1, estimate_ratio, workers=10)
    for number, (kind, gap_s) in enumerate(events):
        if kind == "small":
            load.submit_small()
        else:
            load.submit_large(kind)
        if has_loss and number == len(events) // 2:
            load.lose(load.workers[0])
        load.run(gap_s)
    for _ in range(40):
        if not load.cell.ready_by_job and _has_ended(load):
            break
        load.run(5.0)
    assert _has_ended(load)
    assert load.violations == []


def _has_ended(load):
    return all(
        (job_id, len(spec.steps)) in load.due_s or spec.steps[0].is_service
        for job_id, spec in load.jobs.items()
    )


@settings(max_examples=15, deadline=None)
@given(policies, st.integers(1, 12), st.floats(0.0, 0.5))
def test_equal_jobs_start_in_the_order_of_their_arrival(policy, cores, gap_s):
    # Guards against reservations that let a later job of a kind pass an earlier one.
    load = WaitingLoad(policy, 1, workers=3)
    job_ids = []
    for number in range(8):
        if number % 2:
            load.submit_small()
        step = StepSpec(3, Resources(min(cores, 10) * 1000, 10), 1500)
        job_ids.append(load.submit(PATIENT, step))
        load.run(gap_s)
    load.run(60.0)
    last_starts = [
        max(load.started_s[f"{job_id}.0.0.{index}"] for index in range(3))
        for job_id in job_ids
    ]
    assert last_starts == sorted(last_starts)


def test_a_successor_reserves_by_its_own_settings():
    # Guards against a policy that is lost with the leader that was started with it.
    async def scenario(fleet):
        for entry in fleet.entries:
            entry.settings.placement_policy = POLICY
        killed = kill_leader(fleet)
        await fleet.settle(8)
        killed.start()
        await fleet.settle(1)
        [cell] = [e.candidate.leader.cell for e in fleet.entries if e.candidate.leader]
        assert cell.placement_policy == POLICY
        capacity = next(iter(cell.workers_by_id.values())).capacity
        small = make_step(count=12, demand=Resources(capacity.millicores // 5, 10))
        large = make_step(count=3, demand=Resources(capacity.millicores, 10))
        for number in range(1, 9):
            step = large if number == 3 else small
            await fleet.submit(make_job(number, (step,)), entry=1)
        await fleet.expect_completed(30)

    run_scenario(scenario)
