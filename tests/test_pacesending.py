"""Paces that an agent sends to its worker."""

import asyncio
from types import SimpleNamespace

import pytest

from dotterelspread.jobs.pacesending import send_paces
from dotterelspread.jobs.pacing import PaceChange
from dotterelspread.jobs.pacingfacts import PacingFacts
from dotterelspread.jobs.workeradapter import StartAnswer, WorkerReplyError
from dotterelspread.jobs.workersession import WorkerSession
from tests.builders_agent import HEARTBEAT


class OnePacer:
    """Changes the pace of one run, and remembers what is in force."""

    samples_above_target = 0

    def __init__(self):
        self.pace_by_run = {("t", 1): 40}

    def update(self, *inputs):
        return [PaceChange("t", 1, 40)]


def send(result):
    """Send the pace to a worker with this result; return the paces in force."""

    async def pace(worker_id, token, task_id, run, percent):
        if isinstance(result, Exception):
            raise result
        return result, 5

    agent = SimpleNamespace(
        announcement=HEARTBEAT,
        pacer=OnePacer(),
        listing=SimpleNamespace(running=()),
        pacing_facts=PacingFacts(),
        session=WorkerSession(first_number=1),
        adapter=SimpleNamespace(pace=pace),
    )
    asyncio.run(send_paces(agent))
    return agent.pacer.pace_by_run


@pytest.mark.parametrize(
    "result",
    [StartAnswer.FENCED, StartAnswer.REFUSED, WorkerReplyError("no reply")],
)
def test_a_pace_that_the_worker_refused_does_not_count_as_in_force(result):
    assert send(result) == {}


def test_a_confirmed_pace_is_in_force():
    assert send(StartAnswer.RUNNING) == {("t", 1): 40}
