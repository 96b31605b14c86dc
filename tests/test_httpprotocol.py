"""Limits on callers' connections: size of heads and requests, time, what is held."""

import asyncio

import pytest

from dotterelspread.h1connection import READ_BYTES
from dotterelspread.httpprotocol import MAX_HEAD_BYTES
from dotterelspread.server import make_shed_log
from tests.builders_httpserver import (
    CHUNKED,
    HEAD,
    WAIT,
    WHOLE,
    read_response,
    refusal,
    run_server,
)

__all__ = ["run_server"]


@pytest.mark.parametrize("unit", [b"a" * 1000, b"a: b\r\n" * 100], ids=["one", "many"])
def test_a_head_that_is_too_large_is_refused(run, unit):
    start = HEAD + (b"X: " if b"\n" not in unit else b"")
    data = start + unit * (MAX_HEAD_BYTES // len(unit) + 1)

    async def scenario(server):
        assert refusal(await server.ask(data)) == "too-large"
        assert server.runs == 0

    run(scenario)


@pytest.mark.parametrize("tail", [b"X: " + b"a" * 100_000, b"X: a\r\n" * 10_000])
def test_a_trailer_without_end_is_refused_and_not_run(run, tail):
    async def scenario(server):
        assert refusal(await server.ask(CHUNKED + tail)) == "too-large"
        assert server.runs == 0

    run(scenario)


def test_a_body_that_is_too_large_is_refused_before_it_is_sent(run):
    head = HEAD + b"Expect: 100-continue\r\nContent-Length: 1025\r\n\r\n"

    async def scenario(server):
        assert refusal(await server.ask(head)) == "too-large"
        chunks = HEAD + b"Transfer-Encoding: chunked\r\n\r\n401\r\n" + b"x" * 0x401
        assert refusal(await server.ask(chunks)) == "too-large"
        assert server.runs == 0

    run(scenario)


@pytest.mark.parametrize("data", [HEAD, WHOLE[:-1]], ids=["head", "body"])
def test_a_request_that_times_out_is_refused(run, data):
    async def scenario(server):
        assert refusal(await server.ask(data)) == "bad-request"
        assert server.runs == 0

    run(scenario, header_timeout_s=0.2, body_timeout_s=0.3)


def test_a_slow_body_within_its_time_is_served(run):
    async def scenario(server):
        reader, writer = await server.connect()
        for byte in WHOLE:
            writer.write(bytes([byte]))
            await asyncio.sleep(0.005)
        assert await read_response(reader) == (b"200", b"done")
        writer.close()

    run(scenario, header_timeout_s=5.0, body_timeout_s=5.0)


@pytest.mark.parametrize("data", [b"", b"\r\n"])
def test_an_idle_connection_is_closed_without_a_response(run, data):
    async def scenario(server):
        assert await server.ask(data) == b""

    run(scenario, header_timeout_s=0.2, idle_timeout_s=60.0)


@pytest.mark.parametrize(
    "data", [b"\x16\x03\x01\x02", b"GET http://[ HTTP/1.1\r\nHost: a\r\n\r\n"]
)
def test_malformed_http_is_refused(run, data):
    async def scenario(server):
        assert refusal(await server.ask(data)) == "bad-request"

    run(scenario)


def test_whole_requests_are_served_and_leave_no_timer(run):
    async def scenario(server):
        reader, writer = await server.connect()
        for count in (1, 2, 3):
            for part in (WHOLE[:10], WHOLE[10:]):
                writer.write(part)
                await asyncio.sleep(0.15)
            assert await read_response(reader) == (b"200", b"done")
            assert server.runs == count
        # Only the timeout of an idle connection is left.
        assert await reader.read() == b""

    run(scenario, header_timeout_s=0.2, body_timeout_s=0.2)


def test_pipelined_requests_without_end_are_not_collected(run):
    async def scenario(server):
        reader, writer = await server.connect()
        writer.write(WAIT * 50_000)
        await server.until(lambda: server.runs)
        await asyncio.sleep(0.2)
        assert server.runs == 1
        assert server.listener.share.used_bytes <= READ_BYTES + 1000
        writer.transport.abort()
        server.go.set()

    run(scenario)


def test_pipelined_requests_are_answered_one_at_a_time_and_in_order(run):
    async def scenario(server):
        reader, writer = await server.connect()
        writer.write(WAIT * 2000)
        await server.until(lambda: server.runs)
        server.go.set()
        for _ in range(2000):
            assert await read_response(reader) == (b"200", b"done")
        # Requests that arrive while an earlier one of the same read runs.
        server.go.clear()
        writer.write(WAIT * 2)
        await server.until(lambda: server.runs == 2001)
        server.go.set()
        await server.until(lambda: server.runs == 2002)
        server.go.clear()
        writer.write(WAIT)
        await asyncio.sleep(0.1)
        server.go.set()
        assert server.most_running == 1
        writer.close()

    run(scenario, idle_timeout_s=5.0)


def test_connections_above_the_limit_replace_silent_ones(run):
    async def scenario(server):
        busy = [await server.connect() for _ in range(10)]
        for _, writer in busy:
            writer.write(WAIT)
        await server.until(lambda: server.runs == 10)
        silent = [await server.connect() for _ in range(200)]
        assert len(server.listener.connections) <= 100
        # Requests in progress are answered.
        server.go.set()
        for reader, _ in busy:
            assert await read_response(reader) == (b"200", b"done")
        for _, writer in busy + silent:
            writer.close()

    run(scenario, max_connections=100)


def test_a_request_that_holds_the_last_connection_refuses_the_next(run):
    async def scenario(server):
        _, writer = await server.connect()
        writer.write(WAIT)
        await server.until(lambda: server.runs)
        response = await server.ask(b"")
        assert refusal(response) == "shed" and b"retry-after: 1\r\n" in response
        server.go.set()
        writer.close()

    run(scenario, max_connections=1)


@pytest.mark.parametrize("count", [1, 50])
def test_unread_responses_give_way_when_they_hold_the_budget(run, count):
    async def scenario(server):
        peers = [await server.connect() for _ in range(3)]
        for _, writer in peers:
            # A pipelined request behind the unread response makes no difference.
            writer.write(b"GET /big HTTP/1.1\r\nHost: a\r\n\r\n" * count)
        share = server.listener.share
        await server.until(lambda: share.excess_bytes > 0)
        last = b"GET / HTTP/1.1\r\nConnection: close\r\n\r\n"
        while not (await server.ask(last)).endswith(b"done"):
            await asyncio.sleep(0.1)
        for _, writer in peers:
            writer.transport.abort()

    run(scenario, memory=4_000_000, idle_timeout_s=60.0)


def test_a_request_runs_on_when_its_caller_disconnects(run):
    async def scenario(server):
        _, writer = await server.connect()
        writer.write(WAIT)
        await server.until(lambda: server.runs)
        writer.transport.abort()
        await asyncio.sleep(0.1)
        # It is charged and counts as a connection until its end.
        assert server.running == 1
        assert server.listener.share.used_bytes > 0
        assert len(server.listener.connections) == 1
        server.go.set()
        await server.until(lambda: not server.running)

    run(scenario)


def test_a_request_in_progress_is_answered_when_the_server_stops(run):
    async def scenario(server):
        reader, writer = await server.connect()
        writer.write(WAIT)
        await server.until(lambda: server.runs)
        asyncio.get_running_loop().call_later(0.3, server.go.set)
        server.answer_task = asyncio.ensure_future(reader.read())
        server.writer = writer

    servers = []

    async def remember(server):
        servers.append(server)
        await scenario(server)

    run(remember)
    response = servers[0].answer_task.result()
    assert response.endswith(b"done") and b"connection: close" in response


def test_requests_that_do_not_end_are_cancelled_when_the_server_has_stopped(run):
    async def scenario(server):
        _, writer = await server.connect()
        writer.write(WAIT)
        await server.until(lambda: server.runs)
        server.writer = writer

    run(scenario)


def test_unusual_requests_are_answered(run):
    async def scenario(server):
        upgrade = (
            b"GET / HTTP/1.1\r\nConnection: upgrade, close\r\nUpgrade: h2c\r\n\r\n"
        )
        assert (await server.ask(upgrade)).endswith(b"\r\n\r\ndone")
        # A connection of HTTP/1.0 is closed after the response.
        old = b"GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"
        assert b"connection: close" in await server.ask(old)
        head = b"HEAD / HTTP/1.1\r\nConnection: close\r\n\r\n"
        response = await server.ask(head)
        assert b"content-length: 4\r\n" in response and response.endswith(b"\r\n\r\n")
        twice = b"GET / HTTP/1.1\r\nA: 1 \r\na: 2\r\nConnection: close\r\n\r\n"
        await server.ask(twice)
        assert server.requests[-1][0][:2] == [(b"a", b"1"), (b"a", b"2")]
        response = await server.ask(b"GET /fail HTTP/1.1\r\nConnection: close\r\n\r\n")
        assert response.startswith(b"HTTP/1.1 500 ")

    run(scenario)


def test_a_caller_that_expects_an_interim_response_gets_it_once(run):
    async def scenario(server):
        reader, writer = await server.connect()
        writer.write(HEAD + b"Expect: 100-continue\r\nContent-Length: 3\r\n\r\n")
        head = await reader.readuntil(b"\r\n\r\n")
        assert head == b"HTTP/1.1 100 Continue\r\n\r\n"
        for byte in (b"a", b"b", b"c"):
            writer.write(byte)
            await asyncio.sleep(0.02)
        assert await read_response(reader) == (b"200", b"done")
        assert server.requests[-1][1] == b"abc"
        writer.close()

    run(scenario)


def test_refusals_are_counted_by_reason_and_logged_once(run, caplog):
    class Telemetry:
        counts = []

        def count(self, name, reason):
            self.counts.append((name, reason))

    async def scenario(server):
        for _ in range(5):
            await server.ask(b"\x16\x03\x01\x02")

    with caplog.at_level("INFO", "dotterelspread"):
        run(scenario, make_shed_log(Telemetry()))
    assert Telemetry.counts == [("connections_shed", "malformed")] * 5
    lines = [record.msg for record in caplog.records if "reason" in record.msg]
    assert lines == [{"reason": "malformed", "count": 1, "message": "connections shed"}]
