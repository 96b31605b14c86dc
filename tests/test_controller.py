from types import SimpleNamespace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dotterelspread.configuration import ObjectiveConfig
from dotterelspread.controller import (
    CONTROLLERS_BY_NAME,
    ControllerError,
    EvictTask,
    UsageReported,
    cheapest_victim,
    get_controller,
)
from dotterelspread.controllers.feedback import COOLDOWN_S
from dotterelspread.reducer import reduce

from .builders_policies import batch, sample

TARGET_S = 0.25


def make(name):
    return get_controller(name)(TARGET_S, ObjectiveConfig())


@pytest.mark.parametrize("name", sorted(CONTROLLERS_BY_NAME))
def test_get_controller_returns_the_named_controller(name):
    assert get_controller(name).name == name


def test_an_unknown_name_is_an_error_that_lists_the_known_ones():
    with pytest.raises(ControllerError, match="feedback, fixed, none"):
        get_controller("best")


def test_the_cheapest_victim_loses_least_then_frees_most():
    tasks = batch("a", 4.0, unsaved_s=60.0) + batch("b", 2.0) + batch("c", 8.0)
    assert cheapest_victim(tasks).program == "c"
    assert cheapest_victim([]) is None


REPORTS = st.lists(
    st.tuples(st.floats(0.01, 2.0), st.floats(0.0, 1.0), st.integers(0, 3)),
    min_size=20,
    max_size=120,
)


@settings(derandomize=True, max_examples=25, deadline=None)
@given(st.sampled_from(sorted(CONTROLLERS_BY_NAME)), REPORTS)
def test_shares_stay_in_bounds_and_only_running_tasks_are_evicted(name, reports):
    controller = make(name)
    for step, (p99_s, load, count) in enumerate(reports):
        now_s = step * 10.0
        tasks = batch("a", 4.0, count) + batch("b", 2.0, 3 - count)
        decision = controller.decide(now_s, load, tasks)
        assert 0.0 <= decision.share <= 1.0
        assert set(decision.share_by_program) == {task.program for task in tasks}
        assert all(0.0 <= share <= 1.0 for share in decision.share_by_program.values())
        assert set(decision.evicted) <= {task.task_id for task in tasks}
        controller.report(sample(now_s - 20.0, p99_s, load))


@settings(derandomize=True, max_examples=25, deadline=None)
@given(st.lists(st.sampled_from((0.05, 0.26, 2.0)), min_size=100, max_size=400))
def test_feedback_lowers_shares_at_once_raises_them_late_and_evicts_last(p99s_s):
    controller = make("feedback")
    tasks = batch("noisy", 8.0, 3)
    before, backed_off_s, evicted_s = 1.0, -1000.0, []
    for step, p99_s in enumerate(p99s_s):
        now_s = step * 10.0
        decision = controller.decide(now_s, 0.6, tasks)
        if now_s < backed_off_s + COOLDOWN_S:
            assert decision.share <= before
        if decision.evicted:
            assert before < 0.1 and now_s >= 300.0
            evicted_s.append(now_s)
        before = decision.share
        controller.report(sample(now_s, p99_s, 0.6))
        # A sample from before the last back-off does not show its effect.
        if p99_s > TARGET_S and now_s > backed_off_s:
            backed_off_s = now_s + 10.0
    gaps = zip(evicted_s, evicted_s[1:], strict=False)
    assert all(later - earlier >= COOLDOWN_S for earlier, later in gaps)


def test_the_reducer_passes_reports_to_the_controller():
    state = SimpleNamespace(controller=make("fixed"))
    assert reduce(UsageReported(30.0, sample(10.0, 0.3)), state) == []
    decision = state.controller.decide(30.0, 0.5, batch("a", 4.0))
    assert EvictTask("a-0", "p99 above target") in decision.effects()
