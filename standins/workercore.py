"""Core of the stand-in worker: simulated tasks under leases, without I/O or a clock.

Programs are simulated: ``sleep`` completes after its run time, ``fail`` fails after it,
``noisy`` uses several times its declared size. The first argument, when there is one,
is the actual run time in seconds; the second and third are the millicores and the MiB
of memory that it actually uses.
"""

from dataclasses import dataclass, field

import msgspec

__all__ = ["EndedTask", "Run", "RunningTask", "TaskStart", "WorkerCore"]

NOISY_FACTOR = 3


class TaskStart(msgspec.Struct):
    """Body of a request to start a task."""

    epoch: int
    program: str
    declared: tuple[int, int, int]
    run_time_s: float
    deadline_s: float
    arguments: tuple[str, ...] = ()
    checkpoint: str = ""

    @property
    def length_s(self):
        """Seconds of work until the program ends; 0 for a program that never ends."""
        return float(self.arguments[0]) if self.arguments else self.run_time_s

    @property
    def true_size(self):
        """Amounts that the program uses when it is not throttled."""
        cores, memory, accelerators = self.declared
        if len(self.arguments) > 2:
            return int(self.arguments[1]), int(self.arguments[2]), accelerators
        factor = NOISY_FACTOR if self.program == "noisy" else 1
        return cores * factor, memory, accelerators


class RunningTask(msgspec.Struct):
    """A running task; its checkpoint is the seconds of work done."""

    task_id: str
    start: TaskStart
    started_s: float
    deadline_s: float
    done_s: float = 0.0
    share: float = 1.0
    checkpoint: str = ""


class EndedTask(msgspec.Struct):
    """Outcome of a task, as in the reports."""

    task_id: str
    epoch: int
    outcome: str
    detail: str = ""
    checkpoint: str = ""


class Run(msgspec.Struct):
    """One run of a task on the worker, for checks."""

    task_id: str
    epoch: int
    declared: tuple[int, int, int]
    started_s: float
    done_from_s: float
    stopped_s: float | None = None


@dataclass(slots=True)
class WorkerCore:
    """The worker without its HTTP handlers; times are passed in, in seconds."""

    #: Delay of the reported usage.
    lag_s: float = 0.0
    running_by_id: dict[str, RunningTask] = field(default_factory=dict)
    newest_epoch_by_id: dict[str, int] = field(default_factory=dict)
    ended: list[EndedTask] = field(default_factory=list)
    history: list[Run] = field(default_factory=list)
    now_s: float = 0.0

    def advance(self, now_s):
        """Run the tasks until ``now_s``; each stops at its deadline at the latest."""
        for task in list(self.running_by_id.values()):
            remaining_s = (task.start.length_s - task.done_s) / max(task.share, 1e-9)
            has_end = task.start.length_s > 0
            end_s = self.now_s + remaining_s if has_end else float("inf")
            until_s = max(self.now_s, min(now_s, task.deadline_s))
            if end_s <= until_s:
                is_bad = task.start.program == "fail"
                self._end(task, end_s, "failed" if is_bad else "completed")
                continue
            task.done_s += (until_s - self.now_s) * task.share
            if now_s >= task.deadline_s:
                self._end(task, task.deadline_s, "lapsed", "lease ran out")
        self.now_s = max(now_s, self.now_s)

    def _end(self, task, stopped_s, outcome, detail=""):
        del self.running_by_id[task.task_id]
        run = next(r for r in reversed(self.history) if r.task_id == task.task_id)
        run.stopped_s = stopped_s
        entry = EndedTask(
            task.task_id, task.start.epoch, outcome, detail, task.checkpoint
        )
        self.ended.append(entry)
        return entry

    def start(self, task_id, start):
        """Start a task; return None if it runs, else its end or refusal."""
        current = self.running_by_id.get(task_id)
        if current is not None and current.start.epoch == start.epoch:
            return None
        if start.epoch <= self.newest_epoch_by_id.get(task_id, -1):
            return self._ended_as(task_id, start.epoch)
        if start.deadline_s <= self.now_s:
            return EndedTask(task_id, start.epoch, "refused", "deadline is over")
        self.newest_epoch_by_id[task_id] = start.epoch
        if current is not None:
            self._end(current, self.now_s, "stopped", "superseded")
        done_s = float(start.checkpoint or 0)
        self.running_by_id[task_id] = RunningTask(
            task_id,
            start,
            self.now_s,
            start.deadline_s,
            done_s,
            checkpoint=start.checkpoint,
        )
        self.history.append(
            Run(task_id, start.epoch, start.declared, self.now_s, done_s)
        )
        return None

    def _ended_as(self, task_id, epoch):
        for entry in reversed(self.ended):
            if entry.task_id == task_id and entry.epoch == epoch:
                return entry
        return EndedTask(task_id, epoch, "refused", "not known, or a newer epoch is")

    def renew(self, task_id, epoch, deadline_s):
        """Extend a task's lease; return None, or the task's end or refusal."""
        task = self.running_by_id.get(task_id)
        if task is None or task.start.epoch != epoch:
            return self._ended_as(task_id, epoch)
        task.deadline_s = max(task.deadline_s, deadline_s)
        return None

    def checkpoint(self, task_id, epoch):
        """Make a checkpoint; return it, or the task's end or refusal."""
        task = self.running_by_id.get(task_id)
        if task is None or task.start.epoch != epoch:
            return self._ended_as(task_id, epoch)
        task.checkpoint = repr(task.done_s)
        return EndedTask(task_id, epoch, "running", checkpoint=task.checkpoint)

    def throttle(self, task_id, share):
        """Limit a task to a share of its speed."""
        if task_id in self.running_by_id:
            self.running_by_id[task_id].share = share

    def stop(self, task_id, epoch):
        """Checkpoint and stop a task; later starts with its epoch are refused."""
        task = self.running_by_id.get(task_id)
        if task is not None and task.start.epoch == epoch:
            self.checkpoint(task_id, epoch)
            return self._end(task, self.now_s, "stopped")
        newest = self.newest_epoch_by_id.get(task_id, -1)
        if epoch > newest:
            self.newest_epoch_by_id[task_id] = epoch
            self.ended.append(EndedTask(task_id, epoch, "stopped", "never started"))
        return self._ended_as(task_id, epoch)

    def usages(self):
        """Return (task, epoch, amounts used) as of ``lag_s`` ago."""
        then_s = self.now_s - self.lag_s
        rows = []
        for task in self.running_by_id.values():
            if task.started_s > then_s:
                continue
            cores, memory, accelerators = task.start.true_size
            used = (int(cores * task.share), memory, accelerators)
            rows.append((task.task_id, task.start.epoch, used))
        return rows
