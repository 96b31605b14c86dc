"""A cell under load on virtual time: serving tasks, fillers and what callers get.

Workers, agents' pacers and the leader's reducer are played in steps of half a second.
Fillers raise the tails of the serving tasks beside them by true costs, which the leader
learns from the listings.
"""

import math
from dataclasses import dataclass, field

from dotterelspread.gen.peer.ttypes import TaskTraits
from dotterelspread.jobs.agentreport import (
    AgentReport,
    EndedRun,
    RunEnd,
    RunningTask,
)
from dotterelspread.jobs.cell import (
    Cancelled,
    CellTick,
    OrderSettled,
    Reported,
    StartRun,
    StopRun,
    Submitted,
)
from dotterelspread.jobs.handlers import reduce
from dotterelspread.jobs.pacing import FillerPacer
from dotterelspread.resources import Resources
from tests.builders_cell import make_cell, make_worker
from tests.builders_fleet import make_job, make_step

__all__ = ["LoadModel", "filler_step", "serving_step"]

STEP_S = 0.5
CAPACITY = Resources(32_000, 64_000)
TARGET_MS = 150
#: Tail of a serving task without fillers at its mean load.
BASE_TAIL_MS = 50
#: Period of the load of serving tasks, and its swing as an exponent.
LOAD_PERIOD_S = 20.0
LOAD_SWING = 0.4


def serving_step(image, count=1, **changes):
    """Return a step of serving tasks of an image."""
    values = {
        "count": count,
        "demand": Resources(6400, 1000),
        "is_service": True,
        "target_ms": TARGET_MS,
        "image": image,
    }
    return make_step(**(values | changes))


def filler_step(image, count, run_s=4.0):
    """Return a step of fillers of an image."""
    return make_step(
        count=count,
        demand=Resources(3500, 100),
        estimate_ms=int(run_s * 1000),
        is_filler=True,
        is_checkpointing=True,
        image=image,
    )


@dataclass
class _Run:
    run: int
    step: object
    work_s: float
    done_s: float = 0.0


@dataclass
class _WorkerModel:
    """What runs on a worker, and the pacer of its agent."""

    number: int
    runs_by_task: dict = field(default_factory=dict)
    ended: list = field(default_factory=list)
    end_count: int = 0
    pacer: FillerPacer = field(default_factory=FillerPacer)

    def end(self, task_id, how):
        run = self.runs_by_task.pop(task_id)
        self.end_count += 1
        self.ended.append(EndedRun(self.end_count, task_id, run.run, how, ""))


class LoadModel:
    """Plays a cell in steps.

    Parameters
    ----------
    workers : int
    cost_of : callable
        Returns the true increase of a serving image's tail per core of a filler image.
    capacity : Resources
        Of each worker.
    """

    def __init__(self, workers, cost_of, capacity=CAPACITY):
        self.cost_of = cost_of
        self.now_s = 0.0
        self.cell = make_cell(
            *(make_worker(number, capacity=capacity) for number in range(workers))
        )
        self.models_by_id = {
            f"i-{number}": _WorkerModel(number) for number in range(workers)
        }
        self.submitted_s_by_id = {}
        self.done_s_by_id = {}
        #: Steps in which a serving task was above its target, and all such steps.
        self.steps_above = 0
        self.serving_steps = 0

    def submit(self, number, *steps):
        """Submit a job of the given steps."""
        spec = make_job(number, steps)
        self.submitted_s_by_id[spec.job_id] = self.now_s
        self.perform(reduce(Submitted(self.now_s, spec, self.wall_ms), self.cell))
        return spec.job_id

    def cancel(self, job_id):
        """Cancel a job."""
        self.perform(reduce(Cancelled(self.now_s, job_id, self.wall_ms), self.cell))

    @property
    def wall_ms(self):
        return int(self.now_s * 1000)

    def perform(self, effects):
        """Execute orders at once."""
        for effect in effects:
            if not isinstance(effect, (StartRun, StopRun)):
                continue
            model = self.models_by_id[effect.worker.worker_id]
            if isinstance(effect, StartRun):
                work_s = effect.step.estimate_ms / 1000
                run = _Run(effect.run.run, effect.step, work_s)
                model.runs_by_task[effect.task_id] = run
            elif effect.task_id in model.runs_by_task:
                model.end(effect.task_id, RunEnd.STOPPED)
            settled = OrderSettled(
                self.now_s,
                effect.worker.worker_id,
                effect.worker.born_ms,
                effect.task_id,
                effect.run.run,
                "confirmed",
                self.wall_ms,
            )
            self.perform(reduce(settled, self.cell))

    def run(self, seconds):
        """Advance the time."""
        for _ in range(round(seconds / STEP_S)):
            self.now_s += STEP_S
            for worker_id, model in self.models_by_id.items():
                self._step_worker(worker_id, model)
            self.perform(reduce(CellTick(self.now_s, self.wall_ms), self.cell))
            for job in self.cell.jobs_by_id.values():
                if job.ended_ms:
                    self.done_s_by_id.setdefault(job.job_id, self.now_s)

    def _step_worker(self, worker_id, model):
        rows = [self._row(model, *item) for item in model.runs_by_task.items()]
        traits = {
            task_id: TaskTraits(
                task_id,
                run.step.target_ms,
                run.step.is_filler,
                run.step.image,
                run.step.demand.millicores,
            )
            for task_id, run in model.runs_by_task.items()
        }
        worker = self.cell.workers_by_id[worker_id]
        model.pacer.update(
            worker.capacity.millicores, rows, traits, self.cell.costs.by_pair
        )
        self._count_tails(rows)
        self._work(model)
        self._report(worker, model, rows)

    def _row(self, model, task_id, run):
        pace = model.pacer.pace_of(task_id, run.run)
        if run.step.target_ms:
            return RunningTask(task_id, run.run, "", 100, self._tail_ms(model, run))
        percent = min(99, int(100 * run.done_s / run.work_s))
        used = round(run.step.demand.millicores * pace / 100)
        return RunningTask(task_id, run.run, "", percent, used, pace)

    def _tail_ms(self, model, serving):
        phase = sum(map(ord, serving.step.image))
        swing = math.sin(2 * math.pi * self.now_s / LOAD_PERIOD_S + phase)
        increase = sum(
            self.cost_of(serving.step.image, run.step.image)
            * run.step.demand.millicores
            / 1000
            * model.pacer.pace_of(task_id, run.run)
            / 100
            for task_id, run in model.runs_by_task.items()
            if run.step.is_filler
        )
        return round(BASE_TAIL_MS * math.exp(LOAD_SWING * swing) * (1 + increase))

    def _count_tails(self, rows):
        tails = [row.figure for row in rows if row.percent == 100]
        self.serving_steps += len(tails)
        self.steps_above += sum(tail > TARGET_MS for tail in tails)

    def _work(self, model):
        for task_id, run in list(model.runs_by_task.items()):
            if run.step.is_service:
                continue
            run.done_s += STEP_S * model.pacer.pace_of(task_id, run.run) / 100
            if run.done_s >= run.work_s:
                model.end(task_id, RunEnd.COMPLETED)

    def _report(self, worker, model, rows):
        report = AgentReport(
            agent_address=worker.agent_address,
            worker_id=worker.worker_id,
            born_ms=worker.born_ms,
            service=worker.service,
            data_centre=worker.data_centre,
            labels=worker.labels,
            rack=worker.rack,
            capacity=worker.capacity,
            is_reachable=True,
            is_draining=False,
            has_left=False,
            is_gone=False,
            listed_ms=1 + self.wall_ms,
            running=tuple(row for row in rows if row.task_id in model.runs_by_task),
            ended=tuple(model.ended),
        )
        event = Reported(self.now_s, report, self.now_s + 4.0, self.wall_ms)
        effects = reduce(event, self.cell)
        model.ended.clear()
        self.perform(effects)

    def durations_s(self, job_ids):
        """Return how long each job took; infinite if it has not completed."""
        return [
            self.done_s_by_id.get(job_id, math.inf) - self.submitted_s_by_id[job_id]
            for job_id in job_ids
        ]
