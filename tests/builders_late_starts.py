"""Simulated worker whose next incarnation executes late starts of the earlier one."""

import asyncio

from dotterelspread.jobs import clock
from dotterelspread.jobs.workeradapter import WorkerReplyError
from tests.builders_fleet import VirtualFleet, make_job, make_step
from tests.builders_worker import ORDER_TIMEOUT_S, VirtualWorker
from tests.cellchecker import check_every_event
from tests.virtualloop import run_virtually

__all__ = ["JOB", "LateStartWorker", "run_late_start", "start_with_late_copy"]

#: Longest lease of the workers, which is longer than any that a leader grants.
MAX_LEASE_MS = 10_000
#: Time until the clock of a worker is well ahead of that of its next incarnation.
CLOCK_LEAD_S = 12.0
#: Time in which the second attempt of a start is answered.
SECOND_ATTEMPT_S = 0.9
JOB = make_job(1, (make_step(),))


class LateStartWorker(VirtualWorker):
    """Worker that takes calls to an earlier incarnation, as real ones do."""

    #: Delay of the next start, which gets no reply; None to execute it at once.
    late_start_s = None
    #: When the late start is executed.
    late_start_at_s = 0.0

    def begin_incarnation(self):
        super().begin_incarnation()
        # Behind that of the earlier incarnation, whose lease ends are then far ahead.
        self.clock_start_ms = 0

    async def start(self, worker_id, token, order, until_ms):
        delay_s, self.late_start_s = self.late_start_s, None
        if delay_s is None:
            return await super().start(worker_id, token, order, until_ms)
        self.late_start_at_s = clock.now_s() + delay_s
        asyncio.get_running_loop().call_later(
            delay_s, self._start_late, token, order, until_ms
        )
        await asyncio.sleep(ORDER_TIMEOUT_S)
        raise WorkerReplyError("no reply")

    def _start_late(self, token, order, until_ms):
        self._start(self.worker_id, token, order, until_ms)

    async def begin_before_late_start(self, window_s):
        """Begin an incarnation this long before the late start is executed."""
        await asyncio.sleep(self.late_start_at_s - window_s - clock.now_s())
        self.is_draining = False
        self.begin_incarnation()


class LateStartFleet(VirtualFleet):
    """Fleet of such workers."""

    make_worker = LateStartWorker


async def start_with_late_copy(fleet, run_s, late_s):
    """Start the only task of `JOB` by a second attempt; return the agent's process.

    The first attempt is executed ``late_s`` after it was sent.
    """
    fleet.durations[JOB.job_id] = run_s
    await fleet.settle(CLOCK_LEAD_S)
    for worker in fleet.workers:
        worker.late_start_s = late_s
    await fleet.submit(JOB)
    await fleet.settle(SECOND_ATTEMPT_S)
    for worker in fleet.workers:
        worker.late_start_s = None
    return next(agent for agent in fleet.agents if agent.worker.running)


def run_late_start(scenario, seed):
    """Run a scenario on a new fleet and check the fleet's invariants."""

    async def run():
        fleet = LateStartFleet(seed, max_lease_ms=MAX_LEASE_MS)
        fleet.start()
        await fleet.settle(3)
        with check_every_event(fleet.checker.add_violation):
            await scenario(fleet)
        assert not fleet.checker.violations, fleet.checker.violations

    run_virtually(run())
