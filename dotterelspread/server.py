"""HTTP server that runs on the event loop of the process."""

import asyncio
from contextlib import asynccontextmanager, nullcontext
from functools import partial

import uvicorn
from starlette.applications import Starlette

from .httpprotocol import BoundedProtocol

__all__ = ["ServerError", "serve_http"]

#: Interval at which the server is polled until it has started.
START_POLL_INTERVAL_S = 0.01


class ServerError(Exception):
    """The server could not listen on its address."""


class _Server(uvicorn.Server):
    """A uvicorn server that leaves signal handling to the daemon."""

    def capture_signals(self):
        return nullcontext()


@asynccontextmanager
async def serve_http(address, routes, limits, drain_timeout_s):
    """Serve ``routes`` at ``address`` while the context is open.

    On exit, requests in progress are given ``drain_timeout_s`` seconds to finish.

    Raises
    ------
    ServerError
        When the address cannot be bound.
    """
    config = uvicorn.Config(
        Starlette(routes=list(routes)),
        host=address.host,
        port=address.port,
        http=partial(BoundedProtocol, limits),
        log_config=None,
        access_log=False,
        lifespan="off",
        server_header=False,
        limit_concurrency=limits.max_connections,
        timeout_keep_alive=round(limits.idle_timeout_s),
        timeout_graceful_shutdown=round(drain_timeout_s),
    )
    server = _Server(config)
    task = asyncio.ensure_future(_serve(server))
    while not server.started and not task.done():
        await asyncio.sleep(START_POLL_INTERVAL_S)
    if task.done():
        raise ServerError(f"cannot listen on {address}") from task.exception()
    try:
        yield server
    finally:
        server.should_exit = True
        await task


async def _serve(server):
    # uvicorn exits the whole process when it cannot bind the address.
    try:
        await server.serve()
    except SystemExit as error:
        raise ServerError("address could not be bound") from error
