"""Stand-in for the platform's log over HTTP, with fault injection.

Run ``python -m standins.log --port 7000``; ``POST /control`` takes the fields of
`Faults` as JSON, and ``GET /control`` returns them. See ``docs/PLATFORM.md``.
"""

import argparse
import asyncio
import time

import msgspec
from aiohttp import web

from dotterelspread.log import TruncatedError
from dotterelspread.logs.http import RecordsPage, StreamExtent
from dotterelspread.logs.memory import MemoryStreams

__all__ = ["Faults", "LogServer", "make_app"]

#: Interval at which a waiting read checks for records.
POLL_INTERVAL_S = 0.005
MAX_BODY_BYTES = 4 << 20


class Faults(msgspec.Struct, omit_defaults=False):
    """Faults that the stand-in injects."""

    #: Close each connection on its first byte without handling a request.
    down: bool = False
    #: Latency added to each append in ms, half before and half after its write.
    slow_ms: float = 0.0
    #: Number of next appends that are written but get no reply.
    lose_replies: int = 0
    #: Milliseconds until a written record is visible to readers.
    read_lag_ms: float = 0.0
    #: Retention of each stream in seconds and in records; None keeps all.
    retention_s: float | None = None
    retention_count: int | None = None


class LogServer:
    """Request handlers of the stand-in."""

    __slots__ = ("faults", "streams")

    def __init__(self, faults=None):
        self.streams = MemoryStreams()
        self.set_faults(faults or Faults())

    def set_faults(self, faults):
        """Replace the injected faults."""
        self.faults = faults
        self.streams.retention_s = faults.retention_s
        self.streams.retention_count = faults.retention_count
        self.streams.read_lag_s = faults.read_lag_ms / 1000

    async def append(self, request):
        """Handle ``POST /v1/streams/{name}/records``."""
        try:
            records = msgspec.msgpack.decode(await request.read(), type=list[bytes])
        except msgspec.DecodeError:
            return web.Response(status=400)
        await asyncio.sleep(self.faults.slow_ms / 2000)
        name = request.match_info["name"]
        extent = self.streams.append(name, records, time.monotonic())
        await asyncio.sleep(self.faults.slow_ms / 2000)
        if self.faults.lose_replies > 0:
            self.faults.lose_replies -= 1
            return _abort(request)
        return _reply(StreamExtent(extent.first, extent.next))

    async def read(self, request):
        """Handle ``GET /v1/streams/{name}/records``."""
        try:
            from_offset = int(request.query.get("from", 0))
            until_s = time.monotonic() + int(request.query.get("wait_ms", 0)) / 1000
            max_bytes = int(request.query.get("max_bytes", 1 << 16))
        except ValueError:
            return web.Response(status=400)
        name = request.match_info["name"]
        while not self.faults.down:
            now_s = time.monotonic()
            try:
                reply = self.streams.read(name, from_offset, max_bytes, now_s)
            except TruncatedError:
                extent = self.streams.extent(name, now_s)
                return _reply(StreamExtent(extent.first, extent.next), status=410)
            if reply.records or now_s >= until_s:
                found = tuple((record.offset, record.data) for record in reply.records)
                page = RecordsPage(reply.extent.first, reply.extent.next, found)
                return _reply(page)
            await asyncio.sleep(min(POLL_INTERVAL_S, until_s - now_s))
        return _abort(request)

    async def extent(self, request):
        """Handle ``GET /v1/streams/{name}``."""
        extent = self.streams.extent(request.match_info["name"], time.monotonic())
        return _reply(StreamExtent(extent.first, extent.next))

    async def control(self, request):
        """Handle ``/control``: set or return the injected faults."""
        if request.method == "POST":
            body = await request.read()
            fields = msgspec.to_builtins(self.faults) | msgspec.json.decode(body)
            self.set_faults(msgspec.convert(fields, Faults))
        return web.Response(body=msgspec.json.encode(self.faults))


def _reply(message, status=200):
    return web.Response(status=status, body=msgspec.msgpack.encode(message))


def _abort(request):
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=503)


def make_app(server):
    """Return the web application that serves ``server``."""

    @web.middleware
    async def refuse_when_down(request, handler):
        if server.faults.down and request.path != "/control":
            return _abort(request)
        return await handler(request)

    app = web.Application(
        middlewares=[refuse_when_down], client_max_size=MAX_BODY_BYTES
    )
    app.router.add_post("/v1/streams/{name}/records", server.append)
    app.router.add_get("/v1/streams/{name}/records", server.read)
    app.router.add_get("/v1/streams/{name}", server.extent)
    app.router.add_route("*", "/control", server.control)
    return app


def main():
    """Serve a log until interrupted."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    arguments = parser.parse_args()
    web.run_app(make_app(LogServer()), host=arguments.host, port=arguments.port)


if __name__ == "__main__":
    main()
