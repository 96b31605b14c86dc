"""Simulated service of permits on virtual time."""

import asyncio

from dotterelspread.jobs import clock
from dotterelspread.jobs.permits import PermitService, PermitServiceError
from dotterelspread.jobs.queues import PermitTiming

__all__ = ["VirtualPolicy"]


class VirtualPolicy(PermitService):
    """Simulated policy that permits a step on some workers."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.timing = PermitTiming(decide_ms=40, per_worker_ms=2, valid_ms=1500)
        self.is_unresponsive = False
        #: Whether all workers are permitted; else every other one, by their numbers.
        self.permits_all = False
        #: Numbers of workers in the queries.
        self.query_sizes = []
        #: Expiry time of each permit.
        self.expiry_by_permit = {}
        self.request_count = 0
        self.refused_starts = 0

    def allows(self, step_id, worker_id):
        return (
            self.permits_all
            or (int(step_id[-1]) + int(worker_id.split("-")[1])) % 2 == 0
        )

    async def ask(self, step_id, worker_ids, expected_s):
        self.request_count += 1
        self.query_sizes.append(len(worker_ids))
        await asyncio.sleep(self.timing.query_ms(len(worker_ids)) / 1000)
        if self.is_unresponsive:
            raise PermitServiceError("no reply from the policy service")
        end_s = clock.now_s() + self.timing.valid_ms / 1000
        permits = {w: f"{step_id} {w}" for w in worker_ids if self.allows(step_id, w)}
        self.expiry_by_permit.update(dict.fromkeys(permits.values(), end_s))
        return permits, self.timing.valid_ms

    def accepts(self, worker, order):
        """Tell whether a worker may execute an order to start a run."""
        spec = self.fleet.specs[order.task_id.split(".")[0]]
        queues_by_name = self.fleet.configuration.queues_by_name
        if not queues_by_name[spec.queue.name].needs_permits:
            return True
        step_id = order.task_id.rpartition(".")[0]
        is_own = order.permit == f"{step_id} {worker.worker_id}"
        is_valid = self.expiry_by_permit.get(order.permit, 0.0) > clock.now_s()
        self.refused_starts += not (is_own and is_valid)
        return is_own and is_valid
