"""Agents that a leader has lost, and the probes of another entry."""

import asyncio
from types import SimpleNamespace

import pytest

from dotterelspread.jobs.agentreach import (
    SAMPLE_SIZE,
    AgentReach,
    reaches_agents,
    reaches_any_agent,
)
from dotterelspread.peer import PeerTimeoutError
from tests.virtualloop import run_virtually

AGENTS = [f"agent{number}:1" for number in range(20)]


def lost_after(reached, answering, silence_s=2.0):
    """Return what is lost after a silence of all but the answering agents."""

    async def run():
        reach = AgentReach()
        for address in AGENTS:
            reach.expect(address)
        for address in reached:
            reach.observe(address)
        await asyncio.sleep(silence_s)
        for address in answering:
            reach.observe(address)
        return reach.lost_addresses, reach.sample_lost()

    return run_virtually(run())


@pytest.mark.parametrize(
    ("reached", "answering", "lost"),
    [
        (AGENTS, AGENTS, []),
        (AGENTS, [], AGENTS),
        (AGENTS, AGENTS[:9], AGENTS[9:]),
        (AGENTS, AGENTS[:10], []),
        # Agents that were removed before the term are not missed.
        (AGENTS[:5], AGENTS[:5], []),
        (AGENTS[:5], [], AGENTS[:5]),
        # A leader that reaches none from its start on misses all.
        ([], [], AGENTS),
    ],
)
def test_most_agents_that_replied_in_the_term_are_missed(reached, answering, lost):
    found, sample = lost_after(reached, answering)
    assert found == lost
    assert len(sample) == min(SAMPLE_SIZE, len(lost))
    assert set(sample) <= set(lost)


def test_an_agent_between_two_polls_is_not_lost():
    assert lost_after(AGENTS, [], silence_s=1.4) == ([], [])


def make_pool(answering):
    async def call(address, method, query, timeout_s):
        assert (method, query.epoch) == ("watch", -1)
        if address not in answering:
            raise PeerTimeoutError("no reply")

    return SimpleNamespace(call=call, replace_connection=lambda address: None)


@pytest.mark.parametrize(
    ("answering", "are_most_reached", "is_any_reached"),
    [([], False, False), (AGENTS[:3], False, True), (AGENTS[:4], True, True)],
)
def test_an_entry_reaches_agents_when_most_of_a_sample_answer(
    answering, are_most_reached, is_any_reached
):
    pool = make_pool(answering)
    sample = AGENTS[:8]
    assert run_virtually(reaches_agents(pool, sample)) is are_most_reached
    assert run_virtually(reaches_any_agent(pool, sample)) is is_any_reached


def test_without_agents_none_is_better_reached_and_none_is_missing():
    assert not run_virtually(reaches_agents(make_pool([]), []))
    assert run_virtually(reaches_any_agent(make_pool([]), []))
