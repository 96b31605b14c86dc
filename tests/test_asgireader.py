"""Requests become the same ASGI scope however their bytes are cut."""

import pytest

from dotterelspread.asgireader import AsgiReader
from dotterelspread.h1server import H1Limits

WIRE = (
    b"POST /a%20b?x=%201 HTTP/1.1\r\nHost: h\r\nX-A: 1 \t\r\nx-a:2\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\nTrailer: no\r\n\r\n"
)


def read(wire, step):
    """Return the first request, and the bytes that were not read."""
    reader = AsgiReader(H1Limits())
    for start in range(0, len(wire), step):
        part = wire[start : start + step]
        stop = reader.feed(part, 0, len(part))
        assert not reader.error_status
        if reader.is_complete:
            return reader.take(0.0)[0], part[stop:]
    return None, b""


@pytest.mark.parametrize("step", [1, 2, 3, 7, 1000])
def test_a_request_is_read_alike_however_it_is_cut(step):
    request, _ = read(WIRE, step)
    assert request.body == b"abcde"
    scope = request.scope
    assert scope["method"] == "POST" and scope["http_version"] == "1.1"
    assert (scope["path"], scope["raw_path"]) == ("/a b", b"/a%20b")
    assert scope["query_string"] == b"x=%201"
    assert scope["headers"] == [
        (b"host", b"h"),
        (b"x-a", b"1"),
        (b"x-a", b"2"),
        (b"transfer-encoding", b"chunked"),
    ]


UPGRADE = b"POST / HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: h2c\r\n"


def test_a_request_that_offers_another_protocol_is_read_without_it():
    request, rest = read(UPGRADE + b"Content-Length: 0\r\n\r\nGET /", 1000)
    assert (request.body, rest) == (b"", b"GET /")


@pytest.mark.parametrize(
    "tail",
    [
        b"Content-Length: 3\r\n\r\nabc",
        b"Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n",
    ],
)
def test_a_body_behind_the_offer_is_not_taken_for_the_next_request(tail):
    reader = AsgiReader(H1Limits())
    wire = UPGRADE + tail
    reader.feed(wire, 0, len(wire))
    assert reader.error_status == 400


@pytest.mark.parametrize("target", [b"http://[", "/\xe4".encode("latin-1")])
def test_a_target_without_a_path_is_malformed(target):
    reader = AsgiReader(H1Limits())
    wire = b"GET " + target + b" HTTP/1.1\r\n\r\n"
    reader.feed(wire, 0, len(wire))
    assert reader.error_status == 400
