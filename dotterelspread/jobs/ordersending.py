"""Sends the leader's orders for runs to agents and applies the replies to the cell."""

import asyncio
from functools import partial, singledispatchmethod

from ..counters import counters
from ..decisionlog import log_decision
from ..gen.peer.ttypes import OrderResult, StartOrder, StopOrder
from ..peer import PeerError
from . import clock
from .cell import (
    AcknowledgeEnds,
    GrantsResumed,
    OrderSettled,
    ResumeGrants,
    StartRun,
    StopRun,
)
from .effectlog import log_effect
from .lifecycle import is_suitable
from .permits import AskPermits, PermitsAnswered, PermitServiceError
from .refusals import RefusalScope

__all__ = ["OrderSender"]

#: Timeout of an order, during which the agent retries it on the worker.
ORDER_TIMEOUT_S = 2.5

_RESULT_NAMES = {
    OrderResult.CONFIRMED: "confirmed",
    OrderResult.REFUSED: "refused",
    OrderResult.UNKNOWN: "unknown",
    OrderResult.GONE: "gone",
    OrderResult.NOT_SENT: "unsent",
}


class OrderSender:
    """Performs the effects of one term that concern runs.

    Parameters
    ----------
    leader : Leader
    """

    __slots__ = ("_permit_lock", "_leader")

    def __init__(self, leader):
        self._leader = leader
        # The policy service handles one request of a process at a time.
        self._permit_lock = asyncio.Lock()

    @singledispatchmethod
    def perform(self, effect):
        """Perform an effect without waiting for its outcome."""
        log_effect(effect, self._leader.epoch)

    @perform.register
    def _(self, effect: StartRun):
        self._spawn("start", self._start, effect)

    @perform.register
    def _(self, effect: StopRun):
        self._spawn("stop", self._stop, effect)

    @perform.register
    def _(self, effect: AcknowledgeEnds):
        link = self._leader.links_by_address.get(effect.agent_address)
        if link is not None:
            link.acknowledge(effect.born_ms, effect.number)

    @perform.register
    def _(self, effect: ResumeGrants):
        self._leader.apply(
            GrantsResumed(clock.now_s(), effect.worker_id, effect.suspension_number)
        )

    @perform.register
    def _(self, effect: AskPermits):
        run = partial(self._ask_permits, effect)
        self._leader.spawn("permits", run, job_id=effect.job_id)

    def _spawn(self, name, send, effect):
        self._leader.spawn(name, partial(send, effect), task_id=effect.task_id)

    async def _ask_permits(self, effect):
        step_id = f"{effect.job_id}.{effect.step_key[0]}.{effect.step_key[1]}"
        async with self._permit_lock:
            asked_s = clock.now_s()
            permits, valid_ms, error = None, 0, None
            try:
                permits, valid_ms = await self._leader.permit_service.ask(
                    step_id, list(effect.born_ms_by_worker), effect.expected_s
                )
            except PermitServiceError as refusal:
                error = str(refusal)
        log_decision(
            "permits asked",
            step_id=step_id,
            workers=len(effect.born_ms_by_worker),
            permitted=len(permits or ()),
            valid_ms=valid_ms,
            expected_s=effect.expected_s,
            waited_s=round(clock.now_s() - asked_s, 3),
            error=error,
        )
        self._leader.apply(
            PermitsAnswered(clock.now_s(), effect, asked_s, permits, valid_ms)
        )

    async def _start(self, effect):
        if not _is_current(effect):
            return
        worker, run, step = effect.worker, effect.run, effect.step
        if not self._is_suitable(effect):
            reason = "evacuated" if worker.is_evacuated else "unsuitable"
            self._withhold(effect, reason)
            return
        if run.is_stop_requested:
            # For example, the job has been cancelled during the append.
            self._withhold(effect, "stop requested")
            return
        link = self._leader.links_by_address.get(worker.agent_address)
        is_cold = worker.is_cold(clock.now_s())
        send_until_ms = link.send_limit_ms() if link else None
        if send_until_ms == 0:
            self._withhold(effect, "evacuations unknown")
            return
        log_decision(
            "start ordered",
            task_id=effect.task_id,
            run=run.run,
            worker_id=worker.worker_id,
            epoch=self._leader.epoch,
            is_repeat=run.is_repeat,
            is_cold=is_cold,
        )
        if is_cold:
            counters.add("cold_starts")
        order = StartOrder(
            epoch=self._leader.epoch,
            worker_id=worker.worker_id,
            born_ms=worker.born_ms,
            task_id=effect.task_id,
            run=run.run,
            program=effect.program,
            checkpoint=effect.checkpoint,
            grant_until_ms=link.grant_limit_ms() if link else 0,
            target_ms=step.target_ms,
            filler=step.is_filler,
            repeat=run.is_repeat,
            image=step.image,
            millicores=step.demand.millicores,
            permit=effect.permit,
            send_until_ms=send_until_ms,
            session=link.session if link else 0,
        )
        await self._send(effect, "start_run", order)

    def _withhold(self, effect, reason):
        """Leave a start unsent; the next tick retries it or stops the run."""
        counters.add("starts_withheld", reason=reason)
        if not effect.run.is_repeat:
            log_decision(
                "start withheld",
                task_id=effect.task_id,
                run=effect.run.run,
                worker_id=effect.worker.worker_id,
                reason=reason,
            )
        self._settle(effect, "unsent")

    def _is_suitable(self, effect):
        cell = self._leader.cell
        job = cell.jobs_by_id.get(effect.run.job_id)
        return job is not None and is_suitable(cell, job, effect.worker, effect.run)

    async def _stop(self, effect):
        if not _is_current(effect):
            return
        worker, run = effect.worker, effect.run
        log_decision(
            "stop ordered",
            task_id=effect.task_id,
            run=run.run,
            worker_id=worker.worker_id,
            epoch=self._leader.epoch,
            reason=run.stop_reason,
        )
        link = self._leader.links_by_address.get(worker.agent_address)
        order = StopOrder(
            epoch=self._leader.epoch,
            worker_id=worker.worker_id,
            born_ms=worker.born_ms,
            task_id=effect.task_id,
            run=run.run,
            session=link.session if link else 0,
        )
        await self._send(effect, "stop_run", order)

    async def _send(self, effect, method, order):
        result, clock_ms, scope = "unknown", 0, RefusalScope.WORKER
        has_begun = None
        try:
            reply = await self._leader.pool.call(
                effect.worker.agent_address, method, order, ORDER_TIMEOUT_S
            )
        except PeerError as error:
            log_decision(
                "order unanswered",
                task_id=effect.task_id,
                run=effect.run.run,
                error=str(error),
            )
        else:
            if reply.result == OrderResult.FENCED:
                self._leader.depose("an agent follows a later epoch")
                return
            result, clock_ms = (
                _RESULT_NAMES.get(reply.result, "unknown"),
                reply.clock_ms,
            )
            scope = RefusalScope.from_number(reply.refusal)
            has_begun = reply.has_begun
        counters.add("orders", method=method, result=result)
        if result == "refused":
            counters.add("refused_starts", scope=scope.name.lower())
        self._settle(effect, result, clock_ms, scope, has_begun)

    def _settle(
        self,
        effect,
        result,
        clock_ms=0,
        scope=RefusalScope.WORKER,
        has_begun=None,
    ):
        self._leader.apply(
            OrderSettled(
                clock.now_s(),
                effect.worker.worker_id,
                effect.worker.born_ms,
                effect.task_id,
                effect.run.run,
                result,
                clock_ms,
                scope,
                isinstance(effect, StopRun),
                has_begun,
            )
        )


def _is_current(effect):
    """Tell whether the run of an effect is still assigned to its worker.

    During an append the worker may be lost and its run reassigned.
    """
    return effect.worker.runs_by_task.get(effect.task_id) is effect.run
