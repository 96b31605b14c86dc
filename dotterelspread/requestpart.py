"""The part of an agent that runs requests on its backend server."""

import asyncio
from functools import singledispatchmethod

from .agentcore import (
    AgentConfigured,
    AgentState,
    AgentTick,
    AnswerRequested,
    DrainCompleted,
    DrainRequested,
    EvacuationChanged,
    RunFinished,
    RunRequested,
    SendAnswer,
    SendPending,
    StartRun,
)
from .backend import BackendRequest
from .configuration import ServiceConfig
from .gen.peer.ttypes import Load
from .latencywindow import LatencyWindow
from .node import Part
from .outcome import Completed, RefusalReason, Refused
from .publication import NO_VERSION
from .wire import MS_PER_S, from_headers, message_from_outcome, pending_message

__all__ = ["RequestPart"]

#: Seconds between two timer events.
TICK_INTERVAL_S = 0.05
#: Seconds beyond its deadline for which a running request may still finish.
LATE_ANSWER_TIMEOUT_S = 30.0


class RequestPart(Part):
    """Runs requests from entries in the slots of the instance and answers them.

    Parameters
    ----------
    node : Node
    backend : Backend
    """

    def __init__(self, node, backend):
        super().__init__(node)
        agent = node.settings.agent
        self._backend = backend
        self.is_configured = False
        #: Callable that tells whether the evacuated data centres are known.
        self.has_evacuations = lambda: True
        self._version = NO_VERSION
        self.drained = asyncio.Event()
        #: Tail latency and load of the service; input to the batch controller.
        self.window = LatencyWindow(node.now_s(), agent.slots)
        service = ServiceConfig(agent.service, {}, "")
        self.state = AgentState.from_config(service, agent.slots, node.incarnation)

    def handlers_by_method(self):
        """Return the handlers of the ``run`` and ``answer`` calls."""
        return {"run": self._run, "answer": self._answer}

    async def run(self):
        """Dispatch timer events until cancelled."""
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            self.dispatch(AgentTick(self.node.now_s()))

    def configure(self, version):
        """Apply a new `Version` of the configuration."""
        self._version = version.number
        service = version.configuration.services_by_name.get(self.state.service.name)
        if service is not None:
            self.is_configured = True
            self.dispatch(AgentConfigured(self.node.now_s(), service))

    def evacuate(self, reason):
        """Refuse new and queued requests for ``reason``; accept them if it is empty."""
        if reason != self.state.evacuation:
            self.dispatch(EvacuationChanged(self.node.now_s(), reason))

    def drain(self):
        """Refuse new requests and finish the pending ones."""
        self.dispatch(DrainRequested(self.node.now_s()))

    def load(self):
        """Return the load that is reported to entries."""
        state = self.state
        return Load(
            running=state.running,
            queued=state.queued,
            slots=state.slots,
            draining=state.draining,
            incarnation=state.incarnation,
            configuration_version=self._version,
        )

    @singledispatchmethod
    def perform(self, effect):
        """Perform ``effect``."""
        raise TypeError(f"unsupported effect type: {type(effect).__name__}")

    @perform.register
    def _(self, effect: StartRun):
        self.node.spawn(self._run_at_backend(effect))

    @perform.register
    def _(self, effect: SendAnswer):
        for waiter in effect.waiters:
            if not waiter.done():
                waiter.set_result(effect.outcome)

    @perform.register
    def _(self, effect: SendPending):
        if not effect.is_known and not effect.waiter.done():
            effect.waiter.set_result(None)

    @perform.register
    def _(self, effect: DrainCompleted):
        self.drained.set()

    async def _run_at_backend(self, effect):
        run = effect.request
        span = self.node.telemetry.tracing.span(
            "agent.backend", run.traceparent or "", request_id=run.request_id
        )
        with span as hop:
            headers = from_headers(run.headers)
            if hop.traceparent:
                headers = (*headers, ("traceparent", hop.traceparent))
            request = BackendRequest(
                run.request_id,
                run.method,
                run.path,
                headers,
                run.body or b"",
                bool(run.idempotent),
            )
            timeout_s = effect.deadline_s - self.node.now_s() + LATE_ANSWER_TIMEOUT_S
            outcome = await self._backend.run(request, timeout_s)
        finished = RunFinished(self.node.now_s(), effect.request_id, outcome)
        self.dispatch(finished)
        self.window.set_used(self.node.now_s(), self.state.running)

    @property
    def is_ready(self):
        """Whether the configuration and the evacuated data centres are known."""
        return self.is_configured and self.has_evacuations()

    async def _run(self, run):
        if not self.is_ready:
            detail = "no configuration is known"
            if self.is_configured:
                detail = "the evacuated data centres are not known yet"
            refused = Refused(RefusalReason.NOT_READY, detail)
            return message_from_outcome(refused, self.load())
        now_s = self.node.now_s()
        waiter = asyncio.get_running_loop().create_future()
        event = RunRequested(
            now_s,
            run.request_id,
            run.incarnation,
            run.service_name,
            run.kind,
            run.urgency or 0,
            now_s + run.remaining_ms / MS_PER_S,
            run,
            bool(run.idempotent),
            waiter,
        )
        self.dispatch(event)
        self.window.set_used(self.node.now_s(), self.state.running)
        outcome = await waiter
        if isinstance(outcome, Completed):
            self.window.add(self.node.now_s() - now_s)
        return message_from_outcome(outcome, self.load())

    async def _answer(self, query):
        waiter = asyncio.get_running_loop().create_future()
        event = AnswerRequested(
            self.node.now_s(),
            query.request_id,
            query.incarnation,
            bool(query.fence),
            waiter,
        )
        self.dispatch(event)
        try:
            async with asyncio.timeout((query.wait_ms or 0) / MS_PER_S):
                outcome = await waiter
        except TimeoutError:
            outcome = None
        if outcome is None:
            return pending_message(self.load())
        return message_from_outcome(outcome, self.load())
