"""Clients that do not respect limits exhaust no daemon, and refusals to them are true.

Each test starts a process with the daemon's server and lowered limits, attacks it, and
checks that it is alive, that its memory and its descriptors stayed under those of its
settings, and that it serves an ordinary request afterwards. Crowds and bounds were
fixed before the server was changed. No check depends on the speed of the machine.
"""

import asyncio
import json

import pytest

from tests.builders_daemon import open_daemon, read_responses
from tests.builders_hostile import (
    chunked_head,
    count_descriptors,
    make_chunks,
    read_memory_mb,
    watch_memory,
)

#: Memory of the instance in the settings, and bound on the process's peak.
MEMORY_MB = 100
#: Descriptors in the settings, and bound on the process's.
MAX_FDS = 1024
FEW_FDS = 256
#: Descriptors above those of the idle process after hostile clients are gone.
SPARE_FDS = 10
#: Duration of an attack whose clients do not end by themselves.
ATTACK_S = 2.0
MAX_BODY_BYTES = 262_144
#: Most that a client may get rid of before the first byte of a request, with the
#: buffers of both kernels.
MAX_EMPTY_BYTES = 16 * 1024 * 1024
LIMITS = {
    "max_body": MAX_BODY_BYTES,
    "memory": MEMORY_MB * 1_000_000,
    "max_fds": MAX_FDS,
    "header_timeout_s": 1.0,
    "body_timeout_s": 2.0,
    "idle_timeout_s": 1.0,
}


async def check(target, max_fds=MAX_FDS):
    """Check the process against its bounds and ask it one ordinary request."""
    assert target.process.returncode is None
    peak_mb = read_memory_mb(target.process.pid)
    descriptors = count_descriptors(target.process.pid)
    print(f"peak {peak_mb:.0f} MB, {descriptors} descriptors")
    assert peak_mb < MEMORY_MB
    assert descriptors < max_fds
    async with asyncio.timeout(15):
        while await target.get("/quick") != b"done":
            await asyncio.sleep(0.1)
    assert target.process.returncode is None


async def attack(target, crowd, count, behaviour, max_fds=MAX_FDS):
    crowd.start(count, behaviour)
    await watch_memory(target.process, MEMORY_MB, ATTACK_S)
    await check(target, max_fds)


async def wait_closed(target, idle_descriptors):
    """Wait until the connections of hostile clients have been closed."""
    async with asyncio.timeout(10):
        while count_descriptors(target.process.pid) > idle_descriptors + SPARE_FDS:
            await asyncio.sleep(0.1)


async def check_refusals(target, crowd):
    """Check the responses to clients that named themselves by `name_of`.

    Returns the number of requests that were refused.
    """
    responses = await asyncio.gather(*(read_responses(sock) for sock in crowd.sockets))
    runs_by_client = await target.runs_by_client()
    refused_count = 0
    for sock, found in zip(crowd.sockets, responses, strict=True):
        answered = [status for status, _ in found if status == 200]
        refusals = [json.loads(body) for status, body in found if status != 200]
        assert all(refusal["executed"] == "no" for refusal in refusals)
        assert len(refusals) <= 1
        refused_count += len(refusals)
        if refusals:
            # Each request before the refused one was answered, and that one not run.
            assert runs_by_client.get(name_of(sock), 0) == len(answered)
    return refused_count


def name_of(sock):
    return str(sock.fileno())


def get(sock, path):
    return (
        f"GET {path} HTTP/1.1\r\nHost: a\r\nX-Client: {name_of(sock)}\r\n\r\n".encode()
    )


def endless(path):
    async def behaviour(crowd, sock):
        await crowd.send_endlessly(sock, get(sock, path) * 500)

    return behaviour


def unfinished(data):
    """Return a client that sends ``data`` after a head that names it."""

    async def behaviour(crowd, sock):
        name = f"\r\nX-Client: {name_of(sock)}\r\n".encode()
        await crowd.send(sock, data.replace(b"\r\n", name, 1))

    return behaviour


def several(path):
    """Return a client that sends so many requests that the kernels' buffers fill."""

    async def behaviour(crowd, sock):
        await crowd.send(sock, get(sock, path) * 16)

    return behaviour


@pytest.mark.parametrize("send", [endless, several])
def test_peers_that_never_read_their_responses_are_closed(send):
    async def scenario():
        async with open_daemon(**LIMITS) as (target, crowd):
            idle_descriptors = count_descriptors(target.process.pid)
            await attack(target, crowd, 20, send("/large"))
            await wait_closed(target, idle_descriptors)
            await check(target)

    asyncio.run(scenario())


def test_unread_responses_that_hold_the_budget_leave_room_for_ordinary_callers():
    limits = LIMITS | {"memory": 20_000_000, "idle_timeout_s": 60.0}

    async def scenario():
        async with open_daemon(**limits) as (target, crowd):
            # 16 MiB each, of which the kernels take a part; the budget is 9 MB.
            await attack(target, crowd, 10, endless("/huge"))

    asyncio.run(scenario())


def test_requests_without_end_are_not_read_while_a_handler_waits():
    async def scenario():
        async with open_daemon(**LIMITS) as (target, crowd):
            await attack(target, crowd, 20, endless("/wait"))
            # Nothing but the first request of each has begun.
            runs_by_client = await target.runs_by_client()
            assert all(runs == 1 for name, runs in runs_by_client.items() if name)
            # What is held is neither lost nor run twice.
            await target.get("/go")
            await check(target)

    asyncio.run(scenario())


def test_pipelined_requests_behind_one_in_progress_are_all_answered():
    async def behaviour(crowd, sock):
        await crowd.send(sock, get(sock, "/wait") * 100)

    async def scenario():
        async with open_daemon(**LIMITS | {"idle_timeout_s": 5.0}) as (target, crowd):
            crowd.start(20, behaviour)
            await crowd.wait()
            await asyncio.sleep(0.5)
            await target.get("/go")
            async with asyncio.timeout(10):
                while sum((await target.runs_by_client()).values()) < 2000:
                    await asyncio.sleep(0.1)
            await check(target)

    asyncio.run(scenario())


def test_a_body_of_tiny_chunks_costs_no_more_than_its_bytes():
    data = chunked_head("/quick") + make_chunks(2, MAX_BODY_BYTES - 2)

    async def scenario():
        async with open_daemon(**LIMITS) as (target, crowd):
            await attack(target, crowd, 60, unfinished(data))
            assert await check_refusals(target, crowd) == 60

    asyncio.run(scenario())


def test_many_bodies_that_stop_short_stay_in_the_budget():
    head = f"POST /quick HTTP/1.1\r\nContent-Length: {MAX_BODY_BYTES}\r\n\r\n"
    data = head.encode() + b"x" * (MAX_BODY_BYTES - 1)

    async def scenario():
        async with open_daemon(**LIMITS) as (target, crowd):
            await attack(target, crowd, 600, unfinished(data))
            assert await check_refusals(target, crowd) > 0

    asyncio.run(scenario())


def test_empty_lines_without_end_are_refused():
    async def behaviour(crowd, sock):
        await crowd.send_endlessly(sock, b"\r\n" * 4096)

    async def scenario():
        async with open_daemon(**LIMITS) as (target, crowd):
            await attack(target, crowd, 60, behaviour)
            assert max(crowd.sent_bytes_by_socket.values()) < MAX_EMPTY_BYTES

    asyncio.run(scenario())


def test_trailers_without_end_are_refused():
    async def behaviour(crowd, sock):
        head = chunked_head("/quick") + b"1\r\na\r\n0\r\n"
        await unfinished(head)(crowd, sock)
        await crowd.send_endlessly(sock, b"X: y\r\n" * 1000)

    async def scenario():
        async with open_daemon(**LIMITS) as (target, crowd):
            await attack(target, crowd, 60, behaviour)
            assert max(crowd.sent_bytes_by_socket.values()) < MAX_EMPTY_BYTES
            assert set(await target.runs_by_client()) == {""}

    asyncio.run(scenario())


def test_slow_heads_are_refused():
    async def behaviour(crowd, sock):
        await crowd.send(sock, get(sock, "/quick")[:-2] + b"X: ")
        while True:
            await asyncio.sleep(0.2)
            await crowd.send(sock, b"x")

    async def scenario():
        async with open_daemon(**LIMITS) as (target, crowd):
            idle_descriptors = count_descriptors(target.process.pid)
            await attack(target, crowd, 200, behaviour)
            await wait_closed(target, idle_descriptors)
            assert set(await target.runs_by_client()) == {""}

    asyncio.run(scenario())


def test_silent_connections_leave_room_for_ordinary_callers():
    async def behaviour(crowd, sock):
        await asyncio.sleep(3600)

    limits = LIMITS | {"max_fds": FEW_FDS, "header_timeout_s": 60.0}
    limits |= {"idle_timeout_s": 60.0}

    async def scenario():
        async with open_daemon(**limits) as (target, crowd):
            await attack(target, crowd, 600, behaviour, FEW_FDS)

    asyncio.run(scenario())


def test_connections_of_one_address_are_bounded():
    async def behaviour(crowd, sock):
        await asyncio.sleep(3600)

    async def scenario():
        limits = LIMITS | {"max_connections_per_address": 10}
        async with open_daemon(**limits) as (target, crowd):
            idle_descriptors = count_descriptors(target.process.pid)
            crowd.start(100, behaviour)
            await asyncio.sleep(0.5)
            assert count_descriptors(target.process.pid) <= idle_descriptors + 10
            await check(target)

    asyncio.run(scenario())


def test_callers_that_disconnect_leave_no_more_requests_than_connections():
    async def behaviour(crowd, sock):
        await crowd.send(sock, get(sock, "/nap"))
        await asyncio.sleep(0.5)
        sock.close()

    async def scenario():
        async with open_daemon(**LIMITS | {"max_connections": 50}) as (target, crowd):
            for _ in range(5):
                crowd.start(40, behaviour)
                await crowd.wait()
            # Requests whose callers are gone run on, and count as connections.
            await check(target)
            assert 0 < int(await target.get("/peak")) <= 50

    asyncio.run(scenario())
