"""Stand-in of an application worker, as PROTOCOL describes it."""

import asyncio
import contextlib
import json
import time

from .web import Lost, call, encode_json, serve

__all__ = ["HEARTBEAT_S", "Worker"]

HEARTBEAT_S = 1.1
STOP_S = 0.1
TICK_S = 0.01
MAX_LISTED_ENDS = 500


class _Run:
    def __init__(self, number, duration_s, checkpoint, how):
        self.number = number
        self.begun_s = time.monotonic()
        self.end_s = self.begun_s + duration_s
        self.duration_s = duration_s
        self.checkpoint = checkpoint
        self.how = how
        self.is_stopping = False


class Worker:
    """One worker; a task's `Spec` is ``HOW SECONDS``, such as ``done 0.5``.

    Parameters
    ----------
    site : Site
    worker_id : str
    host : str
        Address of its machine.
    rack : str
    service : str
    """

    def __init__(self, site, worker_id, host, rack, service):
        self.site = site
        self.worker_id = worker_id
        self.host = host
        self.rack = rack
        self.service = service
        self.capacity = {"Cpu": 32_000, "MemMb": 128_000, "Gpu": 0}
        self.state = "ready"
        #: Whether nothing passes between it and any machine; it runs on.
        self.is_cut_off = False
        #: Called with a start; why the worker rejects it, or an empty text.
        self.reject_start = lambda body: ""
        #: Called with a start; whether it gets no answer, and isn't carried out soon.
        self.leaves_unanswered = lambda body: False
        #: Tasks of the starts that got no answer.
        self.unanswered = []
        #: Number of lives that have ended.
        self.lives = 0
        self.is_up = True
        self.begin_life()

    def begin_life(self):
        """Start, or start again under the same id."""
        self.born_ms = int(time.time() * 1000)
        self.begun_s = time.monotonic()
        self.sequence = 0
        self.fence = 0
        self.until_s = 0.0
        self.running = {}
        self.ended = []
        self.end_count = 0
        self.highest_by_task = {}
        self._ended_event = asyncio.Event()

    def clock_ms(self):
        """Return the worker's own clock."""
        return 1000 + int((time.monotonic() - self.begun_s) * 1000)

    async def open(self):
        """Serve calls and send heartbeats until the tasks returned are cancelled."""
        self.server = await serve(self.host, self.site.worker_port, self.handle)
        return [
            asyncio.ensure_future(self._send_heartbeats()),
            asyncio.ensure_future(self._run_clock()),
        ]

    async def crash(self):
        """End with all that runs, and refuse connections."""
        self.site.note(f"{self.worker_id} crashes; ran {sorted(self.running)}")
        self.is_up = False
        self.lives += 1
        self.running.clear()
        self.server.close()
        for writer in list(self.server.writers):
            writer.transport.abort()

    async def come_back(self, worker_id):
        """Start again as another worker."""
        self.worker_id = worker_id
        self.begin_life()
        self.server = await serve(self.host, self.site.worker_port, self.handle)
        self.is_up = True
        self.site.note(f"{worker_id} is up")

    def heartbeat(self):
        """Return the next heartbeat."""
        self.sequence += 1
        return {
            "Service": self.service,
            "Address": f"{self.host}:{self.site.worker_port}",
            "Zone": "zone-a",
            "Version": "v1",
            "Slots": 8,
            "State": self.state,
            "ColdRemainingMs": 0,
            "Capacity": self.capacity,
            "Labels": ["a", self.rack],
            "ClockMs": self.clock_ms(),
            "Sequence": self.sequence,
            "born": self.born_ms,
        }

    async def _send_heartbeats(self):
        while True:
            if self.is_up and not self.is_cut_off:
                body = json.dumps(self.heartbeat()).encode()
                path = f"/api/Instances.Heartbeat/{self.worker_id}"
                address = f"{self.host}:{self.site.control_port}"
                with contextlib.suppress(Lost):
                    await call(address, "POST", path, body, timeout_s=1.0)
            await asyncio.sleep(HEARTBEAT_S)

    async def _run_clock(self):
        while True:
            self._end_due()
            await asyncio.sleep(TICK_S)

    def _end_due(self):
        now_s = time.monotonic()
        if now_s > self.until_s:
            for task in list(self.running):
                self._end(task, "lapsed")
        for task, run in list(self.running.items()):
            if run.end_s <= now_s:
                self._end(task, "stopped" if run.is_stopping else run.how)

    def _end(self, task, how):
        run = self.running.pop(task)
        self._close(task, run.number)
        self.end_count += 1
        saved = "" if how == "done" else run.checkpoint
        self.ended.append([self.end_count, task, run.number, how, saved])
        self.site.note(f"{self.worker_id} ended {task} run {run.number} {how}")
        self.site.on_end(self, task, run.number, how)
        self._ended_event.set()
        self._ended_event = asyncio.Event()

    def _close(self, task, number):
        self.highest_by_task[task] = max(self.highest_by_task.get(task, 0), number)

    def _take_until(self, body):
        if body.get("UntilMs"):
            until_s = self.begun_s + (body["UntilMs"] - 1000) / 1000
            longest_s = time.monotonic() + self.site.hold_max_s
            self.until_s = max(self.until_s, min(until_s, longest_s))

    async def handle(self, request):
        """Answer one call of the agent."""
        while self.is_cut_off:
            # What the caller has not given up by then arrives after the cut.
            if request.is_given_up:
                return None
            await asyncio.sleep(TICK_S)
        expected = request.headers.get("x-expect-instance", "")
        if expected not in ("", self.worker_id):
            return encode_json(421, {})
        body = request.json()
        self._end_due()
        action = request.target.rpartition("/")[2]
        if action == "run-start" and self.leaves_unanswered(body):
            self.unanswered.append(body["Task"])
            self.site.note(f"{self.worker_id} leaves {body['Task']} unanswered")
            return None
        token = body.get("FencingToken", 0)
        if token < self.fence:
            return self._reply(409, Reason="fence")
        self.fence = token
        reply = await {
            "run-start": self._start,
            "run-stop": self._stop,
            "hold": self._hold,
            "pace": self._pace,
        }[action](body)
        return None if self.is_cut_off else reply

    def _reply(self, status, **values):
        known = {"ClockMs": self.clock_ms(), "born": self.born_ms}
        return encode_json(status, known | values)

    async def _start(self, body):
        task, number = body["Task"], body["RunId"]
        run = self.running.get(task)
        if run is not None and run.number == number:
            return self._reply(200)
        self._take_until(body)
        if number <= self.highest_by_task.get(task, 0):
            return self._reply(409, Reason="old")
        if self.until_s <= time.monotonic():
            return self._reply(409, Reason="late")
        if reason := self.reject_start(body):
            self.site.note(f"{self.worker_id} rejected {task} run {number}: {reason}")
            return self._reply(409, Reason=reason)
        how, seconds = body.get("Spec", "done 0.1").split()[:2]
        run = _Run(number, float(seconds), body.get("Checkpoint", ""), how)
        self.running[task] = run
        self.site.note(f"{self.worker_id} started {task} run {number}")
        self.site.on_start(self, task, number)
        return self._reply(200)

    async def _stop(self, body):
        task, number = body["Task"], body["RunId"]
        run = self.running.get(task)
        if run is not None and run.number == number:
            if not run.is_stopping:
                run.is_stopping = True
                run.end_s = min(run.end_s, time.monotonic() + STOP_S)
        else:
            self._close(task, number)
        return self._reply(200)

    async def _pace(self, body):
        return self._reply(200)

    async def _hold(self, body):
        self._take_until(body)
        seen = body.get("LastSeen", 0)
        self.ended = [row for row in self.ended if row[0] > seen]
        if not self.ended and body.get("WaitMs"):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(body["WaitMs"] / 1000):
                    await self._ended_event.wait()
        now_s = time.monotonic()
        rows = []
        for task, run in self.running.items():
            percent = int(100 * (now_s - run.begun_s) / max(run.duration_s, 0.001))
            rows.append([task, run.number, run.checkpoint, min(99, percent), 0])
        return self._reply(200, Running=rows, Ended=self.ended[:MAX_LISTED_ENDS])
