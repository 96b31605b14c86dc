"""A deeply nested answer of the log or of a worker is a failed call, not a fault."""

import asyncio
import contextlib
import time

import aiohttp
import msgspec
import pytest
from aiohttp import web

from dotterelspread.log import LogUnavailableError
from dotterelspread.logs.http import HttpLog
from dotterelspread.worker import WorkerError
from dotterelspread.workers.http import HttpWorker
from tests.builders_invalid import DEEP_JSON, DEEP_MSGPACK

#: A mapping whose first key is ignored and has a deeply nested value.
DEEP_ANSWER = b"\x82" + msgspec.msgpack.encode("other") + DEEP_MSGPACK


@contextlib.asynccontextmanager
async def answering(body):
    """Serve one answer to every request, and yield the address."""

    async def answer(request):
        return web.Response(body=body)

    app = web.Application()
    app.router.add_route("*", "/{path:.*}", answer)
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.01)
    await runner.setup()
    try:
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        host, port = runner.addresses[0]
        yield f"http://{host}:{port}"
    finally:
        await runner.cleanup()


def test_a_deep_page_of_the_log_is_a_failed_read():
    async def scenario():
        async with answering(DEEP_ANSWER) as url, aiohttp.ClientSession() as session:
            log = HttpLog(url, session)
            with pytest.raises(LogUnavailableError):
                await log.read("s", 0, 0.0, 1000)
            with pytest.raises(LogUnavailableError):
                await log.extent("s")

    asyncio.run(scenario())


def test_a_deep_report_of_a_worker_is_a_failed_call():
    async def scenario():
        body = b'{"other":' + DEEP_JSON + b"}"
        async with answering(body) as url, aiohttp.ClientSession() as session:
            with pytest.raises(WorkerError):
                await HttpWorker(session, url, time.time).report()

    asyncio.run(scenario())
