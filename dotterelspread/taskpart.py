"""Agent component that takes part in its cell and drives the worker."""

import asyncio
from dataclasses import dataclass, replace
from functools import singledispatchmethod

import msgspec

from .entryevents import MemberGone, MemberSeen
from .gen.peer.ttypes import JobReply, StatusReply, TaskStatus
from .localtask import LocalPhase
from .log import TruncatedError
from .logclient import AppendError
from .node import Part
from .record import TaskEnded
from .reducer import Tick
from .taskcore import TaskState
from .taskevent import (
    AppendCellRecord,
    AppendSettled,
    CellCaughtUp,
    CellRecordRead,
    CellTruncated,
    CheckpointTask,
    ConfigurationChanged,
    DrainRequested,
    EvictionRequested,
    MembersChanged,
    RenewTask,
    StartsWithheld,
    StartTask,
    StopTask,
    ThrottleTask,
    WorkerReported,
)
from .taskexplain import explain_task
from .views import TaskView
from .worker import WorkerError

__all__ = ["TaskPart"]

#: Interval in seconds between checks for due effects.
TICK_INTERVAL_S = 0.25
#: Why starts of tasks are withheld in a process that has just started.
NOT_CHECKED = "the evacuated data centres are not known yet"
#: Interval in seconds between reports requested from the worker.
REPORT_INTERVAL_S = 1.0
#: Timeout in seconds of an append.
APPEND_TIMEOUT_S = 5.0
#: Age at which the cell's snapshot is due, as a fraction of the log's retention.
SNAPSHOT_RETENTION_RATIO = 1 / 3
#: Smallest change of a task's share that is sent to the worker.
MIN_SHARE_CHANGE = 0.01
#: Interval in seconds between checks for the end of a drain.
DRAIN_POLL_INTERVAL_S = 0.1


@dataclass(slots=True, frozen=True)
class TaskShares:
    """Shares of its processor time (0 to 1) that the controllers allow a task."""

    #: Limit while the instance is under resource pressure.
    pressure: float = 1.0
    #: Limit that protects the service on the same instance from interference.
    limit: float = 1.0

    @property
    def effective(self):
        """Share that the task gets: the smallest allowed one."""
        return min(self.pressure, self.limit)


class TaskPart(Part):
    """Claims, runs and ends the tasks of one cell.

    Parameters
    ----------
    node : Node
    worker : Worker
    announcement : InstanceAnnounced
        The agent's own.
    """

    def __init__(self, node, worker, announcement):
        super().__init__(node)
        self._worker = worker
        self._is_configured = False
        self._last_call_by_task = {}
        self._shares_by_id = {}
        self._gone_ids = set()
        #: Callable that returns why no task may be started; empty if tasks may be.
        self.find_withholding = str
        self.state = TaskState.from_announcement(announcement, node.settings.agent.cell)
        self.state.withheld = NOT_CHECKED

    def handlers_by_method(self):
        """Return the handlers of calls about jobs and tasks."""
        return {"job": self._job, "status": self._status_rows}

    async def run(self):
        """Take part in the cell until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follow_cell())
            group.create_task(self._read_reports())
            while True:
                await asyncio.sleep(TICK_INTERVAL_S)
                if self._is_configured:
                    self._update_live_ids()
                    self.update_withholding()
                    self.dispatch(Tick(self.node.now_s()))

    def configure(self, version):
        """Apply a new `Version` of the configuration."""
        self._is_configured = True
        self.dispatch(ConfigurationChanged(self.node.now_s(), version.configuration))

    def record_member(self, event):
        """Record whether an instance answers heartbeats.

        Parameters
        ----------
        event : MemberSeen, MemberGone or another event on members
        """
        if isinstance(event, MemberGone):
            self._gone_ids.add(event.instance_id)
        elif isinstance(event, MemberSeen):
            self._gone_ids.discard(event.instance_id)

    def update_withholding(self):
        """Withhold starts of tasks, or allow them again, if that has changed."""
        reason = self.find_withholding()
        if reason != self.state.withheld:
            self.dispatch(StartsWithheld(self.node.now_s(), reason))

    def _update_live_ids(self):
        live_ids = frozenset(self.state.cell.members_by_id) - self._gone_ids
        if live_ids != self.state.live_ids:
            self.dispatch(MembersChanged(self.node.now_s(), live_ids))

    def start_drain(self):
        """Checkpoint and release all tasks and leave the cell."""
        self.dispatch(DrainRequested(self.node.now_s()))

    async def wait_drained(self):
        """Wait until no task is left on the instance and it has left the cell."""
        while self.state.locals_by_id or self.state.member is not None:
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)

    def batch_locals(self):
        """Return the running local tasks of batch jobs."""
        cell = self.state.cell
        found = []
        for local in self.state.locals_by_id.values():
            task = cell.tasks_by_id.get(local.task_id)
            is_batch = task is not None and not cell.jobs_by_id[task.job_id].is_service
            if is_batch and local.phase is LocalPhase.RUNNING:
                found.append(local)
        return found

    def limit_shares(self, share_by_program):
        """Limit the processor time of batch tasks to a share for each program."""
        for local in self.batch_locals():
            share = share_by_program.get(local.spec.program, 1.0)
            self._set_share(local.task_id, limit=share)

    def evict(self, task_id):
        """Checkpoint and release a batch task."""
        self.dispatch(EvictionRequested(self.node.now_s(), task_id))

    @singledispatchmethod
    def perform(self, effect):
        """Perform ``effect``."""
        raise TypeError(f"unsupported effect: {type(effect).__name__}")

    @perform.register
    def _(self, effect: AppendCellRecord):
        self.node.spawn(self._append(effect))

    @perform.register(StartTask)
    @perform.register(RenewTask)
    @perform.register(CheckpointTask)
    @perform.register(StopTask)
    def _(self, effect):
        if isinstance(effect, StartTask | StopTask):
            self._shares_by_id.pop(effect.task_id, None)
        self._spawn_worker_call(effect)

    @perform.register
    def _(self, effect: ThrottleTask):
        self._set_share(effect.task_id, pressure=effect.share)

    def _set_share(self, task_id, **change):
        """Throttle a task to the smallest share that any controller allows it."""
        shares = self._shares_by_id.get(task_id, TaskShares())
        changed = replace(shares, **change)
        self._shares_by_id[task_id] = changed
        if abs(changed.effective - shares.effective) > MIN_SHARE_CHANGE:
            self._spawn_worker_call(ThrottleTask(task_id, changed.effective))

    def _spawn_worker_call(self, effect):
        previous = self._last_call_by_task.get(effect.task_id)
        task = self.node.spawn(self._call_worker(effect, previous))
        self._last_call_by_task[effect.task_id] = task

    async def _call_worker(self, effect, previous):
        # Waiting for the previous call keeps the effects on one task in order.
        if previous is not None:
            await asyncio.wait((previous,))
        if isinstance(effect, StartTask) and self.find_withholding():
            return
        tracing = self.node.telemetry.tracing
        name = f"agent.worker.{type(effect).__name__}"
        with tracing.span(name, task_id=effect.task_id):
            try:
                events = await self._worker.perform(effect)
            except WorkerError:
                self.node.telemetry.count("worker_errors")
                events = ()
        if self._last_call_by_task.get(effect.task_id) is asyncio.current_task():
            del self._last_call_by_task[effect.task_id]
        for event in events:
            self.dispatch(event)

    async def _append(self, effect):
        try:
            offset = await self.node.log_client.append(
                effect.stream, effect.record, APPEND_TIMEOUT_S
            )
        except AppendError:
            offset = None
        if isinstance(effect.record, TaskEnded) and offset is not None:
            self._count_end(effect.record)
        settled = AppendSettled(self.node.now_s(), effect.record, offset)
        self.dispatch(settled)

    def _count_end(self, record):
        task = self.state.cell.tasks_by_id.get(record.task_id)
        job = task and self.state.cell.jobs_by_id.get(task.job_id)
        self.node.telemetry.count_task(job.team if job else "", record.outcome)

    async def _follow_cell(self):
        position = 0
        while True:
            try:
                stream = self.state.stream
                async for batch in self.node.log_client.follow(stream, position):
                    self._dispatch_batch(batch)
                    position = batch.next_offset
            except TruncatedError as error:
                position = error.oldest
                self.dispatch(CellTruncated(self.node.now_s(), position))

    def _dispatch_batch(self, batch):
        now_s = self.node.now_s()
        for entry in batch.entries:
            self.dispatch(CellRecordRead(now_s, entry.offset, entry.envelope))
        if batch.caught_up_s is not None:
            self.dispatch(CellCaughtUp(batch.caught_up_s, batch.next_offset))

    async def _read_reports(self):
        while True:
            try:
                report = await self._worker.report()
            except WorkerError:
                self.node.telemetry.count("worker_errors")
            else:
                now_s = self.node.now_s()
                for event in report.stopped:
                    self.dispatch(event)
                self.dispatch(WorkerReported(now_s, report.usages))
            await asyncio.sleep(REPORT_INTERVAL_S)

    async def _job(self, query):
        found = self.state.cell.find_job(query.job_id)
        if found is None:
            return JobReply(found=False, job_id=query.job_id)
        job, job_tasks = found
        tasks = [self._status(task) for task in job_tasks]
        return JobReply(found=True, job_id=query.job_id, team=job.team, tasks=tasks)

    async def _status_rows(self, query):
        views = [
            TaskView.from_message(self._status(task))
            for task in self.state.cell.tasks_by_id.values()
        ]
        return StatusReply([msgspec.json.encode(view).decode() for view in views])

    def _status(self, task):
        return TaskStatus(
            task_id=task.task_id,
            state=task.outcome or task.phase.name.lower(),
            owner_id=task.owner_id,
            epoch=task.epoch,
            explanation=self._explain(task),
        )

    def _explain(self, task):
        if task.task_id in self.state.cell.tasks_by_id:
            return " ".join(explain_task(self.state, task.task_id))
        return f"It ended as {task.outcome}: {task.detail or 'no detail'}."
