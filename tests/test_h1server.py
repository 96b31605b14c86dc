"""The HTTP server limits what its connections hold, and its refusals are true."""

import asyncio
import contextlib
import random

from dotterelspread.bytebudget import ByteShare
from dotterelspread.h1connection import READ_BYTES
from dotterelspread.h1server import H1Limits, H1Quota, H1Response, listen_h1
from standins.site import free_port

GET = b"GET /%d HTTP/1.1\r\n\r\n"


def post(body, path="/p"):
    head = f"POST {path} HTTP/1.1\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


class Server:
    """A listener whose handler waits for requests whose path begins with ``/wait``."""

    def __init__(self, limits, max_bytes, max_connections):
        self.share = ByteShare(max_bytes)
        self.limits = limits
        self.quota = H1Quota(self.share, max_connections)
        self.address = ("127.0.0.1", free_port())
        self.go = asyncio.Event()
        self.paths = []
        self.running = 0
        self.body = b"done"
        self.listener = None

    async def handle(self, request):
        self.paths.append(request.path)
        self.running += 1
        try:
            assert self.running <= len(self.listener.connections)
            if request.path.startswith("/wait"):
                await self.go.wait()
            else:
                await asyncio.sleep(0)
        finally:
            # The handler of a lost connection is cancelled.
            self.running -= 1
        return H1Response(200, self.body)

    async def connect(self):
        return await asyncio.open_connection(*self.address)

    async def ask(self, data):
        reader, writer = await self.connect()
        writer.write(data)
        status = await read_status(reader)
        writer.close()
        return status

    async def wait_paths(self, count):
        while len(self.paths) < count:
            await asyncio.sleep(0.01)

    async def wait_closed(self):
        while self.listener.connections:
            await asyncio.sleep(0.01)


def run(scenario, limits=None, max_bytes=1_000_000, max_connections=100):
    async def main():
        server = Server(limits or H1Limits(), max_bytes, max_connections)
        host, port = server.address
        async with (
            asyncio.timeout(10),
            listen_h1(
                f"{host}:{port}", server.handle, server.limits, server.quota
            ) as listener,
        ):
            server.listener = listener
            await scenario(server)
        while server.listener.connections:
            await asyncio.sleep(0.01)
        assert server.share.used_bytes == 0

    asyncio.run(main())


async def read_status(reader):
    """Return the status of the next response, 0 if there is none."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return 0
    for line in head.split(b"\r\n"):
        if line.startswith(b"Content-Length: "):
            await reader.readexactly(int(line[16:]))
    return int(head.split()[1])


def test_an_ordinary_connection_is_kept_alive():
    async def scenario(server):
        reader, writer = await server.connect()
        for number in range(3):
            # Some clients send an empty line after a body.
            writer.write(post(b"x", f"/{number}") + b"\r\n")
            assert await read_status(reader) == 200
        assert server.paths == ["/0", "/1", "/2"]
        writer.write(b"GET / HTTP/1.1\r\nConnection: close\r\n\r\n")
        assert await read_status(reader) == 200
        # The idle timeout, 15 s, is longer than the test.
        assert await reader.read() == b""

    run(scenario)


def test_an_empty_line_after_a_request_leaves_the_connection_idle():
    async def ask(server):
        reader, writer = await server.connect()
        writer.write(post(b"x") + b"\r\n")
        assert await read_status(reader) == 200
        return reader, writer

    async def scenario(server):
        # The idle timeout applies.
        reader, _ = await ask(server)
        assert await asyncio.wait_for(reader.read(), 2) == b""
        server.limits.idle_timeout_s = 15
        # The connection makes room, and its empty line is not charged.
        first = await ask(server)
        second = await ask(server)
        assert server.share.used_bytes == 0
        third = await ask(server)
        assert await asyncio.wait_for(first[0].read(), 2) == b""
        # A drain does not wait for it.
        assert await asyncio.wait_for(server.listener.drain(10), 2) == 0
        for reader, _ in (second, third):
            assert await reader.read() == b""

    run(scenario, H1Limits(idle_timeout_s=0.2), max_connections=2)


def test_pipelined_requests_run_one_at_a_time_and_are_answered_in_order():
    async def scenario(server):
        reader, writer = await server.connect()
        count = 3000
        writer.write(b"".join(GET % number for number in range(count)) * 2)
        for _ in range(2 * count):
            assert await read_status(reader) == 200
        assert server.paths == [f"/{number}" for number in range(count)] * 2

    run(scenario)


def test_no_more_than_one_read_is_held_while_a_request_is_in_progress():
    async def scenario(server):
        reader, writer = await server.connect()
        writer.write(b"GET /wait HTTP/1.1\r\n\r\n" + GET % 1 * 200_000)
        await server.wait_paths(1)
        await asyncio.sleep(0.2)
        assert 0 < server.share.used_bytes < 2 * READ_BYTES
        assert server.paths == ["/wait"]
        server.go.set()
        for _ in range(1000):
            assert await read_status(reader) == 200
        writer.transport.abort()
        await server.wait_closed()

    run(scenario)


def test_a_refusal_is_true_when_requests_in_progress_hold_the_budget():
    async def scenario(server):
        clients = [await server.connect() for _ in range(4)]
        for _, writer in clients:
            writer.write(post(b"x" * 240_000, "/wait"))
        await server.wait_paths(4)
        reader, writer = await server.connect()
        writer.write(post(b"x" * 240_000, "/refused"))
        head = await reader.readuntil(b"\r\n\r\n")
        assert b" 503 " in head and b"Retry-After: 1" in head
        assert await server.ask(GET % 1) == 200
        server.go.set()
        for reader, _ in clients:
            assert await read_status(reader) == 200
        assert "/refused" not in server.paths
        assert await server.ask(post(b"x" * 240_000, "/served")) == 200

    run(scenario)


def test_the_largest_unfinished_request_is_shed_and_others_are_served():
    async def scenario(server):
        sizes = [100_000, 250_000, 200_000, 150_000, 200_000]
        clients = [await server.connect() for _ in sizes]
        for (_, writer), size in zip(clients, sizes, strict=True):
            writer.write(post(b"x" * size)[:-1])
            await writer.drain()
            await asyncio.sleep(0.05)
        assert await server.ask(post(b"x" * 200_000, "/ordinary")) == 200
        assert await read_status(clients[1][0]) == 503
        for number in (0, 2, 3, 4):
            clients[number][1].write(b"x")
            assert await read_status(clients[number][0]) == 200
        assert len(server.paths) == 5

    run(scenario)


def test_an_unfinished_request_is_shed_before_a_larger_complete_one():
    async def scenario(server):
        clients = [await server.connect() for _ in range(4)]
        for _, writer in clients:
            writer.write(post(b"x" * 200_000)[:-1])
        await asyncio.sleep(0.1)
        reader, writer = await server.connect()
        data = post(b"x" * 210_000, "/complete")
        writer.write(data[:150_000])
        await asyncio.sleep(0.1)
        # The share is exceeded by the read that completes the request.
        writer.write(data[150_000:])
        assert await read_status(reader) == 200
        assert server.paths == ["/complete"]

    run(scenario)


def test_a_request_in_progress_is_answered_when_what_follows_it_is_shed():
    async def scenario(server):
        reader, writer = await server.connect()
        writer.write(b"GET /wait HTTP/1.1\r\n\r\n" + post(b"x" * 60_000, "/never"))
        await server.wait_paths(1)
        assert await server.ask(post(b"x" * 50_000, "/ordinary")) == 200
        server.go.set()
        assert await read_status(reader) == 200
        assert await reader.read() == b""
        assert server.paths == ["/wait", "/ordinary"]

    run(scenario, max_bytes=100_000)


def test_heads_and_bodies_that_stop_are_refused():
    async def scenario(server):
        assert await server.ask(b"GET / HTTP/1.1\r\nX: ") == 408
        assert await server.ask(post(b"x" * 5000)[:-1]) == 408
        assert server.paths == []

    run(scenario, H1Limits(read_timeout_s=0.1))


def test_a_body_that_arrives_fast_enough_may_take_longer_than_a_head():
    async def scenario(server):
        reader, writer = await server.connect()
        data = post(b"x" * 50_000)
        for at in range(0, len(data), 2000):
            writer.write(data[at : at + 2000])
            await asyncio.sleep(0.02)
        assert await read_status(reader) == 200

    run(scenario, H1Limits(read_timeout_s=0.2, min_body_bytes_per_s=1000))


def test_a_refused_client_that_sends_on_can_read_the_response():
    async def scenario(server):
        reader, writer = await server.connect()
        writer.write(post(b"x" * 900_000))
        await writer.drain()
        assert await read_status(reader) == 413
        reader, writer = await server.connect()
        with contextlib.suppress(ConnectionError):
            while True:
                writer.write(b"\r\n" * 30_000)
                await writer.drain()

    run(scenario)


def test_connections_of_one_address_are_limited_where_it_is_configured():
    async def scenario(server):
        clients = [await server.connect() for _ in range(5)]
        server.limits.max_connections_per_address = 2
        clients += [await server.connect() for _ in range(2)]
        reader, _ = await server.connect()
        assert await read_status(reader) == 429
        clients[-1][1].close()
        while len(server.listener.connections) > 6:
            await asyncio.sleep(0.01)
        assert await server.ask(GET % 1) == 200

    run(scenario)


def test_idle_connections_make_room_and_busy_ones_do_not():
    async def scenario(server):
        silent = [await server.connect() for _ in range(2)]
        used = await server.connect()
        used[1].write(GET % 1)
        assert await read_status(used[0]) == 200
        silent.append(await server.connect())
        # The silent connection that was opened first has made room.
        busy = [await server.connect()]
        assert await silent[0][0].read() == b""
        busy += [await server.connect() for _ in range(2)]
        for _, writer in busy:
            writer.write(b"GET /wait HTTP/1.1\r\n\r\n")
        await server.wait_paths(1 + len(busy))
        used[1].write(GET % 2)
        assert await read_status(used[0]) == 200
        busy.append(await server.connect())
        assert await used[0].read() == b""
        busy[-1][1].write(b"GET /wait HTTP/1.1\r\n\r\n")
        await server.wait_paths(2 + len(busy))
        reader, _ = await server.connect()
        assert await read_status(reader) == 503
        server.go.set()
        for reader, _ in busy:
            assert await read_status(reader) == 200

    run(scenario, max_connections=4)


def test_a_burst_of_connections_makes_room_for_each_of_them():
    async def scenario(server):
        clients = await asyncio.gather(*(server.connect() for _ in range(60)))
        while len(server.listener.connections) > 10:
            await asyncio.sleep(0.01)
        closed = [reader.at_eof() for reader, _ in clients]
        assert closed.count(False) >= 10
        assert await server.ask(GET % 1) == 200

    run(scenario, max_connections=10)


def test_an_old_unfinished_request_makes_room():
    async def scenario(server):
        slow = [await server.connect() for _ in range(2)]
        for _, writer in slow:
            writer.write(b"GET / HTTP/1.1\r\nX: ")
        await asyncio.sleep(1.1)
        assert await server.ask(GET % 1) == 200
        assert await read_status(slow[0][0]) == 503

    run(scenario, max_connections=2)


def test_a_peer_that_does_not_read_is_disconnected():
    async def scenario(server):
        server.body = b"x" * 8_000_000
        reader, writer = await server.connect()
        writer.transport.pause_reading()
        writer.write(GET % 1 * 5)
        await server.wait_paths(1)
        await asyncio.sleep(0.05)
        assert server.share.used_bytes > 1_000_000
        await server.wait_closed()
        assert len(server.paths) == 1

    run(scenario, H1Limits(idle_timeout_s=0.5), max_bytes=100_000_000)


def test_a_peer_that_reads_slowly_but_steadily_gets_the_whole_response():
    async def scenario(server):
        server.body = b"x" * 24_000_000
        reader, writer = await server.connect()
        writer.write(GET % 1)
        await server.wait_paths(1)
        started_s = asyncio.get_running_loop().time()
        await reader.readuntil(b"\r\n\r\n")
        for _ in range(240):
            await reader.readexactly(100_000)
            await asyncio.sleep(0.01)
        # Longer than the interval at which the data rate is checked.
        assert asyncio.get_running_loop().time() - started_s > 2.0

    run(scenario, H1Limits(idle_timeout_s=0.8), max_bytes=100_000_000)


def test_a_peer_that_reads_late_gets_all_responses():
    async def scenario(server):
        server.body = b"x" * 8_000_000
        reader, writer = await server.connect()
        writer.transport.pause_reading()
        writer.write(GET % 1 * 3)
        await server.wait_paths(1)
        await asyncio.sleep(0.1)
        assert len(server.paths) == 1
        writer.transport.resume_reading()
        for _ in range(3):
            assert await read_status(reader) == 200

    run(scenario, max_bytes=100_000_000)


def test_a_request_whose_client_has_gone_does_not_count_as_running():
    async def scenario(server):
        _, writer = await server.connect()
        writer.write(b"GET /wait HTTP/1.1\r\n\r\n")
        await server.wait_paths(1)
        writer.transport.abort()
        await server.wait_closed()
        await asyncio.sleep(0)
        assert await server.ask(GET % 1) == 200

    run(scenario)


def test_nothing_is_left_charged_after_random_clients():
    rng = random.Random(5)

    async def client(server):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            reader, writer = await server.connect()
            for _ in range(rng.randrange(1, 6)):
                path = rng.choice(["/a", "/wait"])
                data = post(b"x" * rng.randrange(100_000), path) * rng.randrange(1, 4)
                writer.write(data[: rng.randrange(1, len(data) + 1)])
                await asyncio.sleep(rng.random() * 0.05)
                if rng.random() < 0.5:
                    await asyncio.wait_for(reader.read(1000), 0.05)
            rng.choice([writer.close, writer.transport.abort])()

    async def quiet_client(server):
        with contextlib.suppress(TimeoutError):
            await client(server)

    async def scenario(server):
        clients = [asyncio.ensure_future(quiet_client(server)) for _ in range(150)]
        await asyncio.sleep(0.3)
        server.go.set()
        await asyncio.gather(*clients)
        assert await server.ask(GET % 1) == 200
        await server.wait_closed()

    run(scenario, H1Limits(read_timeout_s=0.2, idle_timeout_s=0.5), 400_000, 40)
