"""Small simulated fleet in which a script decides the outcome of each order."""

import asyncio
from collections import Counter

from dotterelspread.gen.peer.ttypes import WorkResult
from dotterelspread.jobs import clock
from dotterelspread.jobs.job import JobState
from dotterelspread.jobs.workeradapter import StartAnswer, WorkerReplyError
from tests.builders_evacuation import evacuate, restore
from tests.builders_fleet import VirtualFleet, make_job, make_step
from tests.builders_network import CallOutcome, Network
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
#: Longest lease of the workers, which is longer than any that a leader grants.
MAX_LEASE_MS = 10_000
#: Durations of an outage that is shorter, and of one that is longer, than a lease that
#: a leader grants.
SHORT_OUTAGE_S, LONG_OUTAGE_S = 1.0, 7.0
#: Duration of an outage that is longer than any lease.
RESIDUAL_LEASE_OUTAGE_S = 14.0
#: Time between a restart of a worker and a cut, in which it is given tasks again.
RECONNECTED_S = 1.5
#: Delay of a late `hold` call, by which it comes after the cut.
LATE_HOLD_DELAY_S = 4.0
#: Slows the runs of a worker so much that they outlast every lease.
OUTLASTING_SLOWNESS = 6.0
COMPLETION_TIMEOUT_S = 40
#: With the next attempt, an agent has made as many as it makes for an order.
UNANSWERED_STARTS = 2
WATCH_INTERVAL_S = 0.05
#: Time from the end of a job in which an agent may make its last attempts of a start.
LATE_ATTEMPTS_S = 2.0
#: Time in which a job has to be accepted: refusals come at once while both entries are
#: cut off from the store, one after the other for `LONG_OUTAGE_S` each.
ACCEPTANCE_TIMEOUT_S = 21.6
DATA_CENTRES = ("north", "south")
EVACUATE_MS = 5000
#: Half of the bound is kept as a margin.
MAX_START_DELAY_S = EVACUATE_MS / 2000
STEPS = (make_step(), make_step(count=2, depends_on=(0,)))


class _ScriptedNetwork(Network):
    def __init__(self, fleet):
        super().__init__(fleet)
        self.late_delivery_s = LONG_OUTAGE_S

    def outcome_of(self, method):
        if method not in ORDER_METHODS:
            return CallOutcome.ANSWERED
        return self.fleet.choose_outcome("agent", tuple(CallOutcome))


class _ScriptedWorker(VirtualWorker):
    poll_interval_s = 0.1
    #: Time after its start at which the next incarnation executes the `hold` call that
    #: the crash of this one leaves without a reply; None if it does not.
    late_hold_delay_s = None
    #: Number of its next starts that are not executed and get no answer.
    unanswered_starts = 0

    def _execute_unanswered_hold(self):
        execute, self._unanswered_hold = self._unanswered_hold, None
        if execute is None or self.late_hold_delay_s is None:
            return
        if self.late_hold_delay_s:
            asyncio.get_running_loop().call_later(self.late_hold_delay_s, execute)
        else:
            execute()

    async def _check_connected(self):
        end_s = clock.now_s() + ORDER_TIMEOUT_S
        while self.is_cut_off:
            if clock.now_s() > end_s:
                raise WorkerReplyError("no reply")
            # A call that its caller has not given up arrives after the cut.
            await asyncio.sleep(0.01)

    async def start(self, worker_id, token, order, until_ms):
        if self.unanswered_starts:
            self.unanswered_starts -= 1
            await asyncio.sleep(ORDER_TIMEOUT_S)
            raise WorkerReplyError("no answer")
        return await super().start(worker_id, token, order, until_ms)

    async def _execute(self, order, execute):
        outcome = self.fleet.choose_outcome("worker", tuple(CallOutcome))
        await self._receive()
        if self._is_for_other_incarnation(order):
            return StartAnswer.OTHER_INCARNATION, self.clock_ms()
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
            1,
            agents=2,
            max_lease_ms=MAX_LEASE_MS,
            data_centres=DATA_CENTRES,
            evacuate_ms=EVACUATE_MS,
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


def _restart_with_late_hold(worker, delay_s=0.0):
    """Restart a worker under its ID; it executes the unanswered call after a delay.

    Its runs outlast the lease that this call may extend.
    """
    worker.crash()
    worker.slowness = OUTLASTING_SLOWNESS
    worker.late_hold_delay_s = delay_s
    worker.begin_incarnation()
    worker.late_hold_delay_s = None


async def _cut_off(fleet, agent):
    """Cut an agent off for longer than any lease of its worker."""
    fleet.network.partitioned.add(agent.address)
    await asyncio.sleep(RESIDUAL_LEASE_OUTAGE_S)
    fleet.network.partitioned.discard(agent.address)
    agent.worker.slowness = 1.0


async def restart_and_cut_off_worker(fleet):
    """Restart a busy worker under its ID, and cut its agent off soon after.

    The worker executes the unanswered call before all others.
    """
    agent = fleet.busy_agent
    _restart_with_late_hold(agent.worker)
    await asyncio.sleep(RECONNECTED_S)
    await _cut_off(fleet, agent)


async def restart_and_cut_off_worker_with_late_hold(fleet):
    """Do the same, with the unanswered call executed after newer ones."""
    agent = fleet.busy_agent
    _restart_with_late_hold(agent.worker, LATE_HOLD_DELAY_S)
    await asyncio.sleep(RECONNECTED_S)
    await _cut_off(fleet, agent)


async def restart_and_cut_off_worker_and_kill_leader(fleet):
    """Do as `restart_and_cut_off_worker`, and restart the leader at the cut."""
    agent = fleet.busy_agent
    _restart_with_late_hold(agent.worker)
    await asyncio.sleep(RECONNECTED_S)
    await asyncio.gather(_cut_off(fleet, agent), kill_leader(fleet))


async def restart_cut_off_worker(fleet):
    """Restart a busy worker while its agent is cut off, heal, and cut it off again."""
    agent = fleet.busy_agent
    fleet.network.partitioned.add(agent.address)
    await asyncio.sleep(SHORT_OUTAGE_S)
    _restart_with_late_hold(agent.worker)
    await asyncio.sleep(SHORT_OUTAGE_S)
    fleet.network.partitioned.discard(agent.address)
    await asyncio.sleep(RECONNECTED_S)
    await _cut_off(fleet, agent)


async def crash_worker(fleet):
    """Crash a busy worker and restart it after a short outage."""
    worker = fleet.busy_agent.worker
    worker.crash()
    await asyncio.sleep(SHORT_OUTAGE_S)
    worker.begin_incarnation()


async def lose_end_until_next_start(fleet):
    """Cut a busy worker off until its task is ordered elsewhere.

    Its run ends meanwhile, and the first starts of the next run get no answer.
    """
    cut_off = fleet.busy_agent.worker
    others = [agent.worker for agent in fleet.agents if agent.worker is not cut_off]
    cut_off.is_cut_off = True
    for other in others:
        other.unanswered_starts = UNANSWERED_STARTS
    end_s = clock.now_s() + RESIDUAL_LEASE_OUTAGE_S
    while clock.now_s() < end_s and _await_starts(others):
        await asyncio.sleep(0.02)
    cut_off.is_cut_off = False


def _await_starts(workers):
    return all(worker.unanswered_starts == UNANSWERED_STARTS for worker in workers)


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
    restart_and_cut_off_worker,
    restart_and_cut_off_worker_with_late_hold,
    restart_and_cut_off_worker_and_kill_leader,
    restart_cut_off_worker,
    crash_worker,
    lose_end_until_next_start,
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
        watching = asyncio.ensure_future(_watch_state(fleet, job.job_id))
        with check_every_event(fleet.checker.add_violation):
            await asyncio.gather(
                _submit_until_accepted(fleet, job), _advance_until_done(fleet, events)
            )
            await fleet.expect_completed(COMPLETION_TIMEOUT_S)
            await fleet.settle(LATE_ATTEMPTS_S)
        watching.cancel()
        assert not fleet.checker.violations, fleet.checker.violations
        assert len(fleet.checker.done) == sum(step.count for step in STEPS)

    try:
        run_virtually(run())
    except AssertionError as error:
        raise AssertionError(f"{choices.log}: {error}") from error


async def _watch_state(fleet, job_id):
    """Record when the job is first shown as complete."""
    while True:
        leader = fleet.leader.candidate.leader
        if leader is not None and leader.state_of(job_id) == JobState.COMPLETED:
            fleet.checker.shown_s_by_job_id.setdefault(job_id, clock.now_s())
        await asyncio.sleep(WATCH_INTERVAL_S)


async def _advance_until_done(fleet, events):
    while not events.done():
        await fleet.settle(0.1)
    await events
