"""Responses of ASGI applications, and applications that break the protocol."""

import asyncio

import pytest

from dotterelspread.asgihandler import AsgiHandler, AsgiResponse
from dotterelspread.asgireader import AsgiRequest

START = {"type": "http.response.start", "status": 200, "headers": [(b"A", b"b")]}
BODY = {"type": "http.response.body", "body": b"x"}


def answer(*messages, error=None, method="GET"):
    async def application(scope, receive, send):
        assert await receive() == {
            "type": "http.request",
            "body": b"body",
            "more_body": False,
        }
        for message in messages:
            await send(message)
        if error is not None:
            raise error

    request = AsgiRequest({"method": method}, b"body")
    return asyncio.run(AsgiHandler(application)(request))


def test_parts_of_a_body_are_joined():
    response = answer(START, BODY | {"more_body": True}, BODY)
    assert response.encode(True, [(b"date", b"d")]) == (
        b"HTTP/1.1 200 OK\r\ndate: d\r\na: b\r\ncontent-length: 2\r\n\r\nxx"
    )


def test_an_error_after_the_response_does_not_change_it():
    assert answer(START, BODY, error=ValueError()).status == 200


@pytest.mark.parametrize(
    "messages",
    [
        (),
        (BODY,),
        (START,),
        (START, START, BODY),
        (START | {"headers": [(b"a", b"b\r\nc: d")]}, BODY),
        (START | {"headers": [(b"a b", b"c")]}, BODY),
    ],
)
def test_an_incomplete_or_invalid_response_becomes_an_error(messages):
    response = answer(*messages)
    assert response.status == 500
    assert b"c: d" not in response.encode(True)


def test_a_response_to_head_only_announces_its_body():
    assert answer(START, BODY, method="HEAD").encode(True).endswith(b": 1\r\n\r\n")


def test_the_server_decides_whether_the_connection_stays_open():
    headers = [(b"connection", b"keep-alive"), (b"transfer-encoding", b"chunked")]
    encoded = AsgiResponse(204, headers, b"").encode(False)
    assert encoded == b"HTTP/1.1 204 No Content\r\nconnection: close\r\n\r\n"
