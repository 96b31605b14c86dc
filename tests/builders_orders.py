"""Small simulated fleet in which a script decides the outcome of each order."""

import asyncio
from collections import Counter

from dotterelspread.gen.peer.ttypes import WorkResult
from dotterelspread.jobs import clock
from dotterelspread.jobs.workeradapter import WorkerReplyError
from tests.builders_evacuation import evacuate, restore
from tests.builders_fleet import CallOutcome, Network, VirtualFleet, make_job, make_step
from tests.builders_worker import ORDER_TIMEOUT_S, VirtualWorker
from tests.cellchecker import check_every_event
from tests.virtualloop import run_virtually

__all__ = ["EVENT_TIMES_S", "run_order_scenario"]

#: Number of orders to workers, and of calls that carry orders to agents, whose outcome
#: is a choice; later ones succeed.
MAX_WORKER_ORDERS = 6
MAX_AGENT_ORDERS = 4
ORDER_METHODS = ("start_run", "stop_run")
#: Times after the submission at which an event may occur: while the job is appended,
#: while its first task starts, while that runs, and while the second step runs.
EVENT_TIMES_S = (0.003, 0.012, 0.5, 2.6)
TASK_DURATION_S = 2.5
#: Delay of a late order to a worker; shorter than the lease that the order grants.
WORKER_ORDER_DELAY_S = 2.5
#: Durations of an outage that is shorter, and of one that is longer, than a lease.
SHORT_OUTAGE_S, LONG_OUTAGE_S = 1.0, 6.0
COMPLETION_TIMEOUT_S = 40
#: Time in which a job has to be accepted: refusals come at once while both entries are
#: cut off from the store, one after the other for `LONG_OUTAGE_S` each.
ACCEPTANCE_TIMEOUT_S = 21.6
DATA_CENTRES = ("north", "south")
EVACUATE_MS = 5000
#: Half of the bound is kept as a margin.
MAX_START_DELAY_S = EVACUATE_MS / 2000
STEPS = (make_step(), make_step(count=2, depends_on=(0,)))


class _ScriptedNetwork(Network):
    def outcome_of(self, method):
        if method not in ORDER_METHODS:
            return CallOutcome.ANSWERED
        return self.fleet.choose_outcome("agent", tuple(CallOutcome))


class _ScriptedWorker(VirtualWorker):
    poll_interval_s = 0.1

    async def _execute(self, execute):
        outcome = self.fleet.choose_outcome("worker", tuple(CallOutcome))
        await self._receive()
        answer = None
        if outcome in (CallOutcome.ANSWERED, CallOutcome.REPLY_LOST):
            answer = execute()
        if outcome is CallOutcome.LATE:
            asyncio.get_running_loop().call_later(WORKER_ORDER_DELAY_S, execute)
        if outcome is not CallOutcome.ANSWERED:
            await asyncio.sleep(ORDER_TIMEOUT_S)
            raise WorkerReplyError("no answer")
        return answer, self.clock_ms()


class ScriptedFleet(VirtualFleet):
    """Two entries and two agents whose order outcomes and events are the choices.

    Parameters
    ----------
    choices : Choices
    """

    make_network = _ScriptedNetwork
    make_worker = _ScriptedWorker

    def __init__(self, choices):
        super().__init__(
            1, agents=2, data_centres=DATA_CENTRES, evacuate_ms=EVACUATE_MS
        )
        self.choices = choices
        #: Number of evacuations in force, by data centre.
        self.evacuation_counts = Counter()
        self._choices_left_by_kind = {
            "agent": MAX_AGENT_ORDERS,
            "worker": MAX_WORKER_ORDERS,
        }

    def choose_outcome(self, kind, outcomes):
        """Return the outcome of an order."""
        if not self._choices_left_by_kind[kind]:
            return CallOutcome.ANSWERED
        self._choices_left_by_kind[kind] -= 1
        return self.choices.choose(f"order to {kind}", outcomes)

    @property
    def leader(self):
        """The leading entry, or the first entry if none leads."""
        leading = (e for e in self.entries if e.candidate.leader is not None)
        return next(leading, self.entries[0])

    @property
    def busy_agent(self):
        """The first agent whose worker runs a task, or else the first agent."""
        busy = (a for a in self.agents if a.worker.running)
        return next(busy, self.agents[0])


async def _restart(process):
    process.kill()
    await asyncio.sleep(SHORT_OUTAGE_S)
    process.start()


async def kill_leader(fleet):
    """Kill the leader and restart it."""
    await _restart(fleet.leader)


async def isolate_leader(fleet):
    """Partition the leader from all processes and from the store for a while."""
    address = fleet.leader.address
    fleet.network.partitioned.add(address)
    fleet.store.mode_by_node[address] = "silent"
    await asyncio.sleep(LONG_OUTAGE_S)
    fleet.network.partitioned.discard(address)
    fleet.store.mode_by_node.pop(address, None)


async def kill_agent(fleet):
    """Kill the agent of a busy worker and restart it."""
    await _restart(fleet.busy_agent)


async def partition_agent(fleet):
    """Partition the agent of a busy worker for longer than a lease."""
    address = fleet.busy_agent.address
    fleet.network.partitioned.add(address)
    await asyncio.sleep(LONG_OUTAGE_S)
    fleet.network.partitioned.discard(address)


async def restart_worker(fleet):
    """Crash a busy worker and restart it at once under the same ID."""
    worker = fleet.busy_agent.worker
    worker.crash()
    worker.begin_incarnation()


async def crash_worker(fleet):
    """Crash a busy worker and restart it after a short outage."""
    worker = fleet.busy_agent.worker
    worker.crash()
    await asyncio.sleep(SHORT_OUTAGE_S)
    worker.begin_incarnation()


async def drain_worker(fleet):
    """Drain a busy worker and replace it by another."""
    worker = fleet.busy_agent.worker
    worker.is_draining = True
    await asyncio.sleep(LONG_OUTAGE_S)
    worker.crash()
    worker.worker_id += "b"
    worker.is_draining = False
    worker.begin_incarnation()


async def partition_leader_from_store(fleet):
    """Stop the store from answering the leader for longer than a lease."""
    address = fleet.leader.address
    fleet.store.mode_by_node[address] = "silent"
    await asyncio.sleep(LONG_OUTAGE_S)
    fleet.store.mode_by_node.pop(address, None)


async def evacuate_worker(fleet):
    """Evacuate the data centre of a busy worker for longer than a lease.

    Of evacuations that overlap, the last one to end restores the data centre.
    """
    worker = fleet.busy_agent.worker
    begin_s = evacuate(fleet, worker.data_centre)
    fleet.evacuation_counts[worker.data_centre] += 1
    await asyncio.sleep(LONG_OUTAGE_S)
    end_s = clock.now_s()
    fleet.evacuation_counts[worker.data_centre] -= 1
    if not fleet.evacuation_counts[worker.data_centre]:
        restore(fleet, worker.data_centre)
    for start_s, task_id in worker.starts:
        if begin_s + MAX_START_DELAY_S < start_s < end_s:
            fleet.checker.add_violation(f"{task_id} starts after the evacuation")


async def silence_store(fleet):
    """Stop the store from answering any process for a while."""
    fleet.store.mode_by_node["*"] = "silent"
    await asyncio.sleep(2 * SHORT_OUTAGE_S)
    fleet.store.mode_by_node.pop("*", None)


async def no_event(fleet):
    """Do nothing."""


EVENTS = (
    no_event,
    kill_leader,
    isolate_leader,
    kill_agent,
    partition_agent,
    restart_worker,
    crash_worker,
    drain_worker,
    partition_leader_from_store,
    silence_store,
    evacuate_worker,
)


async def _run_events(fleet):
    elapsed_s = 0.0
    running = []
    for event_s in EVENT_TIMES_S:
        await asyncio.sleep(event_s - elapsed_s)
        elapsed_s = event_s
        event = fleet.choices.choose(f"at {event_s} s", EVENTS)
        running.append(asyncio.ensure_future(event(fleet)))
    await asyncio.gather(*running)


async def _submit_until_accepted(fleet, job):
    loop = asyncio.get_running_loop()
    end_s = loop.time() + ACCEPTANCE_TIMEOUT_S
    number = 0
    while loop.time() < end_s:
        reply = await fleet.submit(job, number % len(fleet.entries), 1500)
        if reply.result == WorkResult.DONE:
            return
        number += 1
        await asyncio.sleep(0.3)
    raise AssertionError(f"job not accepted: {reply}")


def run_order_scenario(choices):
    """Run one job to completion and check the invariants on all workers.

    Parameters
    ----------
    choices : Choices

    Raises
    ------
    AssertionError
        With the choices that led to the failure.
    """

    async def run():
        fleet = ScriptedFleet(choices)
        fleet.start()
        await fleet.settle(3)
        events = asyncio.ensure_future(_run_events(fleet))
        job = make_job(1, STEPS)
        fleet.durations[job.job_id] = TASK_DURATION_S
        with check_every_event(fleet.checker.add_violation):
            await asyncio.gather(
                _submit_until_accepted(fleet, job), _advance_until_done(fleet, events)
            )
            await fleet.expect_completed(COMPLETION_TIMEOUT_S)
        assert not fleet.checker.violations, fleet.checker.violations
        assert len(fleet.checker.done) == sum(step.count for step in STEPS)

    try:
        run_virtually(run())
    except AssertionError as error:
        raise AssertionError(f"{choices.log}: {error}") from error


async def _advance_until_done(fleet, events):
    while not events.done():
        await fleet.settle(0.1)
    await events
