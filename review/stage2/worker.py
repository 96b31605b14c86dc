"""Stand-in of one worker: runs under leases, lists, and heartbeats to its agent."""

import asyncio
import json
import time
from dataclasses import dataclass, field

from .http11 import Server, call, json_reply

__all__ = ["Shape", "Worker"]

HEARTBEAT_S = 1.5
#: Longest lease (`HoldMaxMs`), and time that a stop takes (below `StopTimeoutMs`).
HOLD_MAX_S = 6.0
STOP_S = 0.1
#: Most ends in one answer.
MAX_LISTED_ENDS = 500
POLL_S = 0.02


@dataclass(slots=True)
class Shape:
    """What a worker says of itself; a change shows in its next heartbeat."""

    cpu: int = 32_000
    mem_mb: int = 128_000
    labels: tuple = ("a", "r1")
    service: str = "svc"
    zone: str = "kumasi"


@dataclass(slots=True)
class _Run:
    run: int
    end_s: float
    how: str
    saved: str = ""
    started_s: float = field(default_factory=time.monotonic)


class Worker:
    """One worker at an address; each life of it is an incarnation.

    Parameters
    ----------
    number : int
    host : str
    port : int
    control_address : str
        Where it sends its heartbeats.
    record : callable
        Takes a line of text on what happened.
    """

    def __init__(self, number, host, port, control_address, record):
        self.worker_id = f"i-{number}"
        self.shape = Shape()
        self.control_address = control_address
        self.server = Server(host, port, self._handle)
        self.address = f"{host}:{port}"
        #: Returns (run time in seconds, how it ends) of a task.
        self.plan = lambda task: (1.0, "done")
        #: Returns the checkpoint of a task.
        self.save = lambda task: ""
        #: Called with the worker and a task once it has begun.
        self.on_start = lambda worker, task: None
        #: Status with which starts are refused; 0 if they aren't.
        self.refuses_starts = 0
        #: Time after which the next start is carried out, without an answer, by
        #: whatever life is there; None if it is answered as usual.
        self.next_start_delay_s = None
        #: Called with each end that `LastSeen` reaches.
        self.on_noted = lambda row: None
        #: Delay of the first heartbeat of a life.
        self.first_heartbeat_s = 0.0
        self.is_up = False
        #: Tasks that have ever begun.
        self.begun = set()
        self._record = record
        self._acknowledged = asyncio.Event()
        self._heartbeats = None
        self._settling = None
        self.running = {}

    @property
    def clock_ms(self):
        """The worker's steady clock, which starts anew with each life."""
        return 1000 + int((time.monotonic() - self._born_s) * 1000)

    async def start(self):
        """Begin a life."""
        self._born_s = time.monotonic()
        self.born_ms = time.time_ns() // 1_000_000
        self._sequence = 0
        self._token = 0
        self._lease_end_s = 0.0
        self.running = {}
        self._ended = []
        self._next_end = 1
        self._highest_by_task = {}
        self.is_up = True
        await self.server.start()
        self._record(f"{self.worker_id} begins a life, born {self.born_ms}")
        self._heartbeats = asyncio.ensure_future(self._send_heartbeats())
        self._settling = asyncio.ensure_future(self._settle_forever())

    def crash(self):
        """End the life without a word."""
        self.is_up = False
        self.server.kill()
        for task in (self._heartbeats, self._settling):
            if task is not None:
                task.cancel()
        self._record(f"{self.worker_id} crashes with {sorted(self.running)[:8]}")
        self.running = {}

    async def _send_heartbeats(self):
        await asyncio.sleep(self.first_heartbeat_s)
        while True:
            self._sequence += 1
            body = json.dumps(self._heartbeat()).encode()
            path = f"/api/Instances.Heartbeat/{self.worker_id}"
            try:
                await call(self.control_address, "POST", path, body, timeout_s=1.0)
                self._acknowledged.set()
                self._acknowledged = asyncio.Event()
            except OSError as error:
                self._record(f"{self.worker_id} heartbeat unanswered: {error}")
            await asyncio.sleep(HEARTBEAT_S)

    async def wait_heartbeat(self):
        """Wait until a heartbeat that is sent after this call is acknowledged."""
        await self._acknowledged.wait()

    def _heartbeat(self):
        shape = self.shape
        return {
            "Service": shape.service,
            "Address": self.address,
            "Zone": shape.zone,
            "Version": "v1",
            "Slots": 8,
            "State": "ready",
            "ColdRemainingMs": 0,
            "Capacity": {"Cpu": shape.cpu, "MemMb": shape.mem_mb, "Gpu": 0},
            "Labels": list(shape.labels),
            "ClockMs": self.clock_ms,
            "Sequence": self._sequence,
            "born": self.born_ms,
        }

    async def _settle_forever(self):
        while True:
            self._settle()
            await asyncio.sleep(POLL_S)

    def _settle(self):
        now_s = time.monotonic()
        is_lapsed = now_s > self._lease_end_s
        for task, run in list(self.running.items()):
            run.saved = self.save(task)
            if is_lapsed:
                self._end(task, run, "lapsed")
            elif run.end_s <= now_s:
                self._end(task, run, run.how)

    def _end(self, task, run, how):
        del self.running[task]
        self._block(task, run.run)
        saved = "" if how == "done" else run.saved
        self._ended.append([self._next_end, task, run.run, how, saved])
        self._next_end += 1
        self._record(f"{self.worker_id} end {task} run {run.run} {how}")

    def _block(self, task, run):
        self._highest_by_task[task] = max(self._highest_by_task.get(task, 0), run)

    async def _handle(self, request):
        expected = request.headers.get("x-expect-instance", "")
        if expected not in ("", self.worker_id):
            return 421, b""
        body = request.json()
        name = request.path.removeprefix("/api/").replace("-", "_")
        if name == "run_start" and self.refuses_starts:
            self._record(f"{self.worker_id} answers a start with {self.refuses_starts}")
            return self.refuses_starts, b""
        if name == "run_start" and self.next_start_delay_s is not None:
            delay_s, self.next_start_delay_s = self.next_start_delay_s, None
            self._record(f"{self.worker_id} start {body['Task']} late in {delay_s} s")
            asyncio.get_running_loop().call_later(delay_s, self._start_late, body)
            return None
        if not self._accepts(body):
            return self._conflict("fence")
        return await getattr(self, f"_do_{name}")(body)

    def _accepts(self, body):
        """Take a call's fencing token, or refuse a lower one than the highest seen."""
        if body["FencingToken"] < self._token:
            return False
        self._token = body["FencingToken"]
        self._settle()
        return True

    def _start_late(self, body):
        """Carry out a start that got no answer; it may be meant for an earlier life."""
        if self.is_up and self._accepts(body):
            self._record(f"{self.worker_id} carries out a late start")
            self._start_run(body)

    def _conflict(self, reason):
        return json_reply(409, {"ClockMs": self.clock_ms, "Reason": reason})

    def _accept(self):
        return json_reply(200, {"ClockMs": self.clock_ms})

    def _extend(self, until_ms):
        longest_s = time.monotonic() + HOLD_MAX_S
        until_s = self._born_s + (until_ms - 1000) / 1000
        self._lease_end_s = max(self._lease_end_s, min(until_s, longest_s))

    async def _do_run_start(self, body):
        return self._start_run(body)

    def _start_run(self, body):
        task, number = body["Task"], body["RunId"]
        run = self.running.get(task)
        if run is not None and run.run == number:
            return self._accept()
        self._extend(body["UntilMs"])
        if number <= self._highest_by_task.get(task, 0) or run is not None:
            return self._conflict("old")
        if self._lease_end_s <= time.monotonic():
            return self._conflict("late")
        duration_s, how = self.plan(task)
        saved = body.get("Checkpoint", "")
        end_s = time.monotonic() + duration_s
        self.running[task] = _Run(number, end_s, how, saved)
        self.begun.add(task)
        self._record(f"{self.worker_id} start {task} run {number}")
        self.on_start(self, task)
        if not self.is_up:
            # It has crashed before it could answer.
            return None
        return self._accept()

    async def _do_run_stop(self, body):
        run = self.running.get(body["Task"])
        if run is not None and run.run == body["RunId"]:
            if run.how != "stopped":
                run.how, run.end_s = "stopped", time.monotonic() + STOP_S
        else:
            self._block(body["Task"], body["RunId"])
        return self._accept()

    async def _do_pace(self, body):
        return self._accept()

    async def _do_hold(self, body):
        if body.get("UntilMs"):
            self._extend(body["UntilMs"])
        for row in self._ended:
            if row[0] <= body["LastSeen"]:
                self.on_noted(row)
        self._ended = [row for row in self._ended if row[0] > body["LastSeen"]]
        end_s = time.monotonic() + min(2000, body.get("WaitMs", 0)) / 1000
        while not self._ended and time.monotonic() < end_s:
            await asyncio.sleep(POLL_S)
        now_s = time.monotonic()
        rows = [
            [task, run.run, run.saved, _percent(run, now_s), 0]
            for task, run in self.running.items()
        ]
        ended = self._ended[:MAX_LISTED_ENDS]
        lists = {"born": self.born_ms, "ClockMs": self.clock_ms}
        return json_reply(200, lists | {"Running": rows, "Ended": ended})


def _percent(run, now_s):
    duration_s = run.end_s - run.started_s
    return min(99, int(100 * (now_s - run.started_s) / max(0.001, duration_s)))
