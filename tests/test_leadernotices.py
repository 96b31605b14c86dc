"""Notices of a leader on the wire, and what an entry keeps of them."""

import asyncio

import pytest
from thrift.protocol.TCompactProtocol import (
    TCompactProtocol,
    TCompactProtocolAccelerated,
)
from thrift.transport.TTransport import TMemoryBuffer

from dotterelspread.gen.peer.ttypes import LeaderNotice
from dotterelspread.jobs import clock
from dotterelspread.jobs.leadernotices import LeaderView
from tests.virtualloop import run_virtually

ADDRESS = "entry:1"
AGENTS = ["agent1:1", "agent2:1"]


def transcode(notice, write_type, read_type):
    buffer = TMemoryBuffer()
    notice.write(write_type(buffer))
    read = LeaderNotice()
    read.read(read_type(TMemoryBuffer(buffer.getvalue())))
    return read


@pytest.mark.parametrize("lost_agents", [None, [], AGENTS])
@pytest.mark.parametrize("write_type", [TCompactProtocol, TCompactProtocolAccelerated])
@pytest.mark.parametrize("read_type", [TCompactProtocol, TCompactProtocolAccelerated])
def test_a_notice_is_read_as_it_was_written(lost_agents, write_type, read_type):
    # Notices of earlier versions have no lost agents.
    notice = LeaderNotice(3, ADDRESS, True, lost_agents)
    assert transcode(notice, write_type, read_type) == notice


def test_an_entry_keeps_since_when_the_leader_is_not_confirmed():
    async def run():
        view = LeaderView()
        view.receive(LeaderNotice(1, ADDRESS, True, None))
        assert view.unconfirmed_since_s is None
        assert view.lost_agents == ()
        began_s = clock.now_s()
        for _ in range(3):
            view.receive(LeaderNotice(1, ADDRESS, False, AGENTS))
            await asyncio.sleep(0.5)
        assert view.unconfirmed_since_s == began_s
        assert view.lost_agents == tuple(AGENTS)
        view.receive(LeaderNotice(1, ADDRESS, True, []))
        assert view.unconfirmed_since_s is None
        assert view.lost_agents == ()

    run_virtually(run())


def test_nothing_of_an_earlier_leader_is_held_against_its_successor():
    async def run():
        view = LeaderView()
        view.receive(LeaderNotice(1, ADDRESS, False, AGENTS))
        await asyncio.sleep(0.5)
        view.receive(LeaderNotice(2, "other:1", True, []))
        assert view.epoch_known_s == clock.now_s()
        # A late notice of the earlier leader changes nothing.
        view.receive(LeaderNotice(1, ADDRESS, False, AGENTS))
        assert view.unconfirmed_since_s is None
        assert view.lost_agents == ()
        assert view.address == "other:1"

    run_virtually(run())
