"""Simulated fleet on virtual time: real entries and agents on a faulty network."""

import asyncio
import random

from dotterelspread.gen.peer.ttypes import LeaderNotice
from dotterelspread.jobs import clock
from dotterelspread.jobs.forwarding import Verb, make_request
from dotterelspread.jobs.queues import FleetConfiguration, Queue
from dotterelspread.jobs.records import encode_spec
from dotterelspread.jobs.spec import JobSpec, StepSpec
from dotterelspread.processsettings import (
    FleetBounds,
)
from dotterelspread.resources import Resources
from tests.builders_network import Network
from tests.builders_permits import VirtualPolicy
from tests.builders_processes import AgentProcess, EntryProcess
from tests.builders_store import VirtualStore
from tests.builders_worker import VirtualWorker
from tests.cellchecker import check_every_event
from tests.fleetchecker import Checker
from tests.virtualloop import run_virtually

__all__ = [
    "QUEUE",
    "VirtualFleet",
    "kill_leader",
    "make_job",
    "make_step",
    "run_scenario",
    "worker_that_runs",
]

#: Number of workers that crash under a task before it may be given up.
MIN_CRASHES = 2
QUEUE = Queue("q", "host", "/q/", "svc", 0, 3, 2.0, 500)
CONFIGURATION = FleetConfiguration(1, {"q": QUEUE})


def make_step(**changes):
    values = {"count": 1, "demand": Resources(1000, 1000), "estimate_ms": 500}
    return StepSpec(**(values | changes))


def make_job(number=1, steps=None, **changes):
    values = {
        "job_id": f"{number:016x}",
        "queue": QUEUE,
        "program": f"program {number}",
        "steps": tuple(steps or (make_step(),)),
    }
    return JobSpec(**(values | changes))


class VirtualFleet:
    """Entries, agents, workers and a store on the running virtual loop.

    Parameters
    ----------
    seed : int
    entries : sequence of float
        Processor cores of each entry.
    agents : int
    max_lease_ms : int
    late_entries : int
        Number of the last entries that do not start with the others.
    data_centres : sequence of str
        Data centres of the workers, in turn.
    evacuate_ms : int
        Time for which starts in an evacuated data centre are allowed. If 0, entries do
        not follow the operators' stream.
    far_entries : int
        Number of the last entries that are in another region than the store.
    """

    make_network = Network
    make_worker = VirtualWorker

    def __init__(
        self,
        seed,
        entries=(1.0, 1.0),
        agents=3,
        max_lease_ms=4000,
        late_entries=0,
        data_centres=("dc",),
        evacuate_ms=0,
        far_entries=0,
    ):
        self.rng = random.Random(seed)
        self.bounds = FleetBounds(
            max_lease_ms=max_lease_ms, stop_timeout_ms=200, evacuate_ms=evacuate_ms
        )
        self.late_entries = late_entries
        self.configuration = CONFIGURATION
        self.store = VirtualStore(self.rng)
        self.policy = VirtualPolicy(self)
        self.network = self.make_network(self)
        self.checker = Checker(self)
        self.specs = {}
        self.accepted = set()
        self.cancelled = set()
        self.poison = set()
        self.durations = {}
        self.workers = [self.make_worker(self, number) for number in range(agents)]
        for worker in self.workers:
            worker.data_centre = data_centres[worker.number % len(data_centres)]
        self.entries = [
            EntryProcess(self, number, cores, number >= len(entries) - far_entries)
            for number, cores in enumerate(entries)
        ]
        self.agents = [
            AgentProcess(self, number, worker)
            for number, worker in enumerate(self.workers)
        ]

    def duration_of(self, task_id):
        return self.durations.get(task_id.split(".")[0], 0.6)

    def is_poison(self, task_id):
        return task_id.split(".")[0] in self.poison

    def start(self):
        first_entries = self.entries[: len(self.entries) - self.late_entries]
        for process in (*first_entries, *self.agents):
            process.start()

    def cut(self, process, other):
        """Cut the connection between two processes."""
        self.network.cut_pairs.add(frozenset({process.address, other.address}))

    async def settle(self, seconds):
        """Advance the time, with workers ending runs that are over."""
        end_s = clock.now_s() + seconds
        while clock.now_s() < end_s:
            await asyncio.sleep(0.05)
            for worker in self.workers:
                worker.end_due_runs()

    async def ask(self, verb, job_id, entry=0, spec=b"", deadline_ms=3000):
        request = make_request(verb, job_id, "q", deadline_ms, spec)
        return await self.entries[entry].forwarder.ask(request)

    async def submit(self, spec, entry=0, deadline_ms=3000):
        self.specs[spec.job_id] = spec
        reply = await self.ask(
            Verb.SUBMIT, spec.job_id, entry, encode_spec(spec), deadline_ms
        )
        if reply.result == 1:
            self.accepted.add(spec.job_id)
        return reply

    async def expect_completed(self, within_s=20):
        """Wait until all accepted jobs have completed."""
        await self._expect_states({"COMPLETED"}, within_s)

    async def expect_ended(self, within_s=20):
        """Wait until all accepted jobs have completed or failed."""
        await self._expect_states({"COMPLETED", "FAILED"}, within_s)

    async def expect_completed_or_given_up(self, within_s=20):
        """Wait for the accepted jobs; a job may fail only for crashes under a task."""
        await self.expect_ended(within_s)
        for job_id in self.accepted:
            if (await self.state(job_id)).state == "FAILED":
                crashes = self.checker.count_crashes(job_id)
                assert crashes >= MIN_CRASHES, (job_id, crashes)

    async def _expect_states(self, expected, within_s):
        for _ in range(int(within_s / 0.2)):
            await self.settle(0.2)
            states = [await self.state(job_id) for job_id in self.accepted]
            if all(reply.state in expected for reply in states):
                return
        raise AssertionError([(s.state, s.reason) for s in states])

    def make_notice(self, epoch, address):
        """Return the notice of a leader."""
        return LeaderNotice(epoch, address, True)

    async def state(self, job_id, entry=0):
        return await self.ask(Verb.STATE, job_id, entry)


def kill_leader(fleet):
    """Kill the entry that leads and return it."""
    leader = next(e for e in fleet.entries if e.candidate.leader)
    leader.kill()
    return leader


def worker_that_runs(fleet, task_id):
    """Return the worker that runs a task, or None."""
    running = (worker for worker in fleet.workers if task_id in worker.running)
    return next(running, None)


def run_scenario(scenario, seed=1, **sizes):
    """Run a scenario on a new fleet with a leader, and check the fleet's invariants."""

    async def run():
        fleet = VirtualFleet(seed, **sizes)
        fleet.start()
        await fleet.settle(3)
        with check_every_event(fleet.checker.add_violation):
            await scenario(fleet)
        assert not fleet.checker.violations, fleet.checker.violations
        return fleet

    return run_virtually(run())
