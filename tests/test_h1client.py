"""The HTTP/1.1 client on connections that fail."""

import asyncio
from contextlib import asynccontextmanager

import pytest

from dotterelspread.h1client import H1Client, H1LostError
from dotterelspread.h1server import H1Response, listen_h1
from standins.relaycore import Relay
from standins.site import free_port

HOST = "127.0.0.1"
TIMEOUT_S = 0.2


async def answer(request):
    """Answer after a delay, so that concurrent calls need separate connections."""
    await asyncio.sleep(0.02)
    return H1Response(200, b"{}")


@asynccontextmanager
async def open_relayed_client():
    """Yield a client and the relay between it and its server."""
    inner, port = f"{HOST}:{free_port()}", free_port()
    relay = Relay(inner)
    client = H1Client(f"{HOST}:{port}")
    async with (
        listen_h1(inner, answer),
        await asyncio.start_server(relay.accept, HOST, port),
    ):
        try:
            yield client, relay
        finally:
            client.close()
            relay.apply("cut")
            # Let the relay handle the closing of its connections.
            await asyncio.sleep(0.02)


async def call(client):
    return (await client.call("GET", "/", TIMEOUT_S)).status


def test_after_a_lost_call_no_earlier_connection_is_used():
    async def scenario():
        async with open_relayed_client() as (client, relay):
            assert await asyncio.gather(*(call(client) for _ in range(3))) == [200] * 3
            # All open connections stop responding for good; new ones work.
            relay.apply("silence")
            relay.apply("pass")
            with pytest.raises(H1LostError):
                await call(client)
            assert await call(client) == 200

    asyncio.run(scenario())


def test_after_a_lost_call_a_connection_that_answered_since_is_kept():
    async def scenario():
        async with open_relayed_client() as (client, relay):
            assert await call(client) == 200
            relay.apply("silence")
            relay.apply("pass")
            lost = asyncio.ensure_future(call(client))
            await asyncio.sleep(0.05)
            assert await call(client) == 200
            with pytest.raises(H1LostError):
                await lost
            opened = client.opened_connections
            assert await call(client) == 200
            assert client.opened_connections == opened

    asyncio.run(scenario())


def test_an_idle_connection_that_is_too_old_does_not_count(monkeypatch):
    async def scenario():
        async with open_relayed_client() as (client, _):
            await call(client)
            assert client.is_connected
            monkeypatch.setattr("dotterelspread.h1client.MAX_IDLE_S", 0.0)
            # The next call would open a new connection.
            assert not client.is_connected
            opened = client.opened_connections
            await call(client)
            assert client.opened_connections == opened + 1

    asyncio.run(scenario())
