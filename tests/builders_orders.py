"""A small fleet in which a script decides what becomes of each order."""

import asyncio

from dotterelspread.gen.peer.ttypes import WorkResult
from dotterelspread.jobs.workeradapter import StartAnswer, WorkerReplyError
from tests.builders_fleet import CallOutcome, Network, VirtualFleet, make_job, make_step
from tests.builders_worker import ORDER_TIMEOUT_S, VirtualWorker
from tests.virtualloop import run_virtually

__all__ = ["SLOTS_S", "run_order_scenario"]

#: Orders to workers, and calls that carry orders to agents, with a choice each.
WORKER_ORDERS = 6
AGENT_ORDERS = 4
ORDER_METHODS = ("start_run", "stop_run")
#: Seconds after the submission at which something may happen: while the job is
#: appended, as its first task starts and runs, as its second step does.
SLOTS_S = (0.003, 0.012, 0.5, 2.6)
#: Run time of each task.
TASK_S = 2.5
#: Seconds by which an order is late at a worker: less than the lease that it brings.
WORKER_LATE_S = 2.5
#: Seconds that a process or a worker is away, less and more than a lease.
SHORT_S, LONG_S = 1.0, 6.0
FINISH_S = 40
SUBMIT_TRIES = 12
STEPS = (make_step(), make_step(count=2, depends_on=(0,)))


class _ScriptedNetwork(Network):
    def outcome_of(self, method):
        if method not in ORDER_METHODS:
            return CallOutcome.ANSWERED
        return self.fleet.choose_order("agent", tuple(CallOutcome))


class _ScriptedWorker(VirtualWorker):
    poll_interval_s = 0.1

    async def start(self, worker_id, order, until_ms):
        def carry_out():
            if worker_id != self.worker_id:
                return StartAnswer.OTHER_INCARNATION
            # A late order may reach the next incarnation if that has the same id.
            return self._start(self.incarnation, order, until_ms)

        return await self._carry_out(worker_id, carry_out)

    async def _carry_out(self, worker_id, carry_out):
        fate = self.fleet.choose_order("worker", tuple(CallOutcome))
        await self._receive(worker_id)
        answer = None
        if fate in (CallOutcome.ANSWERED, CallOutcome.REPLY_LOST):
            answer = carry_out()
        if fate is CallOutcome.LATE:
            asyncio.get_running_loop().call_later(WORKER_LATE_S, carry_out)
        if fate is not CallOutcome.ANSWERED:
            await asyncio.sleep(ORDER_TIMEOUT_S)
            raise WorkerReplyError("no answer")
        return answer, self.clock_ms()


class ScriptedFleet(VirtualFleet):
    """Two entries and two agents; orders and events follow the choices.

    Parameters
    ----------
    choices : Choices
    """

    make_network = _ScriptedNetwork
    make_worker = _ScriptedWorker

    def __init__(self, choices):
        super().__init__(1, agents=2)
        self.choices = choices
        self._left_by_kind = {"agent": AGENT_ORDERS, "worker": WORKER_ORDERS}

    def choose_order(self, kind, fates):
        """Return what becomes of an order."""
        if not self._left_by_kind[kind]:
            return CallOutcome.ANSWERED
        self._left_by_kind[kind] -= 1
        return self.choices.choose(f"order to {kind}", fates)

    @property
    def leader(self):
        """The entry that leads, or the first one."""
        leading = (e for e in self.entries if e.candidate.leader is not None)
        return next(leading, self.entries[0])

    @property
    def busy_agent(self):
        """The agent of a worker that runs something, or the first one."""
        busy = (a for a in self.agents if a.worker.running)
        return next(busy, self.agents[0])


async def _restart(process):
    process.kill()
    await asyncio.sleep(SHORT_S)
    process.start()


async def kill_leader(fleet):
    """Kill the entry that leads and start it again."""
    await _restart(fleet.leader)


async def isolate_leader(fleet):
    """Take everything from the entry that leads, but not its life."""
    address = fleet.leader.address
    fleet.network.partitioned.add(address)
    fleet.store.mode_by_node[address] = "silent"
    await asyncio.sleep(LONG_S)
    fleet.network.partitioned.discard(address)
    fleet.store.mode_by_node.pop(address, None)


async def kill_agent(fleet):
    """Kill the agent of a busy worker and start it again."""
    await _restart(fleet.busy_agent)


async def cut_agent(fleet):
    """Cut the agent of a busy worker off for longer than a lease."""
    address = fleet.busy_agent.address
    fleet.network.partitioned.add(address)
    await asyncio.sleep(LONG_S)
    fleet.network.partitioned.discard(address)


async def renew_worker(fleet):
    """Let a busy worker lose everything and be back at once under its id."""
    worker = fleet.busy_agent.worker
    worker.crash()
    worker.begin_incarnation()


async def crash_worker(fleet):
    """Let a busy worker be away for a while."""
    worker = fleet.busy_agent.worker
    worker.crash()
    await asyncio.sleep(SHORT_S)
    worker.begin_incarnation()


async def drain_worker(fleet):
    """Let a busy worker leave as planned, and another take its place."""
    worker = fleet.busy_agent.worker
    worker.is_draining = True
    await asyncio.sleep(LONG_S)
    worker.crash()
    worker.worker_id += "b"
    worker.is_draining = False
    worker.begin_incarnation()


async def cut_leader_from_store(fleet):
    """Let the store answer the entry that leads no more."""
    address = fleet.leader.address
    fleet.store.mode_by_node[address] = "silent"
    await asyncio.sleep(LONG_S)
    fleet.store.mode_by_node.pop(address, None)


async def silence_store(fleet):
    """Let the store answer nobody for a while."""
    fleet.store.mode_by_node["*"] = "silent"
    await asyncio.sleep(2 * SHORT_S)
    fleet.store.mode_by_node.pop("*", None)


async def nothing(fleet):
    """Let things go on."""


EVENTS = (
    nothing,
    kill_leader,
    isolate_leader,
    kill_agent,
    cut_agent,
    renew_worker,
    crash_worker,
    drain_worker,
    cut_leader_from_store,
    silence_store,
)


async def _play_events(fleet):
    elapsed_s = 0.0
    running = []
    for slot_s in SLOTS_S:
        await asyncio.sleep(slot_s - elapsed_s)
        elapsed_s = slot_s
        event = fleet.choices.choose(f"at {slot_s} s", EVENTS)
        running.append(asyncio.ensure_future(event(fleet)))
    await asyncio.gather(*running)


async def _submit_until_accepted(fleet, job):
    for number in range(SUBMIT_TRIES):
        reply = await fleet.submit(job, number % len(fleet.entries), 1500)
        if reply.result == WorkResult.DONE:
            return
        await asyncio.sleep(0.3)
    raise AssertionError(f"not accepted: {reply}")


def run_order_scenario(choices):
    """Play one job to its end and check what the workers saw.

    Parameters
    ----------
    choices : Choices

    Raises
    ------
    AssertionError
        With the choices that led there.
    """

    async def run():
        fleet = ScriptedFleet(choices)
        fleet.start()
        await fleet.settle(3)
        events = asyncio.ensure_future(_play_events(fleet))
        job = make_job(1, STEPS)
        fleet.durations[job.job_id] = TASK_S
        await asyncio.gather(_submit_until_accepted(fleet, job), _settle(fleet, events))
        await fleet.expect_completed(FINISH_S)
        assert not fleet.checker.violations, fleet.checker.violations
        assert len(fleet.checker.done) == sum(step.count for step in STEPS)

    try:
        run_virtually(run())
    except AssertionError as error:
        raise AssertionError(f"{choices.log}: {error}") from error


async def _settle(fleet, events):
    while not events.done():
        await fleet.settle(0.1)
    await events
