"""The one client of the platform's log store."""

import base64
import json
import struct
from urllib.parse import urlencode

import msgspec

from ..h1client import H1Client, H1LostError, H1UnsentError
from ..jobs.journal import (
    Journal,
    JournalFencedError,
    JournalMovedError,
    JournalRejectedError,
    JournalTruncatedError,
    JournalUnavailableError,
    JournalUncertainError,
    KeyedRecord,
    Membership,
    StreamSnapshot,
    Tail,
)

__all__ = ["PlatformJournal"]

#: Streams in which the newest record of each key is kept for good.
KEYED_PREFIX = "keyed."
#: Seconds to wait for a reply to a call that does not long-poll.
CALL_TIMEOUT_S = 1.5
#: Seconds that the reply to a long poll may take beyond its wait.
POLL_MARGIN_S = 1.5
#: Statuses which say that nothing was done.
UNDONE_STATUSES = frozenset({429, 503, 507})

_LENGTH = struct.Struct(">I")
_EXTENT = struct.Struct(">QQ")


class _Appended(msgspec.Struct):
    offset: int = msgspec.field(name="Offset", default=-1)
    end: int = msgspec.field(name="End", default=-1)
    reason: str = msgspec.field(name="Reason", default="")


class _Item(msgspec.Struct):
    key: str = msgspec.field(name="Key")
    value: str = msgspec.field(name="Value", default="")
    offset: int = msgspec.field(name="Offset", default=-1)


class _Newest(msgspec.Struct):
    items: list[_Item] = []
    truncated: bool = msgspec.field(name="Truncated", default=False)
    end: int = msgspec.field(name="End", default=0)


class _Joined(msgspec.Struct):
    generation: int = msgspec.field(name="Generation")
    # Rows of topic, partition and committed offset that belong to the member.
    parts: list[tuple[str, int, int]] = []


class PlatformJournal(Journal):
    """The log store of the platform over HTTP."""

    def __init__(self, address):
        self._client = H1Client(address)
        self._polls = H1Client(address)

    def close(self):
        """End all connections."""
        self._client.close()
        self._polls.close()

    async def append(
        self, stream, records, writer=None, expected_end=None, timeout_s=CALL_TIMEOUT_S
    ):
        """Append keyed records; see `Journal.append`."""
        query = {"Topic": KEYED_PREFIX + stream, "part": 0}
        if writer is not None:
            query["Producer"] = writer.name
            query["epoch"] = writer.epoch
            query["Sequence"] = writer.sequence
        if expected_end is not None:
            query["At"] = expected_end
        body = b"".join(map(_encode_record, records))
        target = f"/api/log-append?{urlencode(query)}"
        reply = await self._call(self._client, "POST", target, body, timeout_s)
        answer = _decode(reply, _Appended)
        if reply.status == 200:
            return answer.offset
        if reply.status == 412:
            raise JournalMovedError(answer.end)
        if reply.status == 409 and answer.reason == "fenced":
            raise JournalFencedError(f"epoch of {stream} is over")
        raise JournalRejectedError(f"append: status {reply.status} {answer.reason}")

    async def snapshot(self, stream):
        """Return the newest record of each key; see `Journal.snapshot`."""
        records = {}
        end = None
        after = None
        while True:
            query = {"Topic": KEYED_PREFIX + stream, "part": 0}
            if after is not None:
                # The name of the field that continues a listing after a key.
                query["DependsOn"] = after
            target = f"/api/log-newest?{urlencode(query)}"
            reply = await self._call(self._client, "GET", target)
            _expect_ok(reply)
            page = _decode(reply, _Newest)
            end = page.end if end is None else end
            for item in page.items:
                value = base64.b64decode(item.value)
                records[item.key] = KeyedRecord(item.key, value)
                after = item.key
            if not page.truncated or not page.items:
                return StreamSnapshot(records, end)

    async def follow(self, stream, from_offset, wait_s):
        """Return the records from an offset on; see `Journal.follow`."""
        query = {
            "Topic": KEYED_PREFIX + stream,
            "part": 0,
            "From": from_offset,
            "WaitMs": int(wait_s * 1000),
        }
        target = f"/api/log-read?{urlencode(query)}"
        timeout_s = wait_s + POLL_MARGIN_S
        reply = await self._call(self._polls, "GET", target, timeout_s=timeout_s)
        if reply.status == 410:
            raise JournalTruncatedError(f"{stream}: offset {from_offset} is gone")
        _expect_ok(reply)
        records = tuple(_read_records(reply.body))
        return Tail(records, from_offset + len(records))

    async def join(self, group, member, stream, ttl_ms, generation):
        """Keep a membership; see `Journal.join`."""
        body = {
            "group": group,
            "Member": member,
            "Topics": [KEYED_PREFIX + stream],
            "TtlMs": ttl_ms,
            "Generation": generation,
        }
        reply = await self._post("/api/log-join", body)
        _expect_ok(reply)
        joined = _decode(reply, _Joined)
        return Membership(joined.generation, any(row[1] == 0 for row in joined.parts))

    async def leave(self, group, member):
        """Give up a membership; see `Journal.leave`."""
        reply = await self._post("/api/log-leave", {"group": group, "Member": member})
        _expect_ok(reply)

    async def _post(self, target, values):
        return await self._call(self._client, "POST", target, json.dumps(values))

    async def _call(self, client, method, target, body=b"", timeout_s=CALL_TIMEOUT_S):
        data = body.encode() if isinstance(body, str) else body
        try:
            reply = await client.call(method, target, timeout_s, data)
        except H1UnsentError as error:
            raise JournalUnavailableError(str(error)) from error
        except H1LostError as error:
            raise JournalUncertainError(str(error)) from error
        if reply.status in UNDONE_STATUSES:
            raise JournalUnavailableError(f"status {reply.status}")
        return reply


def _encode_record(record):
    key = record.key.encode()
    content = bytes([len(key)]) + key + record.value
    return _LENGTH.pack(len(content)) + content


def _read_records(data):
    """Yield the records of a read; one that is not keyed has no key and no value."""
    position = _EXTENT.size
    while position < len(data):
        (length,) = _LENGTH.unpack_from(data, position)
        position += _LENGTH.size
        content = data[position : position + length]
        position += length
        yield _split_content(content)


def _split_content(content):
    if not content or content[0] >= len(content) + 1:
        return KeyedRecord("", b"")
    end = 1 + content[0]
    return KeyedRecord(content[1:end].decode("utf-8", "replace"), content[end:])


def _expect_ok(reply):
    if reply.status != 200:
        detail = reply.body[:200].decode("utf-8", "replace")
        raise JournalRejectedError(f"status {reply.status}: {detail}")


def _decode(reply, form):
    if not reply.body:
        return form() if form is _Appended else msgspec.convert({}, form)
    try:
        return msgspec.json.decode(reply.body, type=form)
    except (msgspec.DecodeError, ValueError) as error:
        raise JournalUncertainError(f"reply not understood: {error}") from error
