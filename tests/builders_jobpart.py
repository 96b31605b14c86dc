"""An entry's job part with fakes for its node, its members and the log."""

import asyncio
from types import SimpleNamespace

from dotterelspread.configuration import Configuration, Urgency
from dotterelspread.gen.peer.ttypes import JobReply
from dotterelspread.jobpart import JobPart
from dotterelspread.jobrequest import JobRequest, TaskRequest
from dotterelspread.peer import PeerTimeoutError
from dotterelspread.record import InstanceAnnounced
from dotterelspread.resources import Resources

__all__ = ["CELL", "FakeMembers", "make_agent", "make_job_part", "make_request"]

CELL = "cell.kumasi.0"


class FakeLog:
    """Keeps the records that were appended."""

    def __init__(self):
        self.records = []

    async def append(self, stream, record, timeout_s):
        self.records.append(record)


class FakePool:
    """Answers queries for jobs; agents at `silent_addresses` do not answer."""

    def __init__(self):
        self.silent_addresses = set()

    async def call(self, address, method, query, timeout_s):
        if address in self.silent_addresses:
            raise PeerTimeoutError(f"{address}: no reply")
        return JobReply(found=False)


class FakeTelemetry:
    """Ignores all measurements."""

    def count(self, name, **labels):
        """Ignore one event."""


class FakeMembers:
    """Lists the agents of the cell; `learn` replaces them as announcements arrive."""

    def __init__(self, *agents):
        self.agents = agents

    def agents_of_cell(self, cell):
        return [agent for agent in self.agents if agent.cell == cell]

    def learn(self, *agents):
        self.agents = agents


def make_agent(number, cores, data_centre="kumasi", cell=CELL):
    """Return an announcement; without cores, as a peer reports it."""
    return InstanceAnnounced(
        f"agent-{number}",
        1,
        "agent",
        f"127.0.0.1:{7000 + number}",
        data_centre,
        "ashanti",
        capacity=Resources(cores * 1000, 64_000, 0) if cores else Resources(),
        cell=cell,
    )


def make_job_part(members, cells=(CELL,)):
    node = SimpleNamespace(
        settings=SimpleNamespace(
            entry=SimpleNamespace(cells=list(cells)), data_centre="kumasi"
        ),
        incarnation=1,
        log_client=FakeLog(),
        pool=FakePool(),
        telemetry=FakeTelemetry(),
        now_s=lambda: asyncio.get_running_loop().time(),
    )
    part = JobPart(node, members)
    part.configure(SimpleNamespace(configuration=Configuration()))
    return part


def make_request(cores):
    task = TaskRequest("sleep", (), Resources(cores * 1000, 1000, 0), 8.0, 1)
    return JobRequest("contracts", Urgency.NORMAL, {}, (task,))
