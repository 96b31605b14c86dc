"""Client of a worker with a JSON interface over HTTP."""

from contextlib import asynccontextmanager
from functools import singledispatchmethod
from urllib.parse import quote

import aiohttp
import msgspec

from ..resources import Resources
from ..taskevent import (
    CheckpointTask,
    RenewTask,
    StartTask,
    StopTask,
    TaskCheckpointed,
    TaskStarted,
    TaskStopped,
    TaskUsage,
    ThrottleTask,
)
from ..worker import Worker, WorkerError, WorkerReport

__all__ = ["HttpWorker"]

#: Timeout in seconds of a request to the worker.
REQUEST_TIMEOUT_S = 5.0
#: Raised on an answer that is malformed, out of range or nested too deeply.
DECODE_ERRORS = (msgspec.DecodeError, ValueError, RecursionError)


class Ended(msgspec.Struct):
    """The worker's status of a task, in answers and in the list of ended tasks."""

    outcome: str
    task_id: str = ""
    epoch: int = -1
    detail: str = ""
    checkpoint: str = ""


class Report(msgspec.Struct):
    """The worker's report on its running and ended tasks."""

    clock_s: float
    running: list[tuple[str, int, Resources]]
    ended: list[Ended]
    next: int


class HttpWorker(Worker):
    """Client of the worker's HTTP interface; create it with `HttpWorker.open`.

    Deadlines are converted to the worker's clock, as read in each report. The worker
    reads it before the report arrives, so a converted deadline is never too late.
    """

    def __init__(self, session, url, clock):
        self.session = session
        self.url = url.rstrip("/")
        self.clock = clock
        #: Worker's clock minus the agent's; None before the first report.
        self.clock_offset_s = None
        self.next_ended_index = 0

    @classmethod
    @asynccontextmanager
    async def open(cls, url, clock):
        """Open a session with the worker at ``url``.

        Parameters
        ----------
        url : str
            Base URL of the worker's HTTP interface.
        clock : callable
            Returns the time of events in seconds; must advance while suspended.
        """
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            yield cls(session, url, clock)

    async def perform(self, effect):
        """Perform an effect on a task; see `Worker.perform`."""
        action, body = self._request_of(effect)
        url = f"{self.url}/v1/tasks/{quote(effect.task_id, safe='')}/{action}"
        ended = await self._call("POST", url, body, Ended)
        if ended.outcome == "running":
            if isinstance(effect, StartTask):
                return [TaskStarted(self.clock(), effect.task_id, effect.epoch)]
            if isinstance(effect, CheckpointTask):
                return [self._checkpointed(effect, ended.checkpoint)]
            return []
        return [self._stopped(ended)]

    async def report(self):
        """Return the running and stopped tasks; see `Worker.report`."""
        url = f"{self.url}/v1/report?since={self.next_ended_index}"
        report = await self._call("GET", url, None, Report)
        self.clock_offset_s = report.clock_s - self.clock()
        # The worker's own index is taken over: a restarted worker counts from 0 again.
        self.next_ended_index = report.next
        return WorkerReport(
            tuple(TaskUsage(*row) for row in report.running),
            tuple(self._stopped(ended) for ended in report.ended),
        )

    def _checkpointed(self, effect, checkpoint):
        return TaskCheckpointed(self.clock(), effect.task_id, effect.epoch, checkpoint)

    def _stopped(self, ended):
        return TaskStopped(
            self.clock(),
            ended.task_id,
            ended.epoch,
            ended.outcome,
            ended.detail,
            ended.checkpoint,
        )

    def _deadline_s(self, deadline_s):
        if self.clock_offset_s is None:
            raise WorkerError("the worker's clock is unknown before its first report")
        return deadline_s + self.clock_offset_s

    @singledispatchmethod
    def _request_of(self, effect):
        raise WorkerError(f"unsupported effect: {type(effect).__name__}")

    @_request_of.register
    def _(self, effect: StartTask):
        spec = effect.spec
        return "start", {
            "epoch": effect.epoch,
            "program": spec.program,
            "arguments": spec.arguments,
            "declared": spec.declared,
            "run_time_s": spec.run_time_s,
            "checkpoint": effect.checkpoint,
            "deadline_s": self._deadline_s(effect.lease_deadline_s),
        }

    @_request_of.register
    def _(self, effect: RenewTask):
        deadline_s = self._deadline_s(effect.lease_deadline_s)
        return "renew", {"epoch": effect.epoch, "deadline_s": deadline_s}

    @_request_of.register
    def _(self, effect: CheckpointTask):
        return "checkpoint", {"epoch": effect.epoch}

    @_request_of.register
    def _(self, effect: ThrottleTask):
        return "throttle", {"share": effect.share}

    @_request_of.register
    def _(self, effect: StopTask):
        return "stop", {"epoch": effect.epoch}

    async def _call(self, method, url, body, answer_type):
        data = None if body is None else msgspec.json.encode(body)
        try:
            async with self.session.request(method, url, data=data) as response:
                content = await response.read()
                if response.status not in (200, 409):
                    raise WorkerError(f"{url}: status {response.status}")
                return msgspec.json.decode(content, type=answer_type)
        except (aiohttp.ClientError, TimeoutError, *DECODE_ERRORS) as error:
            raise WorkerError(f"{url}: {error}") from error
