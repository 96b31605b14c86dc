"""Stand-in of the platform's log store, as PROTOCOL describes it."""

import asyncio
import base64
import struct
import time
from urllib.parse import parse_qs, urlsplit

from .web import encode_json

__all__ = ["Store"]

PAGE_SIZE = 500
APPEND_S = 0.004
MAX_WAIT_S = 30.0


class Store:
    """Keyed topics, conditional appends by producers, and one group.

    All topics that the product uses have one partition, and nothing expires within the
    two minutes of a script.
    """

    def __init__(self):
        self.records_by_topic = {}
        self._last_by_producer = {}
        self._changed = asyncio.Event()
        self._expiry_by_member = {}
        self._holder = ""
        self._generation = 1

    def write_key(self, topic, key, value):
        """Append a record as the operator."""
        record = bytes([len(key)]) + key.encode() + value
        self.records_by_topic.setdefault(topic, []).append(record)
        self._notify()

    def _notify(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, request):
        """Answer one call."""
        parts = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path == "/api/log-append":
            return await self._append(query, request.body)
        if parts.path == "/api/log-read":
            return await self._read(query)
        if parts.path == "/api/log-newest":
            return self._newest(query)
        if parts.path == "/api/log-join":
            return self._join(request.json())
        if parts.path == "/api/log-leave":
            return self._leave(request.json())
        return encode_json(404, {})

    async def _append(self, query, body):
        await asyncio.sleep(APPEND_S)
        topic = query["Topic"]
        records = self.records_by_topic.setdefault(topic, [])
        producer = topic, query.get("Producer")
        if "epoch" in query:
            epoch, sequence = int(query["epoch"]), int(query["Sequence"])
            last = self._last_by_producer.get(producer)
            if last is not None and epoch < last[0]:
                return encode_json(409, {"Reason": "fenced"})
            if last is not None and epoch == last[0]:
                earlier = last[2].get(sequence)
                if earlier is not None:
                    return encode_json(200, earlier)
                if sequence != last[1] + 1:
                    return encode_json(409, {"Reason": "seq", "Sequence": last[1] + 1})
        if "At" in query and int(query["At"]) != len(records):
            return encode_json(412, {"End": len(records)})
        offset = len(records)
        position = 0
        while position < len(body):
            (length,) = struct.unpack_from(">I", body, position)
            records.append(body[position + 4 : position + 4 + length])
            position += 4 + length
        answer = {"Offset": offset, "End": len(records)}
        if "epoch" in query:
            same = last is not None and last[0] == epoch
            answers = dict(last[2]) if same else {}
            answers[sequence] = answer
            for old in sorted(answers)[:-5]:
                del answers[old]
            self._last_by_producer[producer] = epoch, sequence, answers
        self._notify()
        return encode_json(200, answer)

    async def _read(self, query):
        topic, start = query["Topic"], int(query["From"])
        end_s = time.monotonic() + min(int(query.get("WaitMs", 0)) / 1000, MAX_WAIT_S)
        while len(self.records_by_topic.get(topic, ())) <= start:
            remaining_s = end_s - time.monotonic()
            if remaining_s <= 0:
                break
            try:
                async with asyncio.timeout(remaining_s):
                    await self._changed.wait()
            except TimeoutError:
                break
        records = self.records_by_topic.get(topic, [])
        data = struct.pack(">QQ", len(records), 0)
        for record in records[start:]:
            data += struct.pack(">I", len(record)) + record
        return 200, data

    def _newest(self, query):
        records = self.records_by_topic.get(query["Topic"], [])
        newest = {}
        for offset, record in enumerate(records):
            end = 1 + record[0]
            newest[record[1:end].decode()] = offset, record[end:]
        after = query.get("DependsOn", "")
        items = [
            {"Key": k, "Value": base64.b64encode(value).decode(), "Offset": offset}
            for k, (offset, value) in sorted(newest.items())
            if value and k > after
        ]
        page = items[:PAGE_SIZE]
        answer = {"items": page, "Truncated": len(items) > len(page)}
        return encode_json(200, answer | {"End": len(records)})

    def _join(self, body):
        now_s = time.monotonic()
        self._expiry_by_member[body["Member"]] = now_s + body["TtlMs"] / 1000
        alive = [m for m, end_s in self._expiry_by_member.items() if end_s > now_s]
        if self._holder not in alive:
            self._holder = alive[0]
            self._generation += 1
        is_holder = self._holder == body["Member"]
        parts = [[body["Topics"][0], 0, 0]] if is_holder else []
        return encode_json(200, {"Generation": self._generation, "parts": parts})

    def _leave(self, body):
        self._expiry_by_member.pop(body["Member"], None)
        if self._holder == body["Member"]:
            self._holder = ""
        return encode_json(200, {})
