"""The daemon's server in the process of a test, and readers of its responses."""

import asyncio
import json

import pytest
from starlette.responses import PlainTextResponse
from starlette.routing import Route

from dotterelspread.httpprotocol import BoundedListener
from dotterelspread.quantities import Address
from dotterelspread.server import serve_http
from dotterelspread.settings import LimitSettings
from standins.site import free_port

__all__ = ["CHUNKED", "HEAD", "WAIT", "WHOLE", "read_response", "refusal", "run_server"]

HEAD = b"POST / HTTP/1.1\r\nHost: a\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n"
WHOLE = HEAD + b"Content-Length: 3\r\n\r\nabc"
WAIT = b"GET /wait HTTP/1.1\r\nHost: a\r\n\r\n"


BIG_BODY = bytes(32 << 20)


class Server:
    """The daemon's server; requests to ``/wait`` are held until told."""

    def __init__(self, monkeypatch):
        self.port = free_port()
        self.go = asyncio.Event()
        self.runs = self.running = self.most_running = 0
        self.requests = []
        self.listener = None
        made = BoundedListener.make_protocol

        def make_protocol(listener, *args, **options):
            self.listener = listener
            return made(listener, *args, **options)

        monkeypatch.setattr(BoundedListener, "make_protocol", make_protocol)

    def routes(self):
        methods = ["GET", "POST"]
        return [
            Route("/", self.answer, methods=methods),
            Route("/wait", self.wait, methods=methods),
            Route("/big", self.big),
            Route("/fail", self.fail),
        ]

    async def answer(self, request):
        self.runs += 1
        self.requests.append((request.headers.raw, await request.body()))
        return PlainTextResponse("done")

    async def wait(self, request):
        self.runs += 1
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        await self.go.wait()
        await asyncio.sleep(0)
        self.running -= 1
        return PlainTextResponse("done")

    async def big(self, request):
        """Answer with a body of which the kernels' buffers take only a part."""
        return PlainTextResponse(BIG_BODY)

    async def fail(self, request):
        raise ValueError("fault of a handler")

    async def connect(self):
        return await asyncio.open_connection("127.0.0.1", self.port)

    async def ask(self, data):
        """Return everything that the server sends until it closes the connection."""
        reader, writer = await self.connect()
        writer.write(data)
        response = await reader.read()
        writer.close()
        return response

    async def until(self, is_true):
        while not is_true():
            await asyncio.sleep(0.01)


@pytest.fixture(name="run")
def run_server(monkeypatch):
    """Run a scenario against a server with limits."""

    def run_scenario(scenario, shed_log=None, **limits):
        limits = LimitSettings(**{"max_body": 1 << 10, "idle_timeout_s": 0.5} | limits)

        async def main():
            server = Server(monkeypatch)
            address = Address("127.0.0.1", server.port)
            async with (
                asyncio.timeout(15),
                serve_http(address, server.routes(), limits, 1.0, shed_log),
            ):
                await scenario(server)
            await server.until(lambda: not server.listener.connections)
            assert server.listener.share.used_bytes == 0

        asyncio.run(main())

    return run_scenario


def refusal(response):
    head, _, body = response.partition(b"\r\n\r\n")
    assert b"application/problem+json" in head and b"connection: close" in head
    assert json.loads(body)["executed"] == "no"
    return json.loads(body)["reason"]


async def read_response(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    assert b"content-length: 4\r\n" in head
    return head.split()[1], await reader.readexactly(4)
