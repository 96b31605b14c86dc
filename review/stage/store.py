"""Stand-in of the platform's metadata store, as the users' protocol describes it."""

import asyncio
import base64
import json
import struct
import time
from dataclasses import dataclass, field

from .web import encode_json

__all__ = ["Store"]

#: Limits of a record and of an append, as in the settings.
RECORD_BYTES = 262_144
REQUEST_BYTES = 2_097_152
#: Number of partitions of a topic.
PARTITIONS = 8
#: Time of one append.
APPEND_S = 0.004
#: Number of repeated appends that get their first reply again.
REMEMBERED_REPLIES = 5
#: Limits of a page of the newest records.
PAGE_RECORDS = 500
PAGE_BYTES = 1_000_000
#: Interval at which a waiting read looks for records.
READ_POLL_S = 0.01


@dataclass
class _Topic:
    records: list[bytes] = field(default_factory=list)
    #: Latest epoch and sequence number, and the last replies, by producer.
    producers: dict = field(default_factory=dict)


class Store:
    """Log store on one address."""

    def __init__(self):
        self._topics = {}
        #: End of each member's membership, on the monotonic clock, by group.
        self._members = {}
        self._generations = {}
        self._holders = {}

    def write(self, topic, key, value):
        """Append a keyed record as the operator does."""
        record = bytes([len(key)]) + key.encode() + value
        self._topic(topic).records.append(record)

    def _topic(self, name):
        return self._topics.setdefault(name, _Topic())

    async def handle(self, request):
        """Answer a call."""
        name = request.path.removeprefix("/api/").replace("-", "_")
        handler = getattr(self, f"_do_{name}", None)
        if handler is None:
            return 404, b"{}"
        return await handler(request)

    async def _do_log_append(self, request):
        topic = self._topic(request.query["Topic"])
        await asyncio.sleep(APPEND_S)
        records = _split(request.body)
        if len(request.body) > REQUEST_BYTES or any(
            len(record) > RECORD_BYTES for record in records
        ):
            return 400, encode_json({"Reason": "size"})
        answer = self._check_producer(topic, request.query)
        if answer is not None:
            return answer
        if "At" in request.query and int(request.query["At"]) != len(topic.records):
            return 412, encode_json({"End": len(topic.records)})
        offset = len(topic.records)
        topic.records.extend(records)
        reply = 200, encode_json({"Offset": offset, "End": len(topic.records)})
        self._note_producer(topic, request.query, reply)
        return reply

    def _check_producer(self, topic, query):
        if "Producer" not in query:
            return None
        epoch, sequence = int(query["epoch"]), int(query["Sequence"])
        last_epoch, last, replies = topic.producers.get(query["Producer"], (-1, 0, {}))
        if epoch < last_epoch:
            return 409, encode_json({"Reason": "fenced"})
        if epoch > last_epoch:
            return None
        if sequence in replies:
            return replies[sequence]
        if sequence != last + 1:
            return 409, encode_json({"Reason": "seq", "Sequence": last + 1})
        return None

    def _note_producer(self, topic, query, reply):
        if "Producer" not in query:
            return
        epoch, sequence = int(query["epoch"]), int(query["Sequence"])
        last_epoch, _, replies = topic.producers.get(query["Producer"], (-1, 0, {}))
        replies = dict(replies) if epoch == last_epoch else {}
        replies[sequence] = reply
        for old in sorted(replies)[:-REMEMBERED_REPLIES]:
            del replies[old]
        topic.producers[query["Producer"]] = (epoch, sequence, replies)

    async def _do_log_read(self, request):
        records = self._topic(request.query["Topic"]).records
        start = int(request.query["From"])
        end_s = time.monotonic() + int(request.query.get("WaitMs", 0)) / 1000
        while len(records) <= start and time.monotonic() < end_s:
            await asyncio.sleep(READ_POLL_S)
        limit = int(request.query.get("MaxKb", 1024)) * 1024
        parts = [struct.pack(">QQ", len(records), 0)]
        size = 0
        for record in records[start:]:
            if size and size + len(record) > limit:
                break
            size += len(record)
            parts.append(struct.pack(">I", len(record)) + record)
        return 200, b"".join(parts)

    async def _do_log_newest(self, request):
        records = self._topic(request.query["Topic"]).records
        newest = {}
        for offset, record in enumerate(records):
            end = 1 + record[0]
            newest[record[1:end].decode()] = (record[end:], offset)
        after = request.query.get("DependsOn", "")
        items, size, truncated = [], 0, False
        for key in sorted(key for key in newest if key > after):
            value, offset = newest[key]
            if not value:
                continue
            if len(items) >= PAGE_RECORDS or (items and size > PAGE_BYTES):
                truncated = True
                break
            size += len(value)
            text = base64.b64encode(value).decode()
            items.append({"Key": key, "Value": text, "Offset": offset})
        page = {"items": items, "Truncated": truncated, "End": len(records)}
        return 200, encode_json(page)

    async def _do_log_join(self, request):
        body = json.loads(request.body)
        group, member = body["group"], body["Member"]
        now_s = time.monotonic()
        members = self._members.setdefault(group, {})
        members[member] = now_s + body["TtlMs"] / 1000
        self._settle(group, now_s)
        holders = self._holders[group]
        rows = [
            [topic, part, 0]
            for topic in body["Topics"]
            for part in range(PARTITIONS)
            if holders[part % len(holders)] == member
        ]
        generation = self._generations[group]
        return 200, encode_json({"Generation": generation, "parts": rows})

    def _settle(self, group, now_s):
        """Deal the partitions anew if members have come or gone."""
        members = self._members[group]
        for member in [m for m, end_s in members.items() if end_s <= now_s]:
            del members[member]
        holders = self._holders.get(group, [])
        kept = [member for member in holders if member in members]
        dealt = kept + sorted(members.keys() - set(kept))
        if dealt != holders:
            self._holders[group] = dealt
            self._generations[group] = self._generations.get(group, 0) + 1

    async def _do_log_leave(self, request):
        body = json.loads(request.body)
        members = self._members.setdefault(body["group"], {})
        members.pop(body["Member"], None)
        self._settle(body["group"], time.monotonic())
        return 200, b"{}"


def _split(data):
    records, position = [], 0
    while position < len(data):
        (length,) = struct.unpack_from(">I", data, position)
        records.append(data[position + 4 : position + 4 + length])
        position += 4 + length
    return records
