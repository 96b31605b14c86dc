"""The one client of a worker on its own machine."""

import msgspec

from ..h1client import H1Client, H1Error
from ..jobs.worker import EndedRun, RunEnd, RunningTask
from ..jobs.workeradapter import (
    Listing,
    StartAnswer,
    WorkerAdapter,
    WorkerReplyError,
)

__all__ = ["PlatformWorker"]

#: Header that names the incarnation of a worker which a call is meant for.
INCARNATION_HEADER = "X-Expect-Instance"
JSON_HEADER = {"Content-Type": "application/json"}
#: Seconds to wait for the answer to an order.
ORDER_TIMEOUT_S = 0.7
#: Seconds that the answer may take beyond the wait that was asked for.
HOLD_MARGIN_S = 1.0
#: A call reached another incarnation of the worker.
STATUS_OTHER_INCARNATION = 421

_HOWS_BY_WORD = {
    "done": RunEnd.COMPLETED,
    "failed": RunEnd.FAILED,
    "stopped": RunEnd.STOPPED,
    "lapsed": RunEnd.LEASE_EXPIRED,
    "broken": RunEnd.GANG_MEMBER_ENDED,
    "alone": RunEnd.GANG_TIMED_OUT,
}
_ANSWERS_BY_REASON = {
    "fence": StartAnswer.FENCED,
    "old": StartAnswer.OUTDATED,
    "late": StartAnswer.EXPIRED,
    "room": StartAnswer.REFUSED,
    "ticket": StartAnswer.REFUSED,
}


class _Answer(msgspec.Struct):
    clock_ms: int = msgspec.field(name="ClockMs", default=0)
    reason: str = msgspec.field(name="Reason", default="")


class _Lists(msgspec.Struct):
    clock_ms: int = msgspec.field(name="ClockMs")
    # Rows of task, run, checkpoint, percent and a figure.
    running: list[tuple] = msgspec.field(name="Running", default_factory=list)
    # Rows of number, task, run, how it ended and checkpoint.
    ended: list[tuple] = msgspec.field(name="Ended", default_factory=list)
    born: int = 0


class PlatformWorker(WorkerAdapter):
    """A worker over HTTP.

    Parameters
    ----------
    address : str
        ``host:port`` at which the worker takes orders.
    """

    def __init__(self, address):
        self._orders = H1Client(address)
        self._holds = H1Client(address)

    def close(self):
        """End all connections."""
        self._orders.close()
        self._holds.close()

    async def start(self, worker_id, order, until_ms):
        """Order a run; see `WorkerAdapter.start`."""
        body = {
            "Task": order.task_id,
            "RunId": order.run,
            "Spec": order.program,
            "UntilMs": until_ms,
            "FencingToken": order.epoch,
        }
        if order.checkpoint:
            body["Checkpoint"] = order.checkpoint
        if order.permit:
            body["Ticket"] = order.permit
        return await self._order("/api/run-start", worker_id, body)

    async def stop(self, worker_id, order):
        """Order the end of a run; see `WorkerAdapter.stop`."""
        body = {
            "Task": order.task_id,
            "RunId": order.run,
            "FencingToken": order.epoch,
        }
        return await self._order("/api/run-stop", worker_id, body)

    async def pace(self, worker_id, epoch, task_id, run, percent):
        """Set the share at which a run works; see `WorkerAdapter.pace`."""
        body = {
            "Task": task_id,
            "RunId": run,
            "Percent": percent,
            "FencingToken": epoch,
        }
        return await self._order("/api/pace", worker_id, body)

    async def hold(self, worker_id, epoch, seen, until_ms, wait_ms):
        """Extend the lease and list runs; see `WorkerAdapter.hold`."""
        if not self._holds.is_connected:
            # Another incarnation may answer; its ends have other numbers.
            seen = 0
        body = {"FencingToken": epoch, "LastSeen": seen, "WaitMs": wait_ms}
        if until_ms:
            body["UntilMs"] = until_ms
        timeout_s = wait_ms / 1000 + HOLD_MARGIN_S
        reply = await self._call(self._holds, "/api/hold", worker_id, body, timeout_s)
        if reply.status != 200:
            raise WorkerReplyError(f"hold: status {reply.status}")
        lists = _decode(reply, _Lists)
        try:
            running = tuple(RunningTask(*_running_row(row)) for row in lists.running)
            ended = tuple(EndedRun(*_ended_row(row)) for row in lists.ended)
        except (KeyError, TypeError, ValueError) as error:
            raise WorkerReplyError(f"hold: rows not understood: {error}") from error
        return Listing(lists.born, lists.clock_ms, running, ended)

    async def _order(self, target, worker_id, body):
        reply = await self._call(self._orders, target, worker_id, body, ORDER_TIMEOUT_S)
        if reply.status == STATUS_OTHER_INCARNATION:
            return StartAnswer.OTHER_INCARNATION, 0
        answer = _decode(reply, _Answer) if reply.body else _Answer()
        if reply.status == 200:
            return StartAnswer.RUNNING, answer.clock_ms
        if reply.status == 409:
            known = _ANSWERS_BY_REASON.get(answer.reason, StartAnswer.REFUSED)
            return known, answer.clock_ms
        return StartAnswer.REFUSED, answer.clock_ms

    async def _call(self, client, target, worker_id, body, timeout_s):
        headers = dict(JSON_HEADER)
        if worker_id:
            headers[INCARNATION_HEADER] = worker_id
        data = msgspec.json.encode(body)
        try:
            return await client.call("POST", target, timeout_s, data, headers)
        except H1Error as error:
            raise WorkerReplyError(str(error)) from error


def _decode(reply, form):
    try:
        return msgspec.json.decode(reply.body, type=form)
    except (msgspec.DecodeError, ValueError) as error:
        raise WorkerReplyError(f"answer not understood: {error}") from error


def _running_row(row):
    task_id, run, checkpoint, percent, *more = row
    figure = more[0] if more else 0
    return str(task_id), int(run), checkpoint or "", int(percent), int(figure or 0)


def _ended_row(row):
    number, task_id, run, how, checkpoint, *_ = row
    return int(number), str(task_id), int(run), _HOWS_BY_WORD[how], checkpoint or ""
