"""Forwarding of callers' requests from an entry to the leader."""

import asyncio
from types import SimpleNamespace

from dotterelspread.gen.peer.ttypes import LeaderNotice, WorkResult
from dotterelspread.jobs.forwarding import Forwarder, Verb, make_request
from dotterelspread.jobs.leadernotices import LeaderView
from dotterelspread.peer import PeerPool, serve_peers

JOB_ID = "0" * 16


class UnresponsiveLeader:
    """Reads calls without answering, like a process suspended after the read."""

    def __init__(self):
        self.calls = 0

    async def work(self, request):
        self.calls += 1
        await asyncio.sleep(60)


def make_forwarder(view, pool):
    settings = SimpleNamespace(peer_address="127.0.0.1:1")
    return Forwarder(SimpleNamespace(view=view, settings=settings, leader=None), pool)


def test_a_call_that_was_sent_is_not_refused_when_the_leader_changes():
    async def scenario():
        unresponsive = UnresponsiveLeader()
        view = LeaderView()
        handlers = {"work": unresponsive.work}
        async with (
            serve_peers("127.0.0.1:0", handlers) as server,
            PeerPool.open() as pool,
        ):
            port = server.sockets[0].getsockname()[1]
            address = f"127.0.0.1:{port}"
            view.receive(LeaderNotice(1, address, True))
            request = make_request(Verb.SUBMIT, JOB_ID, "q", 600, b"{}")
            asked = asyncio.ensure_future(make_forwarder(view, pool).ask(request))
            while not unresponsive.calls:
                await asyncio.sleep(0.01)
            # Another call timed out, so later calls use a new connection.
            pool.replace_connection(address)
            # The new leader is unreachable.
            view.receive(LeaderNotice(2, "127.0.0.1:9", True))
            assert (await asked).result == WorkResult.UNKNOWN

    asyncio.run(scenario())


def test_a_call_without_a_connection_is_refused():
    async def scenario():
        view = LeaderView()
        async with PeerPool.open() as pool:
            # No server listens on this port.
            view.receive(LeaderNotice(1, "127.0.0.1:9", True))
            request = make_request(Verb.SUBMIT, JOB_ID, "q", 600, b"{}")
            reply = await make_forwarder(view, pool).ask(request)
            assert reply.result == WorkResult.REFUSED

    asyncio.run(scenario())
