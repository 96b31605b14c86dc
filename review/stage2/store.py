"""Stand-in of the platform's log store, as PROTOCOL describes it."""

import asyncio
import base64
import struct
import time
from collections import deque
from dataclasses import dataclass, field

from .http11 import Server, json_reply

__all__ = ["Store"]

#: Time that an append takes (`AppendMs`).
APPEND_S = 0.004
#: Number of appends of a producer of which a repeat gets its first response again.
REPEATED_APPENDS = 5
#: Largest page of the newest records.
PAGE_ITEMS, PAGE_BYTES = 500, 1_000_000


@dataclass(slots=True)
class _Writer:
    epoch: int = -1
    sequence: int = 0
    recent: deque = field(default_factory=lambda: deque(maxlen=REPEATED_APPENDS))


class _Partition:
    def __init__(self):
        self.records = []
        self.writers_by_name = {}
        self.lock = asyncio.Lock()
        self.changed = asyncio.Event()

    def extend(self, records):
        offset = len(self.records)
        self.records.extend(records)
        self.changed.set()
        self.changed = asyncio.Event()
        return {"Offset": offset, "End": len(self.records)}

    def newest(self):
        """Return (key, value, offset) of the newest record of each key, sorted."""
        found = {}
        for offset, record in enumerate(self.records):
            end = 1 + record[0]
            found[record[1:end].decode()] = (record[end:], offset)
        return sorted((k, v, o) for k, (v, o) in found.items() if v)


class Store:
    """The log store; it loses nothing and answers at once.

    Parameters
    ----------
    host : str
    port : int
    """

    def __init__(self, host, port):
        self.server = Server(host, port, self._handle)
        self._partitions = {}
        self._expiry_by_member = {}
        self._holder = ""
        self._generation = 1

    def write_key(self, topic, key, value):
        """Write a record as the operator does."""
        record = bytes([len(key)]) + key.encode() + value
        self._partition(topic).extend([record])

    def _partition(self, topic):
        return self._partitions.setdefault(topic, _Partition())

    async def _handle(self, request):
        name = request.path.removeprefix("/api/").replace("-", "_")
        handler = getattr(self, f"_do_{name}", None)
        return await handler(request) if handler else (404, b"")

    async def _do_log_append(self, request):
        partition = self._partition(request.query["Topic"])
        async with partition.lock:
            await asyncio.sleep(APPEND_S)
            return self._append(partition, request.query, request.body)

    def _append(self, partition, query, body):
        if "At" in query and int(query["At"]) != len(partition.records):
            return json_reply(412, {"End": len(partition.records)})
        if "Producer" not in query:
            return json_reply(200, partition.extend(_split_records(body)))
        writer = partition.writers_by_name.setdefault(query["Producer"], _Writer())
        epoch, sequence = int(query["epoch"]), int(query["Sequence"])
        if epoch < writer.epoch:
            return json_reply(409, {"Reason": "fenced"})
        if epoch > writer.epoch:
            writer.epoch = epoch
            writer.recent.clear()
        else:
            for known, answer in writer.recent:
                if known == sequence:
                    return json_reply(200, answer)
            if sequence != writer.sequence + 1:
                return json_reply(409, {"Reason": "seq", "Sequence": writer.sequence})
        answer = partition.extend(_split_records(body))
        writer.sequence = sequence
        writer.recent.append((sequence, answer))
        return json_reply(200, answer)

    async def _do_log_read(self, request):
        partition = self._partition(request.query["Topic"])
        start = int(request.query["From"])
        max_bytes = int(request.query.get("MaxKb", 1024)) * 1024
        end_s = time.monotonic() + int(request.query.get("WaitMs", 0)) / 1000
        while len(partition.records) <= start and time.monotonic() < end_s:
            waiting = asyncio.ensure_future(partition.changed.wait())
            await asyncio.wait({waiting}, timeout=max(0, end_s - time.monotonic()))
            waiting.cancel()
        body = struct.pack(">QQ", len(partition.records), 0)
        for record in partition.records[start:]:
            if len(body) + len(record) > max_bytes and len(body) > 16:
                break
            body += struct.pack(">I", len(record)) + record
        return 200, body

    async def _do_log_newest(self, request):
        partition = self._partition(request.query["Topic"])
        after = request.query.get("DependsOn", "")
        items, size, truncated = [], 0, False
        for key, value, offset in partition.newest():
            if key <= after:
                continue
            size += len(value)
            if items and (len(items) >= PAGE_ITEMS or size > PAGE_BYTES):
                truncated = True
                break
            text = base64.b64encode(value).decode()
            items.append({"Key": key, "Value": text, "Offset": offset})
        end = len(partition.records)
        return json_reply(200, {"items": items, "Truncated": truncated, "End": end})

    async def _do_log_join(self, request):
        body = request.json()
        now_s = time.monotonic()
        self._expiry_by_member[body["Member"]] = now_s + body["TtlMs"] / 1000
        if self._expiry_by_member.get(self._holder, 0) <= now_s:
            self._holder = body["Member"]
            self._generation += 1
        parts = [[body["Topics"][0], 0, 0]] if self._holder == body["Member"] else []
        return json_reply(200, {"Generation": self._generation, "parts": parts})

    async def _do_log_leave(self, request):
        member = request.json()["Member"]
        self._expiry_by_member.pop(member, None)
        if self._holder == member:
            self._holder = ""
            self._generation += 1
        return json_reply(200, {})


def _split_records(data):
    records, position = [], 0
    while position < len(data):
        (length,) = struct.unpack_from(">I", data, position)
        records.append(data[position + 4 : position + 4 + length])
        position += 4 + length
    return records
