"""Executes the leader's orders for runs on the worker of an agent.

The worker may execute an unanswered order later. If a start is refused after an earlier
attempt went unanswered, a stop has to rule out that attempt before the start counts as
refused.
"""

from contextlib import contextmanager
from dataclasses import dataclass

from ..counters import counters
from ..decisionlog import log_decision
from ..gen.peer.ttypes import OrderReply, OrderResult, TaskTraits
from .refusals import RefusalScope
from .workeradapter import StartAnswer, WorkerReplyError, WorkerUnsentError

__all__ = ["OrderHandler"]

#: Attempts to send an order before its outcome is reported as unknown.
MAX_ORDER_ATTEMPTS = 3

#: Detail of the reply to an order that was delayed beyond its lease.
ORDER_EXPIRED = "the order has expired"
#: Detail of the reply to a start that a stop has overtaken.
START_WITHDRAWN = "a stop has withdrawn the start"
#: Detail of the reply to an order that the agent may not pass on yet.
SESSION_UNCONFIRMED = "the session with the worker is not confirmed"

#: An outdated start has already ended or been stopped; the lists of runs tell which.
_RESULTS_BY_ANSWER = {
    StartAnswer.RUNNING: OrderResult.CONFIRMED,
    StartAnswer.OUTDATED: OrderResult.CONFIRMED,
    StartAnswer.REFUSED: OrderResult.REFUSED,
    StartAnswer.NO_ROOM: OrderResult.REFUSED,
    StartAnswer.NOT_PERMITTED: OrderResult.REFUSED,
    StartAnswer.INVALID: OrderResult.REFUSED,
    StartAnswer.OTHER_INCARNATION: OrderResult.GONE,
}
#: What the answers to refused starts say of other starts.
_SCOPES_BY_ANSWER = {
    StartAnswer.REFUSED: RefusalScope.WORKER,
    StartAnswer.NO_ROOM: RefusalScope.ROOM,
    StartAnswer.NOT_PERMITTED: RefusalScope.PERMIT,
    StartAnswer.INVALID: RefusalScope.ORDER,
}


@dataclass(slots=True, eq=False)
class _Start:
    """A start in progress, which takes up to `MAX_ORDER_ATTEMPTS`."""

    task_id: str
    run: int
    is_withdrawn: bool = False
    #: Whether an attempt may have reached the worker.
    is_sent: bool = False
    #: Whether the worker has answered that it runs.
    has_begun: bool = False

    @property
    def unconfirmed_result(self):
        """`OrderResult` if no attempt was answered."""
        return OrderResult.UNKNOWN if self.is_sent else OrderResult.NOT_SENT


class OrderHandler:
    """Handles the orders for one agent.

    Parameters
    ----------
    agent : Agent
    """

    __slots__ = ("_agent", "_starts")

    def __init__(self, agent):
        self._agent = agent
        #: Starts in progress.
        self._starts = []

    async def start_run(self, order):
        """Execute an order to start a run; see `OrderResult`."""
        if not self._agent.accepts(order.epoch):
            return self._order_reply(OrderResult.FENCED, "epoch")
        if self._has_expired(order):
            return self._order_reply(OrderResult.UNKNOWN, ORDER_EXPIRED)
        self._agent.confirm_session(order.session)
        self._agent.grant.extend(order.grant_until_ms)
        self._agent.pacing_facts.traits_by_task[order.task_id] = TaskTraits(
            order.task_id,
            order.target_ms,
            order.filler,
            order.image,
            order.millicores,
        )
        with self._in_progress(order) as start:
            result, detail, scope = await self._start(order, start)
        counters.add("starts", result=OrderResult._VALUES_TO_NAMES[result])
        if result != OrderResult.CONFIRMED:
            log_decision(
                "start not confirmed",
                task_id=order.task_id,
                run=order.run,
                epoch=order.epoch,
                result=OrderResult._VALUES_TO_NAMES[result],
                detail=detail,
            )
        return self._order_reply(result, detail, scope, start.has_begun)

    @contextmanager
    def _in_progress(self, order):
        """Yield the `_Start` of an order, which a stop withdraws meanwhile."""
        start = _Start(order.task_id, order.run)
        self._starts.append(start)
        try:
            yield start
        finally:
            self._starts.remove(start)

    def _withdraw(self, order):
        """Make no further attempt of a start that a stop rules out."""
        for start in self._starts:
            if (start.task_id, start.run) == (order.task_id, order.run):
                start.is_withdrawn = True
                log_decision(
                    "start withdrawn",
                    task_id=order.task_id,
                    run=order.run,
                    epoch=order.epoch,
                )

    async def _start(self, order, start):
        """Return the `OrderResult`, a detail, and the `RefusalScope` or None."""
        is_uncertain = order.repeat
        detail = ""
        for attempt in range(1, MAX_ORDER_ATTEMPTS + 1):
            obstacle = self._find_obstacle(order, start)
            if obstacle is not None:
                return *obstacle, None
            detail = self._refusal_reason()
            if detail:
                answer = StartAnswer.REFUSED
            else:
                try:
                    answer, detail = await self._send_start(order)
                except WorkerUnsentError as error:
                    detail = str(error)
                    continue
            start.is_sent = True
            _log_attempt(order, attempt, answer, detail)
            if answer is None:
                is_uncertain = True
                continue
            if answer is StartAnswer.EXPIRED:
                continue
            start.has_begun = answer is StartAnswer.RUNNING
            scope = _SCOPES_BY_ANSWER.get(answer)
            if scope is not None and is_uncertain:
                # An earlier attempt may still reach the worker; rule it out.
                return *await self._stop(order), None
            return _RESULTS_BY_ANSWER[answer], detail, scope
        return start.unconfirmed_result, detail, None

    def _find_obstacle(self, order, start):
        """Return the result and detail of a start that must not be attempted, or None.

        Looked for before each attempt, since what forbids the start may become known
        during an earlier one.
        """
        if order.epoch < self._agent.epoch:
            return OrderResult.FENCED, "epoch"
        if not self._is_same_incarnation(order):
            return OrderResult.GONE, "another incarnation"
        if not self._agent.is_in_session:
            return start.unconfirmed_result, SESSION_UNCONFIRMED
        if start.is_withdrawn:
            return start.unconfirmed_result, START_WITHDRAWN
        if self._has_expired(order):
            return OrderResult.UNKNOWN, ORDER_EXPIRED
        return None

    def _refusal_reason(self):
        """Return why the worker may not start anything; empty if it may."""
        if not self._agent.is_announced:
            # It may be of another kind than the incarnation that announced itself.
            return "not announced"
        if self._agent.announcement.is_draining:
            return "draining"
        return "evacuated" if self._agent.is_evacuated else ""

    def _has_expired(self, order):
        """Tell whether the order may not be sent to the worker any more.

        The leader may have assigned the run to another worker.

        A later grant does not renew the order: it may come from a leader that has given
        the run up meanwhile. Nothing is known of an order from before a boot.
        """
        until_ms = order.grant_until_ms
        now_ms = self._agent.clock_ms()
        is_over = until_ms <= now_ms
        if order.send_until_ms is not None:
            # What forbids the start may have become known since the leader ordered it.
            is_over = is_over or order.send_until_ms <= now_ms
        return is_over or self._agent.grant.is_on_other_clock(until_ms)

    async def _send_start(self, order):
        # The worker refuses the start once the order itself has expired.
        until_ms = self._agent.worker_clock.convert(order.grant_until_ms)
        token = self._agent.session.token
        try:
            answer, _ = await self._agent.adapter.start(
                order.worker_id, token, order, until_ms
            )
        except WorkerUnsentError:
            raise
        except WorkerReplyError as error:
            self._agent.start_unanswered_ms = self._agent.clock_ms()
            return None, str(error)
        return self._interpret(answer, token), answer.name.lower()

    def _interpret(self, answer, token):
        """Return the answer of a worker to a call under a token; None if it is lost.

        A worker that refuses the token has seen one of a later session of this agent,
        whichever leader that followed: no other process calls the worker.
        """
        if answer is not StartAnswer.FENCED:
            return answer
        if self._agent.session.token != token:
            return StartAnswer.OTHER_INCARNATION
        self._agent.pass_refused_session()
        return None

    async def stop_run(self, order):
        """Execute an order to stop a run or to prevent its start."""
        if not self._agent.accepts(order.epoch):
            return self._order_reply(OrderResult.FENCED, "epoch")
        self._agent.confirm_session(order.session)
        self._withdraw(order)
        result, detail = await self._stop(order)
        return self._order_reply(result, detail)

    async def _stop(self, order):
        detail = ""
        for _ in range(MAX_ORDER_ATTEMPTS):
            if not self._is_same_incarnation(order):
                return OrderResult.GONE, "another incarnation"
            if not self._agent.is_in_session:
                return OrderResult.UNKNOWN, SESSION_UNCONFIRMED
            token = self._agent.session.token
            try:
                answer, _ = await self._agent.adapter.stop(
                    order.worker_id, token, order
                )
            except WorkerReplyError as error:
                detail = str(error)
                continue
            detail = f"stop {answer.name.lower()}"
            answer = self._interpret(answer, token)
            if answer is not None and answer not in _SCOPES_BY_ANSWER:
                return _RESULTS_BY_ANSWER[answer], detail
        return OrderResult.UNKNOWN, detail

    def _is_same_incarnation(self, order):
        return (
            self._agent.announcement is not None
            and self._agent.announcement.worker_id == order.worker_id
            and self._agent.born_ms == order.born_ms
        )

    def _order_reply(self, result, detail, scope=None, has_begun=None):
        return OrderReply(result, self._agent.clock_ms(), detail, scope, has_begun)


def _log_attempt(order, attempt, answer, detail):
    """Log an attempt that got no answer, or that follows such a one."""
    if answer is None or attempt > 1:
        log_decision(
            "start attempted",
            task_id=order.task_id,
            run=order.run,
            epoch=order.epoch,
            attempt=attempt,
            is_repeat=order.repeat,
            is_answered=answer is not None,
            detail=detail,
        )
