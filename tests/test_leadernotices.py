"""Notices of a leader on the wire, and what an entry keeps of them."""

import asyncio
from types import SimpleNamespace

import pytest
from thrift.protocol.TCompactProtocol import (
    TCompactProtocol,
    TCompactProtocolAccelerated,
)
from thrift.transport.TTransport import TMemoryBuffer

from dotterelspread.gen.peer.ttypes import LeaderNotice
from dotterelspread.jobs import clock
from dotterelspread.jobs.agentreach import AgentReach
from dotterelspread.jobs.leadernotices import (
    AbilityMonitor,
    LeaderView,
    announce_once,
    announce_periodically,
)
from dotterelspread.peer import PeerTimeoutError
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


class RecordingPool:
    """Records the notices of a leader and their times; no entry answers."""

    def __init__(self, call_s=0.0):
        self.call_s = call_s
        self.began_s = clock.now_s()
        self.sent_s = []
        self.notices = []

    async def call(self, address, method, notice, timeout_s):
        self.sent_s.append(round(clock.now_s() - self.began_s, 3))
        self.notices.append(notice)
        await asyncio.sleep(self.call_s)
        raise PeerTimeoutError("no reply")

    def replace_connection(self, address):
        """Do nothing, since there are no real connections."""


def make_leader(pool):
    return SimpleNamespace(
        epoch=1,
        settings=SimpleNamespace(peer_address=ADDRESS),
        is_confirmed=True,
        agent_reach=AgentReach(),
        ability=AbilityMonitor(),
        pool=pool,
    )


def announce_for(duration_s, changes_s, call_s=0.0):
    """Return when notices were sent; the ability changes at the given times."""

    async def run():
        pool = RecordingPool(call_s)
        leader = make_leader(pool)
        task = asyncio.ensure_future(announce_periodically(leader, "entry:2"))
        is_able = True
        for change_s in changes_s:
            await asyncio.sleep(pool.began_s + change_s - clock.now_s())
            is_able = not is_able
            leader.ability.update(True, is_able)
            # The same ability again is not a change.
            leader.ability.update(True, is_able)
        await asyncio.sleep(pool.began_s + duration_s - clock.now_s())
        task.cancel()
        return pool.sent_s

    return run_virtually(run())


@pytest.mark.parametrize(
    ("changes_s", "call_s", "sent_s"),
    [
        ([], 0.0, [0, 0.5, 1.0]),
        ([0.2, 0.3], 0.0, [0, 0.2, 0.3, 0.8, 1.3]),
        # A change while a notice is under way is told by the next one, without delay.
        ([0.1], 0.3, [0, 0.3, 1.1]),
    ],
)
def test_a_change_of_the_ability_is_notified_at_once(changes_s, call_s, sent_s):
    # A late notice delays the successor of a leader that is unable to lead.
    assert announce_for(1.4, changes_s, call_s) == sent_s


def test_a_notice_loop_wakes_only_for_its_notices(monkeypatch):
    # A loop for each entry that polls the ability costs 350 wake-ups a second with 35.
    timers = []
    call_at = asyncio.SelectorEventLoop.call_at

    def count(loop, when, *args, **kwargs):
        timers.append(when)
        return call_at(loop, when, *args, **kwargs)

    monkeypatch.setattr(asyncio.SelectorEventLoop, "call_at", count)
    notices = len(announce_for(9.9, []))
    assert notices == 20
    # One timer for each notice, and those of the test itself and of its end.
    assert len(timers) <= notices + 3


@pytest.mark.parametrize("is_deposed", [False, True])
def test_a_notice_does_not_contradict_the_change_that_it_is_sent_for(is_deposed):
    # At the time limit of a confirmation, the next reading of the clock may say that
    # the leader is confirmed after all; a term that has just ended never is.
    async def run():
        pool = RecordingPool()
        leader = make_leader(pool)
        if is_deposed:
            leader.is_confirmed = False
        else:
            leader.ability.update(False, True)
        await announce_once(leader, "entry:2")
        assert not pool.notices[0].confirmed

    run_virtually(run())
