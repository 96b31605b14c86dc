"""Loads of small and large jobs, played on a cell on virtual time.

Small steps of short tasks and large steps of long ones share workers on which serving
tasks hold a part of the processors. Large tasks are fillers, which wait for idle
processors, batch tasks, which reserve theirs, or gangs, which start together.
"""

import random
from dataclasses import dataclass, field

from bench.simulatedworker import SimulatedRun, SimulatedWorker
from dotterelspread.jobs.agentreport import RunEnd
from dotterelspread.jobs.cell import (
    AgentLost,
    Cell,
    CellTick,
    OrderSettled,
    Reported,
    StartRun,
    StopRun,
    Submitted,
)
from dotterelspread.jobs.handlers import reduce
from dotterelspread.jobs.queues import FleetConfiguration, Queue
from dotterelspread.jobs.spec import JobSpec, StepSpec
from dotterelspread.resources import Resources

__all__ = ["LARGE", "LARGE_KINDS", "SERVING", "SMALL", "Outcome", "WaitingLoad"]

STEP_S = 0.05
TICK_S = 0.1
#: Interval between two listings of a worker without ends.
LISTING_S = 0.5
WORKERS = 12
SERVING = Resources(6_000, 1_000)
LEASE_S = 4.0
SMALL = Queue("small", "host", "/small/", "svc", 0, 3, 2.0, 500)
LARGE = Queue("large", "host", "/large/", "svc", 0, 3, 2.0, 1000)
SERVICE = Queue("service", "host", "/service/", "svc", 0, 3, 2.0, 3000)
LARGE_KINDS = ("filler", "batch", "gang")


@dataclass(slots=True)
class Outcome:
    """Results of the jobs of one kind."""

    #: Time from when a task was due until its first start, by task.
    waits_s: list = field(default_factory=list)
    in_time: int = 0
    jobs: int = 0

    def wait_s(self, share):
        """Return a quantile of the waits."""
        ranked = sorted(self.waits_s)
        return ranked[min(len(ranked) - 1, int(share * len(ranked)))]

    @property
    def served_ratio(self):
        """Share of the jobs that completed within their objective."""
        return self.in_time / self.jobs


class WaitingLoad:
    """Plays arrivals on a cell.

    Parameters
    ----------
    policy : PlacementPolicy
    seed : int
    estimate_ratio : float
        Ratio of actual to declared run time.
    """

    def __init__(self, policy, seed=1, estimate_ratio=1.0, workers=WORKERS):
        self.rng = random.Random(seed)
        self.estimate_ratio = estimate_ratio
        self.now_s = 10.0
        queues = {queue.name: queue for queue in (SMALL, LARGE, SERVICE)}
        self.cell = Cell(FleetConfiguration(1, queues), placement_policy=policy)
        self.workers = [SimulatedWorker(number) for number in range(workers)]
        self.jobs = {}
        self.number = 0
        self.due_s = {}
        self.started_s = {}
        self.done_s = {}
        self.starts = []
        #: Descriptions of violated properties.
        self.violations = []
        self.used_core_s = 0.0
        for worker in self.workers:
            self._report(worker)
        for _ in self.workers:
            step = StepSpec(1, SERVING, is_service=True, target_ms=150, image="s")
            self.submit(SERVICE, step)

    def submit(self, queue, *steps):
        """Submit a job; return its id."""
        self.number += 1
        spec = JobSpec(f"{self.number:016x}", queue, "p", steps)
        self.jobs[spec.job_id] = spec
        self.due_s[spec.job_id, 0] = self.now_s
        self._perform(reduce(Submitted(self.now_s, spec, 0), self.cell))
        return spec.job_id

    def _step(self, count, millicores, run_s, depends_on, **changes):
        estimate_ms = int(1000 * run_s / self.estimate_ratio)
        demand = Resources(millicores, 10)
        return StepSpec(count, demand, estimate_ms, depends_on, **changes)

    def submit_small(self):
        """Submit a job of 1 or 2 steps of 10 short tasks."""
        rng = self.rng
        steps = [
            self._step(
                10,
                rng.randint(400, 700),
                rng.uniform(1.1, 2.0),
                (number - 1,) if number else (),
                image="small",
            )
            for number in range(1 + (rng.random() < 0.6))
        ]
        return self.submit(SMALL, *steps)

    def submit_large(self, kind):
        """Submit a job of 2 steps of large tasks of a kind of `LARGE_KINDS`."""
        rng = self.rng
        steps = []
        for number in range(2):
            run_s = rng.uniform(3.8, 4.4)
            depends_on = (number - 1,) if number else ()
            if kind == "filler":
                cores = rng.randint(1800, 3500)
                values = {"is_filler": True, "image": "large"}
                steps.append(self._step(20, cores, run_s, depends_on, **values))
            else:
                values = {"is_gang": kind == "gang", "image": "large"}
                steps.append(self._step(8, 6000, run_s, depends_on, **values))
        return self.submit(LARGE, *steps)

    def lose(self, worker):
        """Let an instance fail: its agent stops answering."""
        worker.is_up = False
        worker.runs.clear()
        self._perform(reduce(AgentLost(self.now_s, worker.address), self.cell))

    def run(self, seconds):
        """Advance the time."""
        for _ in range(round(seconds / STEP_S)):
            self.now_s = round(self.now_s + STEP_S, 6)
            for worker in self.workers:
                if worker.is_up:
                    self._work(worker)
            if _is_multiple(self.now_s, TICK_S):
                self._perform(reduce(CellTick(self.now_s, 0), self.cell))
            self._check()

    def _work(self, worker):
        speed = worker.speed()
        for task_id, run in list(worker.runs.items()):
            if run.step.is_service:
                continue
            ratio = speed if run.step.is_filler else 1.0
            run.done_s += STEP_S * ratio
            self.used_core_s += STEP_S * ratio * run.step.demand.millicores / 1000
            if run.done_s >= run.work_s:
                worker.end(task_id, RunEnd.COMPLETED)
                self._note_end(task_id)
        if worker.ended or _is_multiple(self.now_s + worker.number * STEP_S, LISTING_S):
            self._report(worker)

    def _note_end(self, task_id):
        job_id, _, number, _ = task_id.split(".")
        self.done_s[task_id] = self.now_s
        number = int(number)
        step = self.jobs[job_id].steps[number]
        task_ids = [f"{job_id}.0.{number}.{index}" for index in range(step.count)]
        # The first end of a gang completes it; the other members are stopped.
        if step.is_gang or all(one in self.done_s for one in task_ids):
            self.due_s.setdefault((job_id, number + 1), self.now_s)

    def _report(self, worker):
        report = worker.report(self.now_s)
        event = Reported(self.now_s, report, self.now_s + LEASE_S, 0)
        self._perform(reduce(event, self.cell))

    def _perform(self, effects):
        for effect in effects:
            if not isinstance(effect, (StartRun, StopRun)):
                continue
            worker = self.workers[int(effect.worker.worker_id.split("-")[1])]
            result = "confirmed" if worker.is_up else "unknown"
            if worker.is_up and isinstance(effect, StartRun):
                self._start(worker, effect)
            elif worker.is_up and effect.task_id in worker.runs:
                worker.end(effect.task_id, RunEnd.STOPPED)
            settled = OrderSettled(
                self.now_s,
                effect.worker.worker_id,
                effect.worker.born_ms,
                effect.task_id,
                effect.run.run,
                result,
                int(1000 * self.now_s) if worker.is_up else 0,
            )
            self._perform(reduce(settled, self.cell))

    def _start(self, worker, effect):
        step = effect.step
        # Tasks of a step differ a little.
        work_s = step.estimate_ms / 1000 * self.estimate_ratio
        work_s *= random.Random(effect.task_id).uniform(0.95, 1.05)
        worker.runs[effect.task_id] = SimulatedRun(effect.run.run, step, work_s)
        self.started_s.setdefault(effect.task_id, self.now_s)
        self.starts.append((self.now_s, effect.task_id))

    def _check(self):
        for worker in self.cell.workers_by_id.values():
            if not worker.reserved.fits_in(worker.capacity):
                self.violations.append(f"{self.now_s} {worker.worker_id} over capacity")

    def outcome(self, queue):
        """Return the `Outcome` of a queue; tasks without a start wait until now."""
        outcome = Outcome()
        for job_id, spec in self.jobs.items():
            if spec.queue.name != queue.name:
                continue
            outcome.jobs += 1
            outcome.in_time += self._is_in_time(job_id, spec)
            for number, step in enumerate(spec.steps):
                due_s = self.due_s.get((job_id, number))
                if due_s is None:
                    continue
                for index in range(step.count):
                    task_id = f"{job_id}.0.{number}.{index}"
                    started_s = self.started_s.get(task_id, self.now_s)
                    outcome.waits_s.append(started_s - due_s)
        return outcome

    def _is_in_time(self, job_id, spec):
        done_s = self.due_s.get((job_id, len(spec.steps)))
        path_s = sum(step.estimate_ms for step in spec.steps) / 1000
        path_s *= self.estimate_ratio
        objective_s = spec.queue.slack_factor * path_s + spec.queue.objective_ms / 1000
        return done_s is not None and done_s - self.due_s[job_id, 0] <= objective_s


def _is_multiple(now_s, interval_s):
    return round(now_s / STEP_S) % round(interval_s / STEP_S) == 0
