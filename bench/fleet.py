"""Simulation of agents, workers and a log in virtual time, for tests and experiments.

The reducers are the production code; only the interfaces around them are fakes, driven
by an event queue.
"""

import heapq
import random
import time
from dataclasses import dataclass, field
from itertools import count

from dotterelspread.record import (
    Envelope,
    InstanceAnnounced,
    JobSubmitted,
    TaskSpec,
    encode_record,
)
from dotterelspread.reducer import Tick, reduce
from dotterelspread.resources import Resources
from dotterelspread.taskcore import TaskState
from dotterelspread.taskevent import (
    AppendCellRecord,
    AppendSettled,
    CellCaughtUp,
    CellRecordRead,
    CheckpointTask,
    MembersChanged,
    RenewTask,
    StartTask,
    StopTask,
    TaskCheckpointed,
    TaskStarted,
    TaskStopped,
    TaskUsage,
    ThrottleTask,
    WorkerReported,
)
from standins.workercore import TaskStart, WorkerCore

CELL = "cell.0"
GROUP_COMMIT_DELAY_S = 0.02
#: Minimum delay before an agent reads a record, as a ratio to its read lag.
MIN_LAG_RATIO = 0.5
POLL_INTERVAL_S = 1.0
TICK_INTERVAL_S = 0.1
REPORT_INTERVAL_S = 1.0
CAPACITY = Resources(32_000, 128_000, 2)


def announcement(number, incarnation=1, capacity=CAPACITY, racks=3, **fields):
    return InstanceAnnounced(
        f"i{number:02d}",
        incarnation,
        "agent",
        f"10.0.0.{number}:7000",
        "dc-a",
        "region-a",
        rack=f"r{number // racks}",
        capacity=capacity,
        **fields,
    )


def spec(task_id, millicores=1000, memory_mb=1000, run_time_s=60.0, **fields):
    fields.setdefault("program", "sleep")
    accelerators = fields.pop("accelerators", 0)
    return TaskSpec(
        task_id=task_id,
        declared=Resources(millicores, memory_mb, accelerators),
        run_time_s=run_time_s,
        **fields,
    )


def job(job_id, *specs, urgency=1, is_service=False, team="team-a", labels=None):
    tasks = specs or (spec(f"{job_id}/0"),)
    return JobSubmitted(job_id, team, urgency, labels or {}, tasks, is_service)


class FakeLog:
    """In-memory stream of one cell; each append is atomic, and the log can be down."""

    def __init__(self):
        self.entries = []
        self.times = []
        self.is_up = True
        self.bytes_appended = 0

    def append(self, now_s, envelopes):
        self.times.append(now_s)
        self.entries.append(tuple(envelopes))
        self.bytes_appended += len(encode_record(envelopes))
        return len(self.entries) - 1


@dataclass
class FakeAgent:
    """An agent's state with its append queue, log reader and worker."""

    state: TaskState
    worker: WorkerCore
    rate: float = 1.0
    is_alive: bool = True
    is_frozen: bool = False
    has_worker_link: bool = True
    has_log_link: bool = True
    can_append: bool = True
    loses_replies: bool = False
    lag_s: float = 0.05
    read_offset: int = 0
    sequence: int = 0
    reported_end_count: int = 0
    reported_s: float = float("-inf")
    queue: list = field(default_factory=list)
    deferred: list = field(default_factory=list)
    in_flight: list = field(default_factory=list)
    #: Wall-clock time spent in its reducer.
    reducer_s: float = 0.0

    @property
    def instance_id(self):
        return self.state.instance_id


class Fleet:
    """Agents of one cell, simulated by an event queue in virtual time."""

    def __init__(
        self,
        size,
        seed=0,
        capacity=CAPACITY,
        append_s=0.02,
        lag_s=0.05,
        tick_s=TICK_INTERVAL_S,
    ):
        self.random = random.Random(seed)
        self.capacity = capacity
        self.append_s = append_s
        self.lag_s = lag_s
        self.tick_s = tick_s
        self.now_s = 0.0
        self.events = []
        self.event_sequence = count()
        self.log = FakeLog()
        self.agents = []
        self.lost_replies = []
        self.entry_sequence = count(1)
        for number in range(size):
            self.add_agent(number)

    def add_agent(self, number, incarnation=1, worker=None, rate=1.0, lag_s=0.0):
        record = announcement(number, incarnation, self.capacity)
        state = TaskState.from_announcement(record, CELL)
        worker = worker or WorkerCore(lag_s=lag_s)
        agent = FakeAgent(state, worker, rate=rate, lag_s=self.lag_s)
        self.agents.append(agent)
        self.after(self.random.uniform(0, POLL_INTERVAL_S), self.poll, agent)
        self.after(self.random.uniform(0, self.tick_s), self.tick, agent)
        return agent

    def after(self, delay_s, action, *arguments):
        entry = (self.now_s + delay_s, next(self.event_sequence), action, arguments)
        heapq.heappush(self.events, entry)

    def run(self, duration_s):
        end_s = self.now_s + duration_s
        while self.events and self.events[0][0] <= end_s:
            self.now_s, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
        self.now_s = end_s
        for agent in self.agents:
            self.advance_worker(agent)

    def submit(self, record):
        """Append a record to the log at once, as an entry does."""
        self.commit([Envelope(0, next(self.entry_sequence), record)])

    def commit(self, envelopes):
        offset = self.log.append(self.now_s, envelopes)
        for agent in self.agents:
            self.after(
                agent.lag_s * self.random.uniform(MIN_LAG_RATIO, 1.5), self.read, agent
            )
        return offset

    def clock_s(self, agent):
        return self.now_s * agent.rate

    def advance_worker(self, agent):
        agent.worker.advance(self.clock_s(agent))

    def send(self, agent, event_type, *fields):
        """Pass an event to an agent's reducer and schedule its effects."""
        if not agent.is_alive or agent.is_frozen:
            return
        event = event_type(self.clock_s(agent), *fields)
        started_s = time.perf_counter()
        effects = reduce(event, agent.state)
        agent.reducer_s += time.perf_counter() - started_s
        for effect in effects:
            if isinstance(effect, AppendCellRecord):
                agent.queue.append(effect.record)
                if len(agent.queue) == 1 and not agent.in_flight:
                    self.after(GROUP_COMMIT_DELAY_S, self.send_append, agent)
            else:
                self.after(0.005, self.perform, agent, effect)

    def send_append(self, agent):
        if not agent.is_alive or agent.in_flight or not agent.queue:
            return
        agent.in_flight, agent.queue = agent.queue, []
        self.after(self.append_s / 2, self.receive_append, agent)

    def receive_append(self, agent):
        """Commit an append in the store, or fail it while the store is unreachable."""
        records, offset = agent.in_flight, None
        if self.log.is_up and agent.has_log_link and agent.can_append:
            first = agent.sequence
            agent.sequence += len(records)
            offset = self.commit(
                [
                    Envelope(agent.state.incarnation, first + place, record)
                    for place, record in enumerate(records)
                ]
            )
        if offset is None or not agent.loses_replies:
            self.after(self.append_s / 2, self.settle_append, agent, offset)
        else:
            self.lost_replies.append((agent, offset))

    def settle_append(self, agent, offset):
        if not agent.is_alive:
            return
        if agent.is_frozen:
            agent.deferred.append((self.settle_append, agent, offset))
            return
        records, agent.in_flight = agent.in_flight, []
        for record in records:
            self.send(agent, AppendSettled, record, offset)
        if agent.queue:
            self.after(GROUP_COMMIT_DELAY_S, self.send_append, agent)

    def read(self, agent):
        """Deliver the records that the agent's reader has not read yet."""
        if not agent.is_alive or agent.is_frozen:
            return
        if not (self.log.is_up and agent.has_log_link):
            return
        seen_s = self.now_s - agent.lag_s * MIN_LAG_RATIO
        while (
            agent.read_offset < len(self.log.entries)
            and self.log.times[agent.read_offset] <= seen_s
        ):
            offset = agent.read_offset
            agent.read_offset += 1
            for envelope in self.log.entries[offset]:
                self.send(agent, CellRecordRead, offset, envelope)
            if (agent, offset) in self.lost_replies:
                self.lost_replies.remove((agent, offset))
                self.settle_append(agent, offset)
        self.send(agent, CellCaughtUp, agent.read_offset)

    def poll(self, agent):
        if agent.is_alive:
            self.read(agent)
            self.after(POLL_INTERVAL_S, self.poll, agent)

    def tick(self, agent):
        if not agent.is_alive:
            return
        self.report(agent)
        self.send(agent, Tick)
        self.after(self.tick_s, self.tick, agent)

    def report(self, agent):
        """Report to the agent the tasks that its worker runs and those that ended."""
        self.advance_worker(agent)
        if agent.is_frozen or not agent.has_worker_link:
            return
        for ended in agent.worker.ended[agent.reported_end_count :]:
            agent.reported_end_count += 1
            self.report_stop(agent, ended)
        if self.now_s - agent.reported_s < REPORT_INTERVAL_S:
            return
        agent.reported_s = self.now_s
        usages = tuple(
            TaskUsage(task_id, epoch, Resources(*used))
            for task_id, epoch, used in agent.worker.usages()
        )
        self.send(agent, WorkerReported, usages)

    def report_stop(self, agent, ended):
        self.send(
            agent,
            TaskStopped,
            ended.task_id,
            ended.epoch,
            ended.outcome,
            ended.detail,
            ended.checkpoint,
        )

    def perform(self, agent, effect):
        if not agent.is_alive or not agent.has_worker_link:
            return
        if agent.is_frozen:
            agent.deferred.append((self.perform, agent, effect))
            return
        self.advance_worker(agent)
        ended = perform_on_worker(agent.worker, effect)
        if ended is not None and ended.outcome == "running":
            fields = (ended.task_id, ended.epoch, ended.checkpoint)
            self.send(agent, TaskCheckpointed, *fields)
        elif ended is not None:
            self.report_stop(agent, ended)
        elif isinstance(effect, StartTask):
            self.send(agent, TaskStarted, effect.task_id, effect.epoch)

    def running(self, task_id):
        """Return the agents whose workers run the task now."""
        for agent in self.agents:
            self.advance_worker(agent)
        return [a for a in self.agents if task_id in a.worker.running_by_id]

    def kill(self, agent, with_worker=False):
        """Kill an agent; with its worker, the tasks of the instance stop too."""
        agent.is_alive = False
        if with_worker:
            self.advance_worker(agent)
            for task in list(agent.worker.running_by_id.values()):
                agent.worker.stop(task.task_id, task.start.epoch)

    def restart(self, agent):
        """Start a new incarnation of an agent beside the same worker."""
        number = int(agent.instance_id[1:])
        incarnation = agent.state.incarnation + 1
        return self.add_agent(number, incarnation, agent.worker, agent.rate)

    def send_members(self):
        """Send all agents the ids of the instances that answer heartbeats."""
        live = (a.instance_id for a in self.agents if a.is_alive and not a.is_frozen)
        live_ids = frozenset(live)
        for agent in self.agents:
            self.send(agent, MembersChanged, live_ids)

    def freeze(self, agent):
        agent.is_frozen = True

    def thaw(self, agent):
        agent.is_frozen = False
        deferred, agent.deferred = agent.deferred, []
        for action, *arguments in deferred:
            action(*arguments)

    def runs(self):
        """Return (agent, run, start, stop) of every run, in seconds of virtual time."""
        rows = []
        for agent in self.agents:
            self.advance_worker(agent)
        by_worker = {id(agent.worker): agent for agent in self.agents}
        for agent in by_worker.values():
            for run in agent.worker.history:
                stopped_s = run.stopped_s
                stop_s = self.now_s if stopped_s is None else stopped_s / agent.rate
                rows.append((agent, run, run.started_s / agent.rate, stop_s))
        return rows


def perform_on_worker(worker, effect):
    """Perform an effect on a worker; return the end of its task, if it ended."""
    task_id = effect.task_id
    if isinstance(effect, StartTask):
        start = TaskStart(
            effect.epoch,
            effect.spec.program,
            tuple(effect.spec.declared.__reduce__()[1]),
            effect.spec.run_time_s,
            effect.lease_deadline_s,
            effect.spec.arguments,
            effect.checkpoint,
        )
        return worker.start(task_id, start)
    if isinstance(effect, RenewTask):
        return worker.renew(task_id, effect.epoch, effect.lease_deadline_s)
    if isinstance(effect, StopTask):
        return worker.stop(task_id, effect.epoch)
    if isinstance(effect, CheckpointTask):
        return worker.checkpoint(task_id, effect.epoch)
    if isinstance(effect, ThrottleTask):
        worker.throttle(task_id, effect.share)
    return None
