"""Tests of the refusal of jobs that no worker could run."""

from dotterelspread.gen.peer.ttypes import WorkResult
from dotterelspread.jobs.feasibility import WorkerShape, find_infeasible_step
from dotterelspread.resources import Resources
from tests.builders_fleet import make_job, make_step, run_scenario

SHAPES = {
    WorkerShape(frozenset({"a", "r1"}), Resources(8000, 16_000)),
    WorkerShape(frozenset({"b", "r2"}), Resources(32_000, 64_000)),
}


def test_a_step_that_fits_an_idle_worker_is_feasible():
    step = make_step(count=500, demand=Resources(32_000, 64_000))
    assert not find_infeasible_step(make_job(1, (step,)), SHAPES)


def test_the_reason_names_the_step_that_exceeds_every_worker():
    steps = (make_step(), make_step(demand=Resources(33_000, 10)))
    assert find_infeasible_step(make_job(1, steps), SHAPES).startswith("step 1: ")


def test_a_label_and_the_demand_must_fit_the_same_worker():
    step = make_step(required_label="a", demand=Resources(16_000, 10))
    assert "label a" in find_infeasible_step(make_job(1, (step,)), SHAPES)
    step = make_step(required_label="c")
    assert "label c" in find_infeasible_step(make_job(1, (step,)), SHAPES)


def test_fillers_reserve_memory_but_no_processors():
    step = make_step(is_filler=True, demand=Resources(99_000, 16_000))
    assert not find_infeasible_step(make_job(1, (step,)), SHAPES)


def test_nothing_is_refused_while_no_worker_is_known():
    step = make_step(required_label="c")
    assert not find_infeasible_step(make_job(1, (step,)), set())


def test_a_job_with_an_unknown_label_is_refused_with_a_retry_time():
    async def scenario(fleet):
        await fleet.settle(1)
        step = make_step(required_label="none-has-it")
        reply = await fleet.submit(make_job(1, (step,)))
        assert reply.result == WorkResult.REFUSED
        assert reply.retry_after_ms > 1000
        assert "label none-has-it" in reply.reason

    run_scenario(scenario)
