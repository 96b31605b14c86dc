"""Parsing of callers' headers; errors name the invalid header."""

import pytest

from dotterelspread.callerrequest import CallerRequestError, read_headers
from dotterelspread.configuration import Urgency

TRACEPARENT = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"


def encoded(*headers):
    return [(name.encode(), value.encode("latin-1")) for name, value in headers]


def test_all_headers_are_read():
    result = read_headers(
        encoded(
            ("accept", "*/*"),
            ("idempotency-key", '"visit 7"'),
            ("dotterelspread-deadline", "250ms"),
            ("dotterelspread-kind", "book-visit"),
            ("dotterelspread-urgency", "high"),
            ("dotterelspread-label", "plant=recife, vat/no=7"),
            ("dotterelspread-label", "trial="),
            ("traceparent", TRACEPARENT),
        )
    )
    assert (result.key, result.deadline_s, result.kind) == (
        "visit 7",
        0.25,
        "book-visit",
    )
    assert result.labels == {"plant": "recife", "vat/no": "7", "trial": ""}
    assert (result.urgency, result.traceparent) == (Urgency.HIGH, TRACEPARENT)


def test_a_broken_trace_context_is_ignored():
    assert read_headers(encoded(("traceparent", "00-zz"))).traceparent == ""


WRONG = {
    "idempotency-key": ["", "a b", '"a', "\xff", "k" * 256],
    "dotterelspread-deadline": ["5", "-1s", "0s", "2h", "1 fortnight", "1s" * 200],
    "dotterelspread-kind": ["", "a b", "../x"],
    "dotterelspread-urgency": ["HIGH", "4"],
    "dotterelspread-label": ["", "a", "=b", "a=b c", "a=b,a=c", "a=b,"],
}


@pytest.mark.parametrize(
    ("name", "value"), [(name, value) for name in WRONG for value in WRONG[name]]
)
def test_an_invalid_value_is_named(name, value):
    with pytest.raises(CallerRequestError, match=f"header {name}"):
        read_headers(encoded((name, value)))


def test_a_repeated_header_and_too_many_are_refused():
    twice = encoded(("idempotency-key", "a"), ("idempotency-key", "a"))
    with pytest.raises(CallerRequestError, match="the header once"):
        read_headers(twice)
    with pytest.raises(CallerRequestError, match="101 headers"):
        read_headers(encoded(*[("x", "y")] * 101))
    with pytest.raises(CallerRequestError, match="headers of 20001 bytes"):
        read_headers(encoded(("x", "y" * 20_000)))
