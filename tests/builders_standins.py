"""HTTP stand-ins for the platform's log store and its workers."""

import asyncio
import base64
import json
import struct
from types import SimpleNamespace
from urllib.parse import parse_qs, urlsplit

from dotterelspread.h1server import H1Response, listen_h1
from dotterelspread.jobs.agentreport import RunEnd
from dotterelspread.jobs.workeradapter import (
    StartAnswer,
    WorkerFencedError,
    WorkerReplyError,
)
from standins.site import free_port

__all__ = [
    "HoldStandIn",
    "PresetWorker",
    "StoreStandIn",
    "WorkerStandIn",
    "run_on_loopback",
    "with_query",
]

RUN_END_NAMES = {
    RunEnd.COMPLETED: "done",
    RunEnd.FAILED: "failed",
    RunEnd.STOPPED: "stopped",
    RunEnd.LEASE_EXPIRED: "lapsed",
}
REASON_NAMES = {StartAnswer.FENCED: "fence", StartAnswer.EXPIRED: "late"}
#: Time after which a long poll returns even without records.
MAX_POLL_S = 0.2


class StoreStandIn:
    """The parts of the platform's log store that its client uses.

    Parameters
    ----------
    page_size : int
        Maximum number of records in a page of the newest records.
    """

    def __init__(self, page_size=500):
        self.page_size = page_size
        self.records_by_topic = {}
        self.writers = {}
        self.first_offset = 0
        self.error_status = 0
        self.is_silent = False

    async def handle(self, request):
        if self.error_status:
            return H1Response(self.error_status)
        if self.is_silent:
            await asyncio.sleep(5)
        return await getattr(self, "do_" + request.path[5:].replace("-", "_"))(request)

    async def do_log_append(self, request):
        query = request.query
        records = self.records_by_topic.setdefault(query["Topic"], [])
        if "epoch" in query:
            known = self._known_writer(query)
            if known is not None:
                return known
        if "At" in query and int(query["At"]) != len(records):
            return _json_response(412, {"End": len(records)})
        offset = len(records)
        records.extend(_split_records(request.body))
        if "epoch" in query:
            key = (query["Topic"], query["Producer"])
            self.writers[key] = (int(query["epoch"]), int(query["Sequence"]), offset)
        return _json_response(200, {"Offset": offset, "End": len(records)})

    def _known_writer(self, query):
        epoch, sequence = int(query["epoch"]), int(query["Sequence"])
        key = (query["Topic"], query["Producer"])
        last_epoch, last_sequence, offset = self.writers.get(key, (-1, 0, 0))
        if epoch < last_epoch:
            return _json_response(409, {"Reason": "fenced"})
        if epoch > last_epoch:
            return None
        if sequence == last_sequence:
            return _json_response(200, {"Offset": offset, "End": offset + 1})
        if sequence != last_sequence + 1:
            return _json_response(409, {"Reason": "seq"})
        return None

    async def do_log_read(self, request):
        query = request.query
        records = self.records_by_topic.get(query["Topic"], [])
        start = int(query["From"])
        if start < self.first_offset:
            return _json_response(410, {"First": self.first_offset})
        if start >= len(records):
            wait_s = int(query.get("WaitMs", 0)) / 1000
            await asyncio.sleep(min(wait_s, MAX_POLL_S))
            records = self.records_by_topic.get(query["Topic"], [])
        head = struct.pack(">QQ", len(records), self.first_offset)
        body = b"".join(struct.pack(">I", len(r)) + r for r in records[start:])
        return H1Response(200, head + body)

    async def do_log_newest(self, request):
        records = self.records_by_topic.get(request.query["Topic"], [])
        newest = {}
        for offset, record in enumerate(records):
            length = record[0]
            key, value = record[1 : 1 + length].decode(), record[1 + length :]
            newest[key] = (offset, value)
        items = [
            {"Key": key, "Value": base64.b64encode(value).decode(), "Offset": offset}
            for key, (offset, value) in sorted(newest.items())
            if value and key > request.query.get("DependsOn", "")
        ]
        page = items[: self.page_size]
        truncated = len(items) > len(page)
        return _json_response(
            200, {"items": page, "Truncated": truncated, "End": len(records)}
        )

    async def do_log_join(self, request):
        body = json.loads(request.body)
        return _json_response(
            200, {"Generation": 1, "parts": [[body["Topics"][0], 0, 0]]}
        )

    async def do_log_leave(self, request):
        return _json_response(200, {})


class WorkerStandIn:
    """HTTP interface of a `VirtualWorker`."""

    def __init__(self, worker):
        self.worker = worker

    async def handle(self, request):
        expected_id = request.headers.get("x-expect-instance", "")
        if expected_id not in ("", self.worker.worker_id):
            return H1Response(421)
        body = json.loads(request.body)
        action = request.path.rpartition("/")[2]
        try:
            return await getattr(self, "do_" + action.replace("-", "_"))(body)
        except WorkerFencedError:
            return _json_response(409, {"Reason": "fence"})
        except WorkerReplyError:
            return H1Response(503)

    async def do_run_start(self, body):
        order = _decode_order(body)
        worker_id = self.worker.worker_id
        answer = await self.worker.start(
            worker_id, body["FencingToken"], order, body["UntilMs"]
        )
        return _make_reply(*answer)

    async def do_run_stop(self, body):
        worker_id = self.worker.worker_id
        answer = await self.worker.stop(
            worker_id, body["FencingToken"], _decode_order(body)
        )
        return _make_reply(*answer)

    async def do_hold(self, body):
        listing = await self.worker.hold(
            self.worker.worker_id,
            body["FencingToken"],
            body["LastSeen"],
            body.get("UntilMs", 0),
            body["WaitMs"],
        )
        running = [[r.task_id, r.run, "", r.percent, 0] for r in listing.running]
        ended = [
            [e.number, e.task_id, e.run, RUN_END_NAMES[e.how], ""]
            for e in listing.ended
        ]
        lists = {"ClockMs": listing.clock_ms, "born": listing.born_ms}
        return _json_response(200, lists | {"Running": running, "Ended": ended})


class HoldStandIn:
    """A worker that runs nothing and lists nothing."""

    def __init__(self, worker_id, born_ms):
        self.worker_id = worker_id
        self.born_ms = born_ms

    async def handle(self, request):
        expected_id = request.headers.get("x-expect-instance", "")
        if expected_id not in ("", self.worker_id):
            return H1Response(421)
        await asyncio.sleep(0.05)
        return _json_response(200, {"ClockMs": 5000, "born": self.born_ms})


class PresetWorker:
    """Answers the calls of an agent with preset replies and records them."""

    def __init__(self):
        self.replies = []
        self.calls = []
        #: Headers of the replies.
        self.headers = {}

    async def handle(self, request):
        body = json.loads(request.body)
        self.calls.append((request.path, request.headers, body))
        status, answer = self.replies.pop(0)
        return H1Response(status, json.dumps(answer).encode(), self.headers)


def _decode_order(body):
    return SimpleNamespace(
        task_id=body["Task"],
        run=body["RunId"],
        # The adapter sends orders on connections to their incarnation only.
        born_ms=0,
        program=body.get("Spec", ""),
        checkpoint=body.get("Checkpoint", ""),
    )


def _make_reply(answer, clock_ms):
    if answer is StartAnswer.OTHER_INCARNATION:
        return H1Response(421)
    status = 200 if answer is StartAnswer.RUNNING else 409
    reason = REASON_NAMES.get(answer, "old")
    return _json_response(status, {"ClockMs": clock_ms, "Reason": reason})


def _json_response(status, values):
    return H1Response(status, json.dumps(values).encode())


def _split_records(data):
    position = 0
    while position < len(data):
        (length,) = struct.unpack_from(">I", data, position)
        yield data[position + 4 : position + 4 + length]
        position += 4 + length


def with_query(handle):
    """Return a handler that parses the query of a request and then calls ``handle``."""

    async def read(request):
        parts = urlsplit(request.target)
        request.path = parts.path
        request.query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        return await handle(request)

    return read


def run_on_loopback(standin, scenario):
    """Serve a stand-in on a free port and run ``scenario(address, standin)``."""
    address = f"127.0.0.1:{free_port()}"

    async def run():
        async with listen_h1(address, with_query(standin.handle)):
            await scenario(address, standin)

    asyncio.run(run())
