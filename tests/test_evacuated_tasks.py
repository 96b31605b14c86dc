"""Tasks of a cell whose data centre is evacuated."""

import pytest

from bench.fleet import Fleet, job, spec
from bench.fleetchecks import overlaps
from dotterelspread.celltask import TaskPhase
from dotterelspread.configuration import Urgency
from dotterelspread.record import TaskClaimed, TaskReleased
from dotterelspread.taskevent import StartsWithheld
from dotterelspread.taskexplain import explain_task

REASON = "data centre kumasi was evacuated by ama"


@pytest.fixture
def fleet():
    fleet = Fleet(3)
    fleet.run(3)
    return fleet


def withhold(fleet, reason=REASON):
    for agent in fleet.agents:
        fleet.send(agent, StartsWithheld, reason)


def task(fleet, task_id):
    return fleet.agents[0].state.cell.tasks_by_id[task_id]


def test_no_task_is_started_and_running_ones_end(fleet):
    fleet.submit(job("old", spec("old/0", run_time_s=30)))
    fleet.run(3)
    withhold(fleet)
    fleet.submit(job("new", spec("new/0", run_time_s=5)))
    # Making room for urgent work would stop running work for nothing.
    fleet.submit(job("big", spec("big/0", 32_000), urgency=Urgency.URGENT))
    fleet.run(60)
    assert task(fleet, "old/0").outcome == "completed"
    assert task(fleet, "old/0").releases == 0
    assert task(fleet, "new/0").phase is TaskPhase.PENDING
    assert len(fleet.runs()) == 1
    explanation = "\n".join(explain_task(fleet.agents[1].state, "new/0"))
    assert REASON in explanation
    withhold(fleet, "")
    fleet.run(30)
    assert task(fleet, "new/0").outcome == "completed"


def test_a_claim_that_was_under_way_is_declined(fleet):
    # The claim is valid for all readers, so only its owner can keep it from starting.
    fleet.submit(job("a", spec("a/0", run_time_s=5)))
    while not any(agent.state.is_in_flight(TaskClaimed) for agent in fleet.agents):
        fleet.run(0.01)
    withhold(fleet)
    fleet.run(30)
    assert fleet.runs() == []
    assert task(fleet, "a/0").phase is TaskPhase.PENDING
    records = [e.record for entry in fleet.log.entries for e in entry]
    assert [r.reason for r in records if isinstance(r, TaskReleased)] == ["decline"]


def start_unconfirmed(fleet):
    """Return the agent that has sent a start which its worker did not confirm."""
    for agent in fleet.agents:
        agent.has_worker_link = False
    fleet.submit(job("a", spec("a/0", run_time_s=40)))
    while True:
        fleet.run(0.01)
        for agent in fleet.agents:
            if agent.state.locals_by_id:
                return agent


def test_an_unanswered_start_is_not_repeated(fleet):
    agent = start_unconfirmed(fleet)
    withhold(fleet)
    fleet.run(1.0)
    for other in fleet.agents:
        other.has_worker_link = True
    fleet.run(40)
    assert fleet.runs() == []
    assert agent.state.locals_by_id == {}
    assert task(fleet, "a/0").phase is TaskPhase.PENDING
    withhold(fleet, "")
    fleet.run(60)
    assert task(fleet, "a/0").outcome == "completed"


def test_a_start_whose_confirmation_was_lost_goes_on(fleet):
    # The worker's report is enough to keep a run that was started before.
    fleet.submit(job("a", spec("a/0", run_time_s=60)))
    fleet.run(3)
    (owner,) = (agent for agent in fleet.agents if agent.state.locals_by_id)
    owner.state.locals_by_id["a/0"].is_confirmed = False
    withhold(fleet)
    fleet.run(90)
    assert task(fleet, "a/0").outcome == "completed"
    assert len(fleet.runs()) == 1
    assert not overlaps(fleet.runs())
