"""Stand-in of a worker, as the users' protocol describes it.

What a task does is part of its ``Spec``, a JSON document: ``work_ms``, the time that it
works, ``saved_bytes``, the length of its checkpoints (0 for none), and ``crash_ms``,
the time after its start at which it crashes its worker (0 for never).
"""

import asyncio
import contextlib
import json
import time
from dataclasses import dataclass

from .web import Client, encode_json

__all__ = ["End", "Worker"]

#: Longest lease, and the time of a stop, as in the settings.
HOLD_MAX_S = 6.0
STOP_S = 0.1
#: Work after which a task has a new checkpoint, and the time to resume from one.
CHECKPOINT_S = 2.0
RESTORE_S = 0.1
HEARTBEAT_S = 1.5
#: Time in which a heartbeat has to be acknowledged.
ANSWER_S = 1.0
#: Time for which a draining worker serves after the acknowledgement: `DrainMs`.
DRAIN_S = 2.5
#: Time after which a worker ends whose deregistration is not acknowledged.
UNACKNOWLEDGED_S = 4.0
#: Time after which a worker that has crashed is back, under a new id.
BACK_S = 3.0
#: Interval at which ends and leases are looked at.
SETTLE_S = 0.02
#: Largest number of ends in one reply.
LISTED_ENDS = 500
#: First value of the worker's clock in milliseconds.
FIRST_CLOCK_MS = 5000


@dataclass
class _Run:
    run: int
    began_s: float
    work_s: float
    #: Work that an earlier run had saved.
    resumed_s: float
    saved_bytes: int
    checkpoint: str
    #: When the task crashes its worker; 0 for never.
    crash_s: float = 0.0
    stop_s: float = 0.0

    def worked_s(self, now_s):
        return self.resumed_s + max(0.0, now_s - self.began_s)

    def update_checkpoint(self, now_s):
        """Save with each `CHECKPOINT_S` of work."""
        steps = int(self.worked_s(now_s) / CHECKPOINT_S)
        if steps:
            self._save(steps * CHECKPOINT_S)

    def save_at_stop(self, now_s):
        """Save all work that was done."""
        self._save(self.worked_s(now_s))

    def _save(self, work_s):
        if self.saved_bytes:
            self.checkpoint = f"{int(work_s * 1000):0{self.saved_bytes}x}"


@dataclass(frozen=True)
class End:
    """An end of a run, as the worker lists it."""

    number: int
    task: str
    run: int
    how: str
    saved: str


class Worker:
    """One worker of a machine.

    Parameters
    ----------
    worker_id, service, zone, rack : str
    cpu : int
        Capacity in thousandths of a core.
    note : callable
        Called with a text for each start and end.
    """

    def __init__(self, worker_id, service, zone, rack, cpu, note):
        self.worker_id = worker_id
        self._first_id = worker_id
        self.service = service
        self.zone = zone
        self.rack = rack
        self.cpu = cpu
        self._note = note
        #: Called when the worker crashes and when it is back.
        self.on_crash = lambda: None
        self.on_return = lambda: None
        #: Starts so far, as triples of monotonic time, task and run.
        self.starts = []
        #: Crashes so far, as pairs of monotonic time and the task that caused it.
        self.crashes = []
        #: Specification of each task that was started here.
        self.specs = {}
        self._drains = asyncio.Event()
        #: Changes with each end.
        self._changed = asyncio.Event()
        self._begin_life()

    def _begin_life(self):
        """Begin a life of the worker, which knows nothing of an earlier one."""
        #: Whether the worker has not left and is not down.
        self.is_up = True
        self._born_s = time.monotonic()
        self.born_ms = time.time_ns() // 1_000_000
        self._token = 0
        self._sequence = 0
        self._lease_s = 0.0
        self._runs = {}
        self._highest = {}
        self._unlisted = []
        #: All ends of this life.
        self.ends = []

    def _crash(self, task):
        self._note(f"{self.worker_id}: crashes, by {task}")
        self.crashes.append((time.monotonic(), task))
        self.is_up = False
        self._runs.clear()
        self.on_crash()
        asyncio.get_running_loop().call_later(BACK_S, self._return)

    def _return(self):
        self.worker_id = f"{self._first_id}-{len(self.crashes)}"
        self._begin_life()
        self.on_return()
        self._note(f"{self.worker_id}: is back")

    def clock_ms(self):
        """Return the worker's clock."""
        return int((time.monotonic() - self._born_s) * 1000) + FIRST_CLOCK_MS

    @property
    def running(self):
        """Tasks that run now."""
        return dict(self._runs)

    async def run(self):
        """End runs that are due, until cancelled."""
        while True:
            self._settle()
            await asyncio.sleep(SETTLE_S)

    async def beat(self, control):
        """Send heartbeats to an address until the worker has left.

        Once `drain` was called, the worker goes on serving for a while after the
        acknowledgement, deregisters and ends; without an acknowledgement of that it
        ends `UNACKNOWLEDGED_S` later.

        Parameters
        ----------
        control : tuple of (str, int)
        """
        client = Client(control)
        while True:
            if not self.is_up:
                await asyncio.sleep(SETTLE_S)
                continue
            is_draining = self._drains.is_set()
            status = await client.post(
                f"/api/Instances.Heartbeat/{self.worker_id}",
                self._heartbeat(is_draining),
                ANSWER_S,
            )
            if is_draining and status == 200:
                break
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(HEARTBEAT_S):
                    await self._drains.wait()
        self._note(f"{self.worker_id}: draining was acknowledged")
        await asyncio.sleep(DRAIN_S)
        self._note(f"{self.worker_id}: deregisters")
        path = f"/api/Instances.Deregister/{self.worker_id}"
        status = await client.post(
            path, encode_json({"born": self.born_ms}), UNACKNOWLEDGED_S
        )
        self.is_up = False
        for task, run in list(self._runs.items()):
            self._end(task, run, "stopped")
        self._note(f"{self.worker_id}: ends, answer to the deregistration: {status}")

    def drain(self):
        """Let the worker leave; its next heartbeat says that it drains."""
        self._drains.set()

    def _heartbeat(self, is_draining):
        self._sequence += 1
        heartbeat = {
            "Service": self.service,
            "Address": "127.0.0.1:1",
            "Zone": self.zone,
            "Version": "v1",
            "Slots": 8,
            "State": "draining" if is_draining else "ready",
            "ColdRemainingMs": 0,
            "Capacity": {"Cpu": self.cpu, "MemMb": 128_000, "Gpu": 0},
            "Labels": ["a", self.rack],
            "ClockMs": self.clock_ms(),
            "Sequence": self._sequence,
            "born": self.born_ms,
        }
        if is_draining:
            heartbeat["RemainingMs"] = int(DRAIN_S * 1000)
        return encode_json(heartbeat)

    def _settle(self):
        now_s = time.monotonic()
        is_lapsed = now_s > self._lease_s
        for task, run in list(self._runs.items()):
            run.update_checkpoint(now_s)
            if run.crash_s and now_s >= run.crash_s:
                self._crash(task)
                return
            if is_lapsed:
                self._end(task, run, "lapsed")
            elif run.stop_s:
                if now_s >= run.stop_s:
                    run.save_at_stop(now_s)
                    self._end(task, run, "stopped")
            elif run.worked_s(now_s) >= run.work_s:
                self._end(task, run, "done")

    def _end(self, task, run, how):
        del self._runs[task]
        self._highest[task] = max(self._highest.get(task, 0), run.run)
        end = End(len(self.ends) + 1, task, run.run, how, run.checkpoint)
        self.ends.append(end)
        self._unlisted.append(end)
        self._changed.set()
        self._note(f"{self.worker_id}: {task} run {run.run} ends {how}")

    async def handle(self, request):
        """Answer a call of the agent."""
        if not self.is_up:
            raise ConnectionResetError("the worker is not there")
        expected = request.headers.get("x-expect-instance", "")
        if expected not in ("", self.worker_id):
            return 421, b"{}"
        body = json.loads(request.body or b"{}")
        self._settle()
        token = body.get("FencingToken", 0)
        if token < self._token:
            return self._reply(409, Reason="fence")
        self._token = token
        name = request.path.removeprefix("/api/").replace("-", "_")
        handler = getattr(self, f"_do_{name}", None)
        return await handler(body) if handler else (404, b"{}")

    def _reply(self, status, **fields):
        return status, encode_json({"ClockMs": self.clock_ms()} | fields)

    def _extend(self, until_ms):
        if until_ms:
            now_s = time.monotonic()
            left_s = min(HOLD_MAX_S, (until_ms - self.clock_ms()) / 1000)
            self._lease_s = max(self._lease_s, now_s + left_s)

    async def _do_run_start(self, body):
        task, number = body["Task"], body["RunId"]
        run = self._runs.get(task)
        if run is not None and run.run == number:
            return self._reply(200)
        self._extend(body["UntilMs"])
        if run is not None or number <= self._highest.get(task, 0):
            return self._reply(409, Reason="old")
        now_s = time.monotonic()
        if body["UntilMs"] <= self.clock_ms() or self._lease_s <= now_s:
            return self._reply(409, Reason="late")
        self._begin(task, number, body, now_s)
        return self._reply(200)

    def _begin(self, task, number, body, now_s):
        told = json.loads(body["Spec"])
        saved = body.get("Checkpoint", "")
        resumed_s = int(saved, 16) / 1000 if saved else 0.0
        began_s = now_s + (RESTORE_S if saved else 0.0)
        work_s = told["work_ms"] / 1000
        size = told.get("saved_bytes", 0)
        crash_ms = told.get("crash_ms", 0)
        crash_s = now_s + crash_ms / 1000 if crash_ms else 0.0
        self._runs[task] = _Run(
            number, began_s, work_s, resumed_s, size, saved, crash_s
        )
        self.starts.append((now_s, task, number))
        self.specs[task] = body["Spec"]
        self._note(f"{self.worker_id}: {task} run {number} starts")

    async def _do_run_stop(self, body):
        task, number = body["Task"], body["RunId"]
        run = self._runs.get(task)
        if run is not None and run.run == number:
            run.stop_s = run.stop_s or time.monotonic() + STOP_S
        elif run is None:
            self._highest[task] = max(self._highest.get(task, 0), number)
        return self._reply(200)

    async def _do_pace(self, body):
        return self._reply(200)

    async def _do_hold(self, body):
        self._extend(body.get("UntilMs", 0))
        seen = body.get("LastSeen", 0)
        self._unlisted = [end for end in self._unlisted if end.number > seen]
        if not self._unlisted and body.get("WaitMs"):
            self._changed.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(body["WaitMs"] / 1000):
                    await self._changed.wait()
        now_s = time.monotonic()
        running = [
            [
                task,
                run.run,
                run.checkpoint,
                min(99, int(100 * run.worked_s(now_s) / run.work_s)),
                500,
            ]
            for task, run in self._runs.items()
        ]
        ended = [
            [end.number, end.task, end.run, end.how, end.saved]
            for end in self._unlisted[:LISTED_ENDS]
        ]
        return self._reply(200, born=self.born_ms, Running=running, Ended=ended)
