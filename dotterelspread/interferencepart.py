"""The part of an agent that limits batch tasks which slow its service down."""

import asyncio

from .controller import (
    BatchTask,
    EvictTask,
    SetBatchShare,
    UsageReported,
    get_controller,
)
from .jsonlog import log_change
from .node import Part

__all__ = ["InterferencePart"]

DECISION_INTERVAL_S = 5.0
#: Interval of checks whether an idle service gets requests again.
POLL_INTERVAL_S = 0.25


class InterferencePart(Part):
    """Runs the configured controller and applies its decisions.

    Parameters
    ----------
    node : Node
    requests : RequestPart
        Measures the service.
    tasks : TaskPart
        Throttles and evicts batch tasks.
    """

    def __init__(self, node, requests, tasks):
        super().__init__(node)
        self._requests = requests
        self._tasks = tasks
        self._controller_class = get_controller(node.settings.agent.controller)
        self._service_name = node.settings.agent.service
        self.controller = None

    def configure(self, version):
        """Apply the service's latency target and the objectives of a new `Version`."""
        configuration = version.configuration
        service = configuration.services_by_name.get(self._service_name)
        if service is None:
            return
        objectives = configuration.objectives
        known = self.controller
        if known and (known.target_s, known.objectives) == (
            service.target_p99_s,
            objectives,
        ):
            return
        self.controller = self._controller_class.from_config(service, configuration)

    async def run(self):
        """Decide at intervals and when the service leaves idle, until cancelled."""
        decided_s = self.node.now_s()
        was_idle = True
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            now_s = self.node.now_s()
            is_idle = self._requests.window.is_idle(now_s)
            has_resumed = was_idle and not is_idle
            was_idle = is_idle
            if self.controller is None:
                continue
            if has_resumed or now_s - decided_s >= DECISION_INTERVAL_S:
                decided_s = now_s
                self._decide(is_idle)

    def perform(self, effect):
        """Apply one effect of a decision."""
        if isinstance(effect, SetBatchShare):
            self._tasks.limit_shares(effect.share_by_program)
        elif isinstance(effect, EvictTask):
            log_change("task evicted", task_id=effect.task_id, reason=effect.reason)
            self.node.telemetry.count("evictions")
            self._tasks.evict(effect.task_id)

    def _decide(self, is_idle):
        # A service without requests has no latency to protect.
        if is_idle:
            self._tasks.limit_shares({})
            return
        now_s = self.node.now_s()
        sample = self._requests.window.take(now_s)
        if sample is not None:
            self.node.dispatch(UsageReported(now_s, sample), self, self.perform)
        tasks = [
            BatchTask(
                local.task_id,
                local.spec.program,
                local.spec.declared.millicores / 1000,
                now_s - local.checkpointed_s,
            )
            for local in self._tasks.batch_locals()
        ]
        load = self._requests.window.load
        for effect in self.controller.decide(now_s, load, tasks).effects():
            self.perform(effect)
