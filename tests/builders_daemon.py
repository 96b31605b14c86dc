"""A process with the daemon's HTTP server, and hostile clients of it.

Run as a program it serves an application that holds or counts requests, so that a test
can tell which of them were run.
"""

import asyncio
import json
import sys
import urllib.request
from collections import Counter
from contextlib import asynccontextmanager

import uvloop
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from dotterelspread.httpbody import BodyError, read_body
from dotterelspread.httpproblem import error_response
from dotterelspread.quantities import Address
from dotterelspread.server import serve_http
from dotterelspread.settings import LimitSettings
from standins.site import free_port
from tests.builders_hostile import HostileCrowd

__all__ = ["DaemonTarget", "open_daemon", "read_responses"]

HOST = "127.0.0.1"
#: Body of a response that is larger than what a process may hold for a silent reader.
LARGE_BYTES = 1_048_576
HUGE_BYTES = 16 * LARGE_BYTES
NAP_S = 3.0
HUGE_BODY = bytes(HUGE_BYTES)
START_TIMEOUT_S = 10.0
READ_TIMEOUT_S = 5.0


class CountingApplication:
    """Routes that count the runs of each client, and hold requests until told."""

    def __init__(self, limits):
        self._limits = limits
        self._go = asyncio.Event()
        self._runs_by_client = Counter()
        self._napping = self._max_napping = 0

    def routes(self):
        """Return the Starlette routes."""
        return [
            Route("/quick", self.quick, methods=["GET", "POST"]),
            Route("/wait", self.wait, methods=["GET", "POST"]),
            Route("/nap", self.nap),
            Route("/peak", self.peak),
            Route("/large", self.large),
            Route("/huge", self.huge),
            Route("/go", self.go),
            Route("/runs", self.runs),
        ]

    async def _run(self, request):
        if request.method == "POST":
            await read_body(request, self._limits)
        self._runs_by_client[request.headers.get("x-client", "")] += 1

    async def quick(self, request):
        """Run and answer at once."""
        try:
            await self._run(request)
        except BodyError as error:
            return error_response(error)
        return Response(b"done")

    async def wait(self, request):
        """Run, and answer after `go`."""
        try:
            await self._run(request)
        except BodyError as error:
            return error_response(error)
        await self._go.wait()
        return Response(b"done")

    async def nap(self, request):
        """Answer after a while."""
        self._napping += 1
        self._max_napping = max(self._max_napping, self._napping)
        await asyncio.sleep(NAP_S)
        self._napping -= 1
        return Response(b"done")

    async def peak(self, request):
        """Return the most requests of `nap` that were in progress at once."""
        return Response(str(self._max_napping))

    async def large(self, request):
        """Answer with a body that a silent reader does not take."""
        await self._run(request)
        return Response(bytes(LARGE_BYTES))

    async def huge(self, request):
        """Answer with a body of which the kernels' buffers take only a part."""
        await self._run(request)
        return Response(HUGE_BODY)

    async def go(self, request):
        """Answer the held requests, and hold no more."""
        self._go.set()
        return Response()

    async def runs(self, request):
        """Return the number of runs by client."""
        return JSONResponse(self._runs_by_client)


async def serve(port, options):
    limits = LimitSettings(**options)
    routes = CountingApplication(limits).routes()
    async with serve_http(Address(HOST, port), routes, limits, 1.0):
        await asyncio.Event().wait()


class DaemonTarget:
    """A process that is attacked."""

    def __init__(self, process, port):
        self.process = process
        self.address = f"{HOST}:{port}"

    async def get(self, path):
        """Return the body of an ordinary request on a new connection; None if none."""
        return await asyncio.to_thread(self._get, path)

    def _get(self, path):
        url = f"http://{self.address}{path}"
        try:
            with urllib.request.urlopen(url, timeout=READ_TIMEOUT_S) as response:
                return response.read()
        except OSError:
            return None

    async def runs_by_client(self):
        """Return the number of runs by the client's name."""
        return json.loads(await self.get("/runs"))


@asynccontextmanager
async def open_daemon(**options):
    """Start a process with `LimitSettings`; yield its `DaemonTarget` and a crowd."""
    port = free_port()
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "tests.builders_daemon",
        str(port),
        json.dumps(options),
    )
    target = DaemonTarget(process, port)
    crowd = HostileCrowd(target.address)
    try:
        async with asyncio.timeout(START_TIMEOUT_S):
            while await target.get("/quick") is None:
                await asyncio.sleep(0.05)
        yield target, crowd
    finally:
        await crowd.close()
        if process.returncode is None:
            process.kill()
        await process.wait()


async def read_responses(sock):
    """Return the `(status, body)` of each response until the server closes."""
    reader, writer = await asyncio.open_connection(sock=sock)
    responses = []
    try:
        async with asyncio.timeout(READ_TIMEOUT_S):
            while True:
                responses.append(await _read_response(reader))
    except (asyncio.IncompleteReadError, OSError):
        return responses
    finally:
        writer.transport.abort()


async def _read_response(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    fields = dict(
        line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:] if line
    )
    body = await reader.readexactly(int(fields[b"content-length"]))
    return int(head.split()[1]), body


if __name__ == "__main__":
    uvloop.run(serve(int(sys.argv[1]), json.loads(sys.argv[2])))
