"""Limits on callers' connections: size of heads and requests, and read time."""

import asyncio
import json

import pytest
import uvicorn
from uvicorn.server import ServerState

from dotterelspread.httpprotocol import (
    MAX_HEAD_BYTES,
    MAX_PIPELINED_REQUESTS,
    BoundedProtocol,
)
from dotterelspread.settings import LimitSettings

LIMITS = LimitSettings(max_body=1 << 10, header_timeout_s=5.0)
HEAD = b"POST / HTTP/1.1\r\nHost: a\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n"


class FakeTransport(asyncio.Transport):
    def __init__(self):
        super().__init__()
        self.written = b""
        self.closing = False

    def write(self, data):
        self.written += data

    def close(self):
        self.closing = True

    def is_closing(self):
        return self.closing

    def pause_reading(self):
        pass

    def resume_reading(self):
        pass


class FakeTimer:
    def __init__(self, delay_s, call):
        self.delay_s, self.call, self.is_set = delay_s, call, True

    def cancel(self):
        self.is_set = False


class FakeLoop:
    """Records timers and tasks without running them."""

    def __init__(self):
        self.timers = []
        self.requests = []

    def call_later(self, delay_s, call):
        self.timers.append(FakeTimer(delay_s, call))
        return self.timers[-1]

    def create_task(self, coroutine, **options):
        coroutine.close()
        self.requests.append(asyncio.Future(loop=asyncio.new_event_loop()))
        return self.requests[-1]

    def fire(self):
        for timer in self.timers:
            if timer.is_set:
                timer.is_set = False
                timer.call()


@pytest.fixture
def connection():
    config = uvicorn.Config(lambda scope: None, log_config=None, lifespan="off")
    config.load()
    loop = FakeLoop()
    protocol = BoundedProtocol(
        LIMITS, config=config, server_state=ServerState(), app_state={}, _loop=loop
    )
    protocol.connection_made(FakeTransport())
    return protocol


def feed(connection, start, unit, count):
    """Feed until the connection closes; return the number of bytes it accepted."""
    connection.data_received(start)
    for number in range(count):
        if connection.transport.closing:
            return number * len(unit)
        connection.data_received(unit)
    return count * len(unit)


def refusal(connection):
    assert connection.transport.closing
    head, _, body = connection.transport.written.partition(b"\r\n\r\n")
    assert b"application/problem+json" in head and b"Connection: close" in head
    assert json.loads(body)["executed"] == "no"
    return json.loads(body)["reason"]


@pytest.mark.parametrize("unit", [b"a" * 1000, b"a: b\r\n" * 100], ids=["one", "many"])
def test_a_head_that_is_too_large_is_refused(connection, unit):
    start = HEAD + (b"X: " if b"\n" not in unit else b"")
    assert feed(connection, start, unit, 10_000) <= MAX_HEAD_BYTES + len(unit)
    assert refusal(connection) == "too-large"
    assert connection.loop.requests == []


def test_a_trailer_without_end_closes_the_connection(connection):
    bound = MAX_HEAD_BYTES + 8 * LIMITS.max_body
    assert feed(connection, CHUNKED + b"X: ", b"a" * 1000, 10_000) <= bound + 1000
    assert connection.transport.closing and connection.transport.written == b""


def test_a_head_that_times_out_is_refused(connection):
    connection.data_received(HEAD)
    assert [timer.delay_s for timer in connection.loop.timers] == [5.0]
    connection.loop.fire()
    assert refusal(connection) == "bad-request"


def test_an_idle_connection_is_closed_without_a_response(connection):
    connection.loop.fire()
    assert connection.transport.closing and connection.transport.written == b""


def test_malformed_http_is_refused(connection):
    connection.data_received(b"\x16\x03\x01\x02")
    assert refusal(connection) == "bad-request"


def test_whole_requests_are_served_and_leave_no_timer(connection):
    whole = HEAD + b"Content-Length: 3\r\n\r\nabc"
    for count in (1, 2, 3):
        for part in (whole[:10], whole[10:]):
            connection.data_received(part)
        assert not any(timer.is_set for timer in connection.loop.timers)
        connection.cycle.response_complete = True
        assert len(connection.loop.requests) == count
    connection.loop.fire()
    assert not connection.transport.closing


def test_pipelined_requests_without_end_are_not_collected(connection):
    whole = HEAD + b"Content-Length: 3\r\n\r\nabc"
    connection.data_received(whole * 5000)
    assert connection.transport.closing
    assert len(connection.pipeline) <= MAX_PIPELINED_REQUESTS
    assert len(connection.loop.requests) == 1
    assert connection.transport.written == b""


def test_a_few_pipelined_requests_are_kept(connection):
    whole = HEAD + b"Content-Length: 3\r\n\r\nabc"
    connection.data_received(whole * 10)
    assert not connection.transport.closing
    assert len(connection.pipeline) == 9


def test_connections_far_above_the_limit_are_closed():
    state, protocols = ServerState(), []
    config = uvicorn.Config(lambda scope: None, log_config=None, lifespan="off")
    config.load()
    for _ in range(200):
        protocols.append(
            BoundedProtocol(
                LimitSettings(max_connections=100),
                config=config,
                server_state=state,
                app_state={},
                _loop=FakeLoop(),
            )
        )
        protocols[-1].connection_made(FakeTransport())
    open_count = sum(not protocol.transport.closing for protocol in protocols)
    assert open_count == 100 + 25
    assert not any(protocol.transport.closing for protocol in protocols[:100])
