"""The HTTP client against the stand-in log and its faults, without timed waits."""

import asyncio
import contextlib
import gc

import pytest
from aiohttp import web

from dotterelspread.log import TruncatedError
from dotterelspread.logclient import AppendError, LogClient
from standins.log import Faults, LogServer, make_app
from tests.builders_log import INCARNATION, a_record


@contextlib.asynccontextmanager
async def serving(faults=None):
    server = LogServer(faults)
    runner = web.AppRunner(make_app(server), access_log=None, shutdown_timeout=0.01)
    await runner.setup()
    try:
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        host, port = runner.addresses[0]
        yield server, f"http://{host}:{port}"
    finally:
        await runner.cleanup()


async def read_entries(client, stream, count):
    entries = []
    async for batch in client.follow(stream, 0):
        entries += batch.entries
        if len(entries) >= count and batch.caught_up_s is not None:
            return entries
    return entries


def test_concurrent_appends_are_grouped_and_read_in_order():
    async def scenario():
        async with (
            serving() as (server, url),
            LogClient.from_settings(url, 7) as client,
        ):
            offsets = await asyncio.gather(
                *(client.append("s", a_record(n)) for n in range(5))
            )
            assert offsets == [0] * 5
            entries = await read_entries(client, "s", 5)
            assert [entry.envelope.record for entry in entries] == [
                a_record(n) for n in range(5)
            ]
            assert {entry.envelope.writer for entry in entries} == {INCARNATION}

    asyncio.run(scenario())


def test_a_lost_reply_is_settled_by_reading_back():
    async def scenario():
        async with (
            serving() as (server, url),
            LogClient.from_settings(url, 7) as client,
        ):
            await client.append("s", a_record(0))
            server.set_faults(Faults(lose_replies=1))
            assert await client.append("s", a_record(1)) == 1
            assert len(server.streams.streams_by_name["s"].records) == 2

    asyncio.run(scenario())


def test_an_append_cancelled_before_it_is_sent_is_absent():
    async def scenario():
        async with (
            serving() as (server, url),
            LogClient.from_settings(url, 7) as client,
        ):
            with pytest.raises(AppendError) as unsent:
                await client.append("s", a_record(0), timeout_s=0.0)
            assert unsent.value.is_absent

    asyncio.run(scenario())


def test_a_cancelled_append_leaves_nothing_behind():
    async def scenario():
        faults = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda loop, context: faults.append(context))
        async with serving() as (_, url), LogClient.from_settings(url, 7) as client:
            append = asyncio.ensure_future(client.append("s", a_record(0)))
            await asyncio.sleep(0)
            append.cancel()
            await asyncio.gather(append, return_exceptions=True)
            assert append.cancelled()
            del append
            assert await client.append("s", a_record(1)) == 0
        gc.collect()
        assert not faults

    asyncio.run(scenario())


def test_truncation_and_malformed_records():
    async def scenario():
        async with (
            serving() as (server, url),
            LogClient.from_settings(url, 7) as client,
        ):
            await client.append("s", a_record(0))
            server.streams.append("s", [b"\xc1", b"\x93\x01"], 0.0)
            await client.append("s", a_record(1))
            entries = await read_entries(client, "s", 2)
            assert [entry.offset for entry in entries] == [0, 3]
            server.set_faults(Faults(retention_count=1))
            with pytest.raises(TruncatedError) as truncated:
                await read_entries(client, "s", 1)
            assert truncated.value.oldest == 3

    asyncio.run(scenario())
