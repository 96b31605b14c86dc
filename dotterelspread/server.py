"""HTTP server that runs on the event loop of the process."""

import asyncio
from contextlib import asynccontextmanager, nullcontext

import uvicorn
from starlette.applications import Starlette

from .httpprotocol import BoundedListener
from .jsonlog import log_change
from .nodelimits import NodeLimits
from .shedlog import ShedLog

__all__ = ["ServerError", "make_shed_log", "serve_http"]

#: Interval at which the server is polled until it has started.
START_POLL_INTERVAL_S = 0.01


class ServerError(Exception):
    """The server could not listen on its address."""


class _Server(uvicorn.Server):
    """A uvicorn server that leaves signal handling to the daemon."""

    def capture_signals(self):
        return nullcontext()


def make_shed_log(telemetry):
    """Return the `ShedLog` that counts with the telemetry of a daemon."""

    def count(reason):
        telemetry.count("connections_shed", reason=reason)

    def log(reason, count):
        log_change("connections shed", reason=reason, count=count)

    return ShedLog(count=count, log=log)


@asynccontextmanager
async def serve_http(address, routes, limits, drain_timeout_s, shed_log=None):
    """Serve ``routes`` at ``address`` while the context is open.

    On exit, requests in progress are given ``drain_timeout_s`` seconds to finish.

    Parameters
    ----------
    address : Address
    routes : iterable of starlette.routing.BaseRoute
    limits : LimitSettings
    drain_timeout_s : float
    shed_log : ShedLog, optional

    Raises
    ------
    ServerError
        When the address cannot be bound.
    """
    application = Starlette(routes=list(routes))
    node_limits = NodeLimits(limits.memory / 1_000_000, limits.max_fds)
    quota = node_limits.open_sole_quota(limits.max_connections)
    listener = BoundedListener(application, limits, quota, shed_log)
    config = uvicorn.Config(
        application,
        host=address.host,
        port=address.port,
        http=listener.make_protocol,
        log_config=None,
        access_log=False,
        lifespan="off",
        server_header=False,
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
        listener.cancel()


async def _serve(server):
    # uvicorn exits the whole process when it cannot bind the address.
    try:
        await server.serve()
    except SystemExit as error:
        raise ServerError("address could not be bound") from error
