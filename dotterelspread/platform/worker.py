"""HTTP client of the worker on the same instance."""

import msgspec

from ..h1client import H1Client, H1Error, H1UnsentError
from ..jobs.agentreport import EndedRun, RunEnd, RunningTask
from ..jobs.workeradapter import (
    Listing,
    StartAnswer,
    WorkerAdapter,
    WorkerFencedError,
    WorkerGoneError,
    WorkerReplyError,
    WorkerUnsentError,
)
from .decoding import MAX_COUNT, MAX_INSTANT_MS, DecodingError, Instant, decode_json

__all__ = ["PlatformWorker"]

#: Header with the worker incarnation to which a call is addressed.
INCARNATION_HEADER = "X-Expect-Instance"
JSON_HEADER = {"Content-Type": "application/json"}
ORDER_TIMEOUT_S = 0.7
#: Connections that are opened for an order until one outlasts its first reply.
MAX_ORDER_CONNECTIONS = 2
#: Added to the requested wait time of a long poll to get its timeout.
HOLD_MARGIN_S = 1.0
#: Status of a call that reached another incarnation of the worker.
STATUS_OTHER_INCARNATION = 421
#: Status of a call that the worker cannot read.
STATUS_INVALID = 400
#: Status of a call that the worker refuses for a reason that its body names.
STATUS_CONFLICT = 409

_RUN_ENDS_BY_NAME = {
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
    "room": StartAnswer.NO_ROOM,
    "ticket": StartAnswer.NOT_PERMITTED,
}


class _Answer(msgspec.Struct):
    clock_ms: Instant = msgspec.field(name="ClockMs", default=0)
    reason: str = msgspec.field(name="Reason", default="")


class _Lists(msgspec.Struct):
    clock_ms: Instant = msgspec.field(name="ClockMs")
    # Rows of task, run, checkpoint, progress in percent and a reported figure.
    running: list[tuple] = msgspec.field(name="Running", default_factory=list)
    # Rows of sequence number, task, run, outcome and checkpoint.
    ended: list[tuple] = msgspec.field(name="Ended", default_factory=list)
    born: Instant = 0


class PlatformWorker(WorkerAdapter):
    """`WorkerAdapter` for a worker over HTTP.

    Parameters
    ----------
    address : str
        ``host:port`` of the worker's API.
    """

    def __init__(self, address):
        self._order_client = H1Client(address)
        self._hold_client = H1Client(address)
        #: Incarnation that the connections for orders reach; 0 if unknown.
        self._order_born_ms = 0
        #: Number of connections for `hold` when one of them last returned lists.
        self._listed_connections = 0

    def close(self):
        """Close all connections."""
        self._order_client.close()
        self._hold_client.close()

    async def start(self, worker_id, token, order, until_ms):
        """Start a run; see `WorkerAdapter.start`."""
        body = {
            "Task": order.task_id,
            "RunId": order.run,
            "Spec": order.program,
            "UntilMs": until_ms,
            "FencingToken": token,
        }
        if order.checkpoint:
            body["Checkpoint"] = order.checkpoint
        if order.permit:
            body["Ticket"] = order.permit
        return await self._order("/api/run-start", worker_id, token, order, body)

    async def stop(self, worker_id, token, order):
        """Stop a run; see `WorkerAdapter.stop`."""
        body = {
            "Task": order.task_id,
            "RunId": order.run,
            "FencingToken": token,
        }
        return await self._order("/api/run-stop", worker_id, token, order, body)

    async def pace(self, worker_id, token, task_id, run, percent):
        """Throttle a run to a percentage of its speed; see `WorkerAdapter.pace`."""
        body = {
            "Task": task_id,
            "RunId": run,
            "Percent": percent,
            "FencingToken": token,
        }
        await self._connect_for_orders(worker_id, token)
        return await self._send("/api/pace", worker_id, body)

    async def hold(self, worker_id, token, seen, until_ms, wait_ms):
        """Renew the lease and list runs; see `WorkerAdapter.hold`."""
        if not self._is_incarnation_known:
            # Another incarnation numbers its ended runs afresh and has another clock,
            # and must soon be called under a session of its own.
            seen = until_ms = wait_ms = 0
        body = {"FencingToken": token, "LastSeen": seen, "WaitMs": wait_ms}
        if until_ms:
            body["UntilMs"] = until_ms
        timeout_s = wait_ms / 1000 + HOLD_MARGIN_S
        reply = await self._call(
            self._hold_client, "/api/hold", worker_id, body, timeout_s
        )
        listing = _read_listing(reply)
        self._listed_connections = self._hold_client.opened_connections
        return listing

    @property
    def _is_incarnation_known(self):
        """Whether lists have shown which incarnation the next `hold` reaches."""
        is_same = self._listed_connections == self._hold_client.opened_connections
        return self._hold_client.is_connected and is_same

    async def _order(self, target, worker_id, token, order, body):
        """Send an order on a connection to the incarnation that it is meant for."""
        if self._order_born_ms not in (0, order.born_ms):
            self._order_client.close()
        await self._connect_for_orders(worker_id, token)
        if self._order_born_ms not in (0, order.born_ms):
            return StartAnswer.OTHER_INCARNATION, 0
        return await self._send(target, worker_id, body)

    async def _connect_for_orders(self, worker_id, token):
        """Open a connection unless one is idle, and find which incarnation it reaches.

        Its lists tell that, and the call changes nothing.

        Raises
        ------
        WorkerUnsentError
        """
        body = {"FencingToken": token, "LastSeen": 0, "WaitMs": 0}
        for _ in range(MAX_ORDER_CONNECTIONS):
            if self._order_client.is_connected:
                return
            try:
                reply = await self._call(
                    self._order_client, "/api/hold", worker_id, body, ORDER_TIMEOUT_S
                )
                self._order_born_ms = _read_listing(reply).born_ms
            except WorkerReplyError as error:
                self._order_client.close()
                raise WorkerUnsentError(str(error)) from error
        if not self._order_client.is_connected:
            raise WorkerUnsentError("the worker closes each connection")

    async def _send(self, target, worker_id, body):
        reply = await self._call(
            self._order_client, target, worker_id, body, ORDER_TIMEOUT_S
        )
        if reply.status == STATUS_OTHER_INCARNATION:
            return StartAnswer.OTHER_INCARNATION, 0
        answer = _decode(reply, _Answer) if reply.body else _Answer()
        if reply.status == 200:
            return StartAnswer.RUNNING, answer.clock_ms
        if reply.status == STATUS_CONFLICT:
            known = _ANSWERS_BY_REASON.get(answer.reason, StartAnswer.REFUSED)
            return known, answer.clock_ms
        if reply.status == STATUS_INVALID:
            return StartAnswer.INVALID, answer.clock_ms
        return StartAnswer.REFUSED, answer.clock_ms

    async def _call(self, client, target, worker_id, body, timeout_s):
        headers = dict(JSON_HEADER)
        if worker_id:
            headers[INCARNATION_HEADER] = worker_id
        data = msgspec.json.encode(body)
        try:
            return await client.call("POST", target, timeout_s, data, headers)
        except H1Error as error:
            if isinstance(error.__cause__, ConnectionRefusedError):
                raise WorkerGoneError(str(error)) from error
            if isinstance(error, H1UnsentError):
                raise WorkerUnsentError(str(error)) from error
            raise WorkerReplyError(str(error)) from error


def _read_listing(reply):
    """Return the `Listing` in a reply to `hold`."""
    if reply.status == STATUS_OTHER_INCARNATION:
        raise WorkerGoneError("hold failed: another incarnation answered")
    if reply.status == STATUS_CONFLICT:
        raise WorkerFencedError("hold failed: the fencing token is outdated")
    if reply.status != 200:
        raise WorkerReplyError(f"hold failed: status {reply.status}")
    lists = _decode(reply, _Lists)
    try:
        running = tuple(RunningTask(*_running_row(row)) for row in lists.running)
        ended = tuple(EndedRun(*_ended_row(row)) for row in lists.ended)
    except (KeyError, TypeError, ValueError, OverflowError) as error:
        raise WorkerReplyError(f"hold: invalid rows in reply: {error}") from error
    return Listing(lists.born, lists.clock_ms, running, ended)


def _decode(reply, message_type):
    try:
        return decode_json(reply.body, message_type)
    except DecodingError as error:
        raise WorkerReplyError(f"invalid reply: {error}") from error


def _running_row(row):
    task_id, run, checkpoint, percent, *more = row
    figure = more[0] if more else 0
    return (
        str(task_id),
        _bounded(run, MAX_COUNT),
        str(checkpoint or ""),
        _bounded(percent, MAX_COUNT),
        _bounded(figure or 0, MAX_COUNT),
    )


def _ended_row(row):
    number, task_id, run, how, checkpoint, *_ = row
    return (
        _bounded(number, MAX_INSTANT_MS),
        str(task_id),
        _bounded(run, MAX_COUNT),
        _RUN_ENDS_BY_NAME[how],
        str(checkpoint or ""),
    )


def _bounded(value, maximum):
    """Return a number of a row as an integer from 0 to ``maximum``."""
    number = int(value)
    if not 0 <= number <= maximum:
        raise ValueError(f"{number} is not between 0 and {maximum}")
    return number
