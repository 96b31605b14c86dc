"""Tests of an agent's reply to the leader's watch query."""

from dotterelspread.gen.peer.ttypes import RunningRow
from dotterelspread.jobs.agentpart import Agent
from dotterelspread.jobs.agentreport import RunningTask
from dotterelspread.jobs.watchreply import build_watch_reply
from dotterelspread.jobs.workeradapter import Announcement, Listing, WorkerAdapter
from dotterelspread.resources import Resources


def make_agent(*running):
    agent = Agent(WorkerAdapter(), 4000, lambda: 7000)
    announcement = Announcement(
        "i-0",
        1000,
        1,
        "svc",
        "app",
        "dc",
        frozenset(),
        "rack0",
        Resources(8000, 16_000, 0),
        False,
    )
    agent.announce(announcement)
    agent.apply_listing(Listing(1000, 5000, running, ()), 7000)
    return agent


def test_a_worker_that_never_announced_itself_is_not_known():
    assert not build_watch_reply(Agent(WorkerAdapter(), 4000, lambda: 7000)).known


def test_the_reply_states_the_pace_of_throttled_runs_only():
    agent = make_agent(
        RunningTask("held", 1, "", 10, 200), RunningTask("free", 3, "saved", 20, 900)
    )
    agent.pacer.pace_by_run = {("held", 1): 25, ("free", 3): 100}
    assert build_watch_reply(agent).running == [
        RunningRow("held", 1, "", 10, 200, 25),
        RunningRow("free", 3, "saved", 20, 900, None),
    ]
