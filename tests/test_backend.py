import asyncio

import pytest
from aiohttp import web

from dotterelspread.backend import BackendError, BackendRequest, open_backend
from dotterelspread.outcome import Completed, Refused, Unknown
from standins.backend import BackendServer, make_app


def request(path="visits", body=b"one", is_idempotent=True):
    headers = (("X-Service-Time", "0"),)
    return BackendRequest("r-1", "PUT", path, headers, body, is_idempotent)


def run_with_server(scenario, **settings):
    async def main():
        server = BackendServer(0.0, seed=1)
        server.settings.update(settings)
        runner = web.AppRunner(make_app(server))
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        async with open_backend(f"http://127.0.0.1:{port}", 2) as backend:
            await asyncio.wait_for(scenario(backend, server), 20)
        await runner.cleanup()

    asyncio.run(main())


@pytest.mark.parametrize("is_idempotent", [True, False])
def test_a_complete_answer_is_completed(is_idempotent):
    async def scenario(backend, server):
        assert await backend.is_ready()
        outcome = await backend.run(request(is_idempotent=is_idempotent), 5)
        assert isinstance(outcome, Completed)
        assert (outcome.status, outcome.body) == (200, b"r-1:one")

    run_with_server(scenario)


@pytest.mark.parametrize("is_idempotent", [True, False])
def test_a_truncated_answer_is_unknown_and_run_once(is_idempotent):
    async def scenario(backend, server):
        outcome = await backend.run(request(is_idempotent=is_idempotent), 5)
        assert isinstance(outcome, Unknown)
        assert len(server.history) == 1

    run_with_server(scenario, cut_share=1.0)


def test_no_connection_is_refused_as_not_run():
    async def main():
        async with open_backend("http://127.0.0.1:1", 2) as backend:
            assert not await backend.is_ready()
            assert isinstance(await backend.run(request(), 5), Refused)

    asyncio.run(main())


def test_an_unknown_scheme_names_the_allowed_ones():
    async def main():
        async with open_backend("gopher://127.0.0.1:1", 2):
            pass

    with pytest.raises(BackendError, match="must be one of http"):
        asyncio.run(main())
