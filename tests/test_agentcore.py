from bench.requestsite import SERVICE, make_service
from dotterelspread import agentevents as events
from dotterelspread.agentcore import AgentState
from dotterelspread.outcome import Completed, RefusalReason, Unknown
from dotterelspread.reducer import reduce

DONE = Completed(200, (), b"done")


def make_agent(slots=1):
    return AgentState.from_config(make_service(), slots, incarnation=3)


def run(state, request_id, waiter, now_s=0.0, deadline_s=9.0, incarnation=3):
    event = events.RunRequested(
        now_s,
        request_id,
        incarnation,
        SERVICE,
        "book",
        1,
        deadline_s,
        idempotent=False,
        waiter=waiter,
    )
    return reduce(event, state)


def finish(state, request_id, now_s=1.0):
    return reduce(events.RunFinished(now_s, request_id, DONE), state)


def query(state, request_id, fence=True, incarnation=3):
    event = events.AnswerRequested(2.0, request_id, incarnation, fence, "asker")
    return reduce(event, state)


def test_a_repeat_joins_the_pending_request_and_then_gets_its_answer():
    state = make_agent()
    assert len(run(state, "r1", "first")) == 1
    assert run(state, "r1", "second") == []
    assert query(state, "r1") == [events.SendPending("r1", "asker", is_known=True)]
    assert finish(state, "r1") == [
        events.SendAnswer("r1", DONE, ("first", "second", "asker"))
    ]
    assert run(state, "r1", "third") == [events.SendAnswer("r1", DONE, ("third",))]
    assert finish(state, "r1") == []


def test_an_id_is_not_run_again_after_its_answer_is_evicted():
    state = make_agent()
    state.answers.max_answers = 0
    run(state, "r1", "first")
    finish(state, "r1")
    for effects in (run(state, "r1", "second"), query(state, "r1")):
        assert isinstance(effects[0].outcome, Unknown)


def test_a_queried_id_is_refused_only_when_fenced():
    state = make_agent()
    assert query(state, "r1", fence=False) == [
        events.SendPending("r1", "asker", is_known=False)
    ]
    assert query(state, "r2")[0].outcome.reason == RefusalReason.FENCED
    assert isinstance(run(state, "r1", "w")[0], events.StartRun)
    assert run(state, "r2", "w")[0].outcome.reason == RefusalReason.FENCED


def test_requests_of_another_incarnation_are_fenced_and_unknown():
    state = make_agent()
    assert run(state, "r1", "w", incarnation=2)[0].outcome.reason == "fenced"
    assert isinstance(query(state, "r1", incarnation=2)[0].outcome, Unknown)


def test_a_full_id_set_refuses_new_requests_rather_than_evict():
    state = make_agent()
    state.claimed_ids.max_ids = 1
    run(state, "r1", "w")
    assert run(state, "r2", "w")[0].outcome.reason == RefusalReason.NO_CAPACITY
    state.fenced_ids.max_ids = 0
    assert isinstance(query(state, "r3")[0].outcome, Unknown)


def test_a_queued_request_past_its_deadline_is_refused_permanently():
    state = make_agent()
    run(state, "r1", "w")
    assert run(state, "r2", "w", deadline_s=0.5) == []
    effects = reduce(events.AgentTick(0.6), state)
    assert effects[0].outcome.reason == RefusalReason.DEADLINE
    assert run(state, "r2", "w")[0].outcome.reason == RefusalReason.FENCED


def test_a_drain_finishes_pending_requests_and_completes_once():
    state = make_agent()
    run(state, "r1", "w")
    run(state, "r2", "w")
    assert reduce(events.DrainRequested(0.1), state) == []
    assert run(state, "r3", "w")[0].outcome.reason == RefusalReason.DRAINING
    assert [type(effect) for effect in finish(state, "r1")] == [
        events.SendAnswer,
        events.StartRun,
    ]
    assert finish(state, "r2")[-1] == events.DrainCompleted()
    assert reduce(events.DrainRequested(3.0), state) == []


def test_an_evacuated_instance_refuses_new_and_queued_requests_only():
    # A queued request would start after the bound; a running one must not be lost.
    state = make_agent()
    run(state, "r1", "w1")
    run(state, "r2", "w2")
    (refused,) = reduce(events.EvacuationChanged(0.1, "evacuated by ama"), state)
    assert (refused.request_id, refused.waiters) == ("r2", ("w2",))
    assert refused.outcome.reason is RefusalReason.EVACUATED
    assert run(state, "r3", "w")[0].outcome.detail == "evacuated by ama"
    assert run(state, "r1", "again") == []
    assert [type(effect) for effect in finish(state, "r1")] == [events.SendAnswer]
    # A repeat of a refused id must not run after the restore: it may run elsewhere.
    assert reduce(events.EvacuationChanged(2.0, ""), state) == []
    assert run(state, "r2", "w")[0].outcome.reason is RefusalReason.FENCED
    assert isinstance(run(state, "r4", "w")[0], events.StartRun)
