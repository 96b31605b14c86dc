"""Requests are read alike however they are cut, and limits count every byte."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dotterelspread.h1messages import H1Limits
from dotterelspread.h1reader import H1Reader

MESSAGES = [
    b"GET /a%20b?c=d HTTP/1.1\r\nHost: x\r\n\r\n",
    b"\r\n\r\nPOST /b HTTP/1.1\r\nContent-Length: 8\r\n\r\n\r\n\r\n\n\r\n.",
    b"POST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"3;x=y\r\n\r\n\r\r\n2\r\n\n\r\r\n0\r\nTrailer: z\r\n\r\n",
    b"DELETE /d HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
    b"POST /e HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
]
EXPECTED = [
    ("GET", "/a b", {"host": "x"}, b""),
    ("POST", "/b", {"content-length": "8"}, b"\r\n\r\n\n\r\n."),
    ("POST", "/c", {"transfer-encoding": "chunked"}, b"\r\n\r\n\r"),
    ("DELETE", "/d", {"content-length": "0"}, b""),
    ("POST", "/e", {"transfer-encoding": "chunked"}, b""),
]


def read_all(reader, parts):
    """Feed parts as reads of a connection; return requests and the refusal."""
    requests = []
    for part in parts:
        start = 0
        while start < len(part):
            start = reader.feed(part, start, len(part))
            if reader.error_status:
                return requests, reader.error_status
            if reader.is_complete:
                request, _ = reader.take(0.0)
                requests.append(
                    (request.method, request.path, request.headers, request.body)
                )
    return requests, 0


def cut(data, cuts):
    bounds = [0, *sorted(cuts), len(data)]
    return [data[a:b] for a, b in zip(bounds, bounds[1:], strict=False) if a < b]


@settings(max_examples=300, derandomize=True, deadline=None)
@given(st.data())
def test_pipelined_messages_are_read_alike_however_they_are_cut(data):
    wire = b"".join(MESSAGES)
    cuts = data.draw(st.sets(st.integers(1, len(wire) - 1), max_size=12))
    assert read_all(H1Reader(H1Limits()), cut(wire, cuts)) == (EXPECTED, 0)


@pytest.mark.parametrize("size", [1, 2, 3, 5])
def test_messages_in_reads_of_few_bytes_are_read_alike(size):
    wire = b"".join(MESSAGES)
    parts = [wire[at : at + size] for at in range(0, len(wire), size)]
    assert read_all(H1Reader(H1Limits()), parts) == (EXPECTED, 0)


HEAD = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
ANNOUNCED = b"POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n"


@pytest.mark.parametrize(
    ("wire", "status"),
    [
        (b"GET / HTTP/1.1\r\nX: " + b"x" * 300, 431),
        (b"GET / HTTP/1.1\r\n" + b"x: y\r\n" * 60, 431),
        (b"\r\n" * 150, 431),
        (HEAD + b"3e9\r\n" + b"x" * 1001, 413),
        (HEAD + b"1\r\nx\r\n" * 1001, 413),
        (ANNOUNCED, 413),
        (HEAD + b"0\r\n" + b"x: y\r\n" * 60, 431),
        (HEAD + b"0\r\nx: " + b"y" * 300, 431),
        (HEAD + b"1;" + b"x" * 300, 431),
        (HEAD + b"1;xxxxxxxxxxxx\r\nx\r\n" * 600, 413),
        (b"\x16\x03\x01 not http", 400),
        (b"GET / HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\n", 400),
        (b"CONNECT x:1 HTTP/1.1\r\n\r\n", 400),
    ],
)
@pytest.mark.parametrize("size", [7, 100_000])
def test_what_exceeds_a_limit_is_refused(wire, status, size):
    limits = H1Limits(max_head_bytes=250, max_body_bytes=1000)
    parts = [wire[at : at + size] for at in range(0, len(wire), size)]
    assert read_all(H1Reader(limits), parts) == ([], status)


def test_a_request_at_the_limits_is_served():
    limits = H1Limits(max_head_bytes=250, max_body_bytes=1000)
    head = b"POST / HTTP/1.1\r\nContent-Length: 1000\r\nX: "
    head += b"x" * (250 - len(head) - 4) + b"\r\n\r\n"
    requests, status = read_all(H1Reader(limits), [head + b"y" * 1000])
    assert status == 0
    assert requests[0][3] == b"y" * 1000
    chunked = HEAD + b"1\r\ny\r\n" * 1000 + b"0\r\n\r\n"
    requests, status = read_all(H1Reader(limits), [chunked])
    assert status == 0
    assert requests[0][3] == b"y" * 1000


def test_the_cost_of_a_body_depends_on_its_bytes_and_not_on_its_chunks():
    costs = []
    for chunk in (b"1\r\nx\r\n" * 500, b"1f4\r\n" + b"x" * 500 + b"\r\n"):
        reader = H1Reader(H1Limits())
        reader.feed(HEAD + chunk, 0, len(HEAD + chunk))
        costs.append(reader.held_bytes)
    assert costs[0] == costs[1]
