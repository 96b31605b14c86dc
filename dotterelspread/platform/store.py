"""HTTP client of the platform's log store."""

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
from .decoding import DecodingError, decode_json

__all__ = ["PlatformJournal"]

#: Prefix of compacted topics: the store keeps the newest record of each key for good.
KEYED_PREFIX = "keyed."
#: Timeout of calls that do not long-poll.
CALL_TIMEOUT_S = 1.5
#: Added to the wait time of a long poll to get its timeout.
POLL_MARGIN_S = 1.5
#: Statuses with which the store says that it did not execute the request.
NOT_EXECUTED_STATUSES = frozenset({429, 503, 507})

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
    # Partitions assigned to the member: rows of topic, partition, committed offset.
    parts: list[tuple[str, int, int]] = []


class PlatformJournal(Journal):
    """`Journal` on the platform's log store, over HTTP."""

    def __init__(self, address):
        self._client = H1Client(address)
        self._poll_client = H1Client(address)

    def close(self):
        """Close all connections."""
        self._client.close()
        self._poll_client.close()

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
            raise JournalFencedError(f"append to {stream} fenced by a newer epoch")
        raise JournalRejectedError(
            f"append rejected: status {reply.status} {answer.reason}"
        )

    async def snapshot(self, stream):
        """Return the newest record of each key; see `Journal.snapshot`."""
        records = {}
        end = None
        after = None
        while True:
            query = {"Topic": KEYED_PREFIX + stream, "part": 0}
            if after is not None:
                # The store's parameter for the last key of the previous page.
                query["DependsOn"] = after
            target = f"/api/log-newest?{urlencode(query)}"
            reply = await self._call(self._client, "GET", target)
            _check_status(reply)
            page = _decode(reply, _Newest)
            end = page.end if end is None else end
            for item in page.items:
                records[item.key] = KeyedRecord(item.key, _decode_value(item))
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
        reply = await self._call(self._poll_client, "GET", target, timeout_s=timeout_s)
        if reply.status == 410:
            raise JournalTruncatedError(f"{stream}: offset {from_offset} was truncated")
        _check_status(reply)
        records = tuple(_decode_records(reply.body))
        return Tail(records, from_offset + len(records))

    async def join(self, group, member, stream, ttl_ms, generation):
        """Join a group or renew the membership; see `Journal.join`."""
        body = {
            "group": group,
            "Member": member,
            "Topics": [KEYED_PREFIX + stream],
            "TtlMs": ttl_ms,
            "Generation": generation,
        }
        reply = await self._post("/api/log-join", body)
        _check_status(reply)
        joined = _decode(reply, _Joined)
        return Membership(joined.generation, any(row[1] == 0 for row in joined.parts))

    async def leave(self, group, member):
        """Leave a group; see `Journal.leave`."""
        reply = await self._post("/api/log-leave", {"group": group, "Member": member})
        _check_status(reply)

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
        if reply.status in NOT_EXECUTED_STATUSES:
            raise JournalUnavailableError(
                f"request not executed: status {reply.status}"
            )
        return reply


def _encode_record(record):
    key = record.key.encode()
    content = bytes([len(key)]) + key + record.value
    return _LENGTH.pack(len(content)) + content


def _decode_records(data):
    """Yield the records of a read; an unkeyed record gets an empty key and value."""
    position = _EXTENT.size
    while position < len(data):
        start = position + _LENGTH.size
        end = start + int.from_bytes(data[position:start])
        if end > len(data):
            raise JournalUncertainError("the records of a read were cut short")
        yield _decode_record(data[start:end])
        position = end


def _decode_record(content):
    if not content or content[0] >= len(content):
        return KeyedRecord("", b"")
    end = 1 + content[0]
    return KeyedRecord(content[1:end].decode("utf-8", "replace"), content[end:])


def _decode_value(item):
    try:
        return base64.b64decode(item.value, validate=True)
    except ValueError as error:
        detail = f"the value of {item.key} is not in base64: {error}"
        raise JournalUncertainError(detail) from error


def _check_status(reply):
    if reply.status != 200:
        detail = reply.body[:200].decode("utf-8", "replace")
        raise JournalRejectedError(f"request rejected: status {reply.status}: {detail}")


def _decode(reply, message_type):
    try:
        return decode_json(reply.body or b"{}", message_type)
    except DecodingError as error:
        raise JournalUncertainError(f"invalid reply: {error}") from error
