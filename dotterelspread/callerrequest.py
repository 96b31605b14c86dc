"""Parsing and validation of the headers of callers' requests.

Invalid input raises one error that lists every invalid header.
"""

import re
from dataclasses import dataclass, field

from .configuration import Urgency
from .document import Fault, FaultsError, shorten
from .options import MAX_LABELS
from .quantities import parse_duration
from .textform import LABEL_KEY, LABEL_VALUE, NAME

__all__ = [
    "CallerHeaders",
    "CallerRequestError",
    "read_headers",
]

KEY_HEADER = "idempotency-key"
DEADLINE_HEADER = "dotterelspread-deadline"
KIND_HEADER = "dotterelspread-kind"
URGENCY_HEADER = "dotterelspread-urgency"
LABEL_HEADER = "dotterelspread-label"
TRACEPARENT_HEADER = "traceparent"

MIN_DEADLINE_S = 0.01
MAX_DEADLINE_S = 3600.0
MAX_HEADERS = 100
MAX_HEADER_BYTES = 16 << 10

URGENCIES_BY_NAME = {urgency.name.lower(): urgency for urgency in Urgency}

_KEY = re.compile(r'"([\x20\x21\x23-\x7e]{1,255})"|([\x21\x23-\x7e]{1,255})')
_TRACEPARENT = re.compile(r"[0-9a-f]{2}-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}")


class CallerRequestError(FaultsError):
    """A caller's request is invalid; nothing of it was run."""


@dataclass(slots=True)
class CallerHeaders:
    """Parsed headers of a caller's request."""

    #: Idempotency key, the same for retries of one request; empty for none.
    key: str = ""
    #: Seconds within which the caller needs the answer; None for the kind's default.
    deadline_s: float | None = None
    kind: str = ""
    #: None for the urgency given by the kind and the selectors.
    urgency: Urgency | None = None
    labels: dict[str, str] = field(default_factory=dict)
    #: W3C trace context; empty when missing or malformed.
    traceparent: str = ""


def read_headers(headers):
    """Return the `CallerHeaders` in the headers of a request.

    Parameters
    ----------
    headers : list of (bytes, bytes)
        Lower-case names with their values, in the form of ASGI.

    Raises
    ------
    CallerRequestError
        With every invalid header.
    """
    size = sum(len(name) + len(value) for name, value in headers)
    if len(headers) > MAX_HEADERS or size > MAX_HEADER_BYTES:
        found = f"{len(headers)} headers of {size} bytes"
        allowed = f"up to {MAX_HEADERS} headers of {MAX_HEADER_BYTES} bytes"
        raise CallerRequestError([Fault("request", "headers", found, allowed)])
    result = CallerHeaders()
    faults = []
    seen = set()
    for raw_name, raw_value in headers:
        read = _READERS_BY_HEADER.get(raw_name)
        if read is None:
            continue
        value = raw_value.decode("latin-1").strip()
        try:
            if raw_name in seen:
                raise _BadHeaderError("the header once")
            read(value, result)
        except _BadHeaderError as error:
            name = f"header {raw_name.decode()}"
            faults.append(Fault("request", name, shorten(value), str(error)))
        if read is not _read_labels:
            seen.add(raw_name)
    if faults:
        raise CallerRequestError(faults)
    return result


class _BadHeaderError(Exception):
    """A header is invalid; the message describes the allowed values."""


def _read_key(value, result):
    match = _KEY.fullmatch(value)
    if match is None:
        raise _BadHeaderError(
            "1 to 255 printable ASCII characters, quoted if there are spaces"
        )
    result.key = match[1] or match[2]


def _read_deadline(value, result):
    try:
        deadline_s = parse_duration(value)
    except ValueError:
        deadline_s = 0.0
    if not MIN_DEADLINE_S <= deadline_s <= MAX_DEADLINE_S:
        raise _BadHeaderError(
            f"a duration from {MIN_DEADLINE_S:g}s to {MAX_DEADLINE_S:g}s, as 250ms"
        )
    result.deadline_s = deadline_s


def _read_kind(value, result):
    if not NAME.accepts(value):
        raise _BadHeaderError(NAME.description)
    result.kind = value


def _read_urgency(value, result):
    if value not in URGENCIES_BY_NAME:
        raise _BadHeaderError("one of " + ", ".join(URGENCIES_BY_NAME))
    result.urgency = URGENCIES_BY_NAME[value]


def _read_labels(value, result):
    for part in value.split(","):
        key, equals, text = part.strip().partition("=")
        if not equals or not LABEL_KEY.accepts(key):
            raise _BadHeaderError(f"key=value, the key {LABEL_KEY.description}")
        if not LABEL_VALUE.accepts(text):
            raise _BadHeaderError(f"key=value, the value {LABEL_VALUE.description}")
        if key in result.labels:
            raise _BadHeaderError("each label once")
        result.labels[key] = text
    if len(result.labels) > MAX_LABELS:
        raise _BadHeaderError(f"up to {MAX_LABELS} labels")


def _read_traceparent(value, result):
    # W3C Trace Context requires a new trace, not an error, for a malformed context.
    if _TRACEPARENT.fullmatch(value):
        result.traceparent = value


_READERS_BY_HEADER = {
    KEY_HEADER.encode(): _read_key,
    DEADLINE_HEADER.encode(): _read_deadline,
    KIND_HEADER.encode(): _read_kind,
    URGENCY_HEADER.encode(): _read_urgency,
    LABEL_HEADER.encode(): _read_labels,
    TRACEPARENT_HEADER.encode(): _read_traceparent,
}
