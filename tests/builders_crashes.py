"""Simulated fleet in which some tasks crash the workers that start them."""

import asyncio
from collections import Counter

from dotterelspread.jobs import clock
from dotterelspread.jobs.agentreport import RunEnd
from dotterelspread.jobs.spec import parse_task_id
from dotterelspread.jobs.workeradapter import StartAnswer
from tests.builders_fleet import VirtualFleet
from tests.builders_worker import VirtualWorker
from tests.cellchecker import check_every_event
from tests.virtualloop import run_virtually

__all__ = ["CrashingFleet", "run_crash_scenario"]

#: Time after which a crashed worker is usually back.
OUTAGE_S = 3.0


class CrashingWorker(VirtualWorker):
    """Worker that crashes under a crashing task and comes back after an outage."""

    def _start(self, worker_id, token, order, until_ms):
        runs_before = self.fleet.checker.runs
        answer = super()._start(worker_id, token, order, until_ms)
        if self.fleet.checker.runs > runs_before:
            assert answer is StartAnswer.RUNNING
            self._note_start(order.task_id)
        return answer

    def _note_start(self, task_id):
        fleet = self.fleet
        fleet.starts_by_task_id[task_id] += 1
        delay_s = fleet.crash_delay_by_task_id.get(task_id)
        if delay_s is not None:
            self._call_later(delay_s, self.crash_and_return)

    def _call_later(self, delay_s, function):
        """Call a function unless another incarnation has begun meanwhile."""
        incarnation = self.incarnation

        def call():
            if self.incarnation == incarnation:
                function()

        asyncio.get_running_loop().call_later(delay_s, call)

    def crash_and_return(self):
        """Crash now and come back after an outage."""
        if self.is_up:
            self.fleet.crash_times_s.append(clock.now_s())
            task_ids = list(self.running)
            self.crash()
            self.is_cut_off = self.fleet.are_outages_silent
            self.fleet.break_gangs(task_ids)
            self._call_later(self.fleet.outage_s, self._return)

    def _return(self):
        self.is_cut_off = False
        if not self.fleet.keeps_worker_ids:
            self.worker_id = f"i-{self.number}-{self.incarnation}"
        self.begin_incarnation()


class CrashingFleet(VirtualFleet):
    """Fleet that counts starts and crashes.

    Parameters
    ----------
    seed : int
    keeps_worker_ids : bool
        Whether a worker that comes back has its earlier id.
    **sizes
        See `VirtualFleet`.
    """

    make_worker = CrashingWorker

    def __init__(self, seed, keeps_worker_ids, **sizes):
        super().__init__(seed, **sizes)
        self.keeps_worker_ids = keeps_worker_ids
        #: Time from a start to the crash of its worker, by the id of a crashing task.
        self.crash_delay_by_task_id = {}
        self.crash_times_s = []
        #: Time after which a crashed worker is back.
        self.outage_s = OUTAGE_S
        #: Whether a crashed worker is silent, and does not refuse connections.
        self.are_outages_silent = False
        self.starts_by_task_id = Counter()

    def break_gangs(self, task_ids):
        """End the runs of all other members of the gangs of some tasks."""
        for task_id in task_ids:
            job_id, key = parse_task_id(task_id)
            if not self.specs[job_id].steps[key[1]].is_gang:
                continue
            step_id = task_id.rpartition(".")[0]
            for worker in self.workers:
                for other in [t for t in worker.running if t.startswith(step_id + ".")]:
                    worker._remove(other, RunEnd.GANG_MEMBER_ENDED)

    @property
    def leading_entry(self):
        """The entry that leads, or None."""
        return next((e for e in self.entries if e.candidate.leader is not None), None)

    async def restart_leader(self):
        """Kill the leading entry and start it again; another one takes over."""
        leading = self.leading_entry
        leading.kill()
        await self.settle(0.5)
        leading.start()

    async def wait_for_crashes(self, count, within_s=20):
        """Wait until workers have crashed ``count`` times; tell whether they have."""
        for _ in range(int(within_s / 0.05)):
            if len(self.crash_times_s) >= count:
                return True
            await self.settle(0.05)
        return False

    async def states(self):
        """Return the state of each accepted job by its id."""
        replies = {job_id: await self.state(job_id) for job_id in self.accepted}
        return {job_id: reply.state for job_id, reply in replies.items()}


def run_crash_scenario(scenario, seed=1, keeps_worker_ids=False, **sizes):
    """Run a scenario on a new `CrashingFleet` and check the fleet's invariants."""

    async def run():
        fleet = CrashingFleet(seed, keeps_worker_ids, **sizes)
        fleet.start()
        await fleet.settle(3)
        with check_every_event(fleet.checker.add_violation):
            await scenario(fleet)
        assert not fleet.checker.violations, fleet.checker.violations

    run_virtually(run())
