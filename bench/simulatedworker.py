"""Simulated workers for played loads: runs that progress, and reports of them."""

from dataclasses import dataclass, field

from dotterelspread.jobs.agentreport import AgentReport, EndedRun, RunningTask
from dotterelspread.jobs.spec import StepSpec
from dotterelspread.resources import Resources

__all__ = ["CAPACITY", "SERVING_RATIO", "SimulatedRun", "SimulatedWorker"]

CAPACITY = Resources(16_000, 64_000)
#: Share of their request that serving tasks use.
SERVING_RATIO = 0.75
SERVING_TAIL_MS = 50


@dataclass(slots=True)
class SimulatedRun:
    """A run on a worker."""

    run: int
    step: StepSpec
    work_s: float
    done_s: float = 0.0


@dataclass(slots=True)
class SimulatedWorker:
    """The runs on a worker, and the ends that it has not reported."""

    number: int
    runs: dict = field(default_factory=dict)
    ended: list = field(default_factory=list)
    end_count: int = 0
    is_up: bool = True

    def speed(self):
        """Return the share of full speed at which fillers run."""
        idle, wanted = CAPACITY.millicores, 0
        for run in self.runs.values():
            millicores = run.step.demand.millicores
            if run.step.is_filler:
                wanted += millicores
            else:
                idle -= millicores * (SERVING_RATIO if run.step.is_service else 1)
        return min(1.0, max(0.0, idle) / wanted) if wanted else 1.0

    def end(self, task_id, how):
        run = self.runs.pop(task_id)
        self.end_count += 1
        self.ended.append(EndedRun(self.end_count, task_id, run.run, how, ""))

    @property
    def address(self):
        """Address of the worker's agent."""
        return f"a{self.number}:1"

    def report(self, now_s):
        """Return the `AgentReport` of the worker; its ends are not reported again."""
        speed = self.speed()
        rows = tuple(_row(task_id, run, speed) for task_id, run in self.runs.items())
        report = AgentReport(
            agent_address=self.address,
            worker_id=f"i-{self.number}",
            born_ms=1,
            service="svc",
            data_centre="dc",
            labels=frozenset(),
            rack="",
            capacity=CAPACITY,
            is_reachable=True,
            is_draining=False,
            has_left=False,
            is_gone=False,
            listed_ms=int(1000 * now_s),
            running=rows,
            ended=tuple(self.ended),
        )
        self.ended.clear()
        return report


def _row(task_id, run, speed):
    if run.step.is_service:
        return RunningTask(task_id, run.run, "", 100, SERVING_TAIL_MS)
    ratio = speed if run.step.is_filler else 1.0
    percent = min(99, int(100 * run.done_s / run.work_s))
    used = round(ratio * run.step.demand.millicores)
    return RunningTask(task_id, run.run, "", percent, used, round(100 * ratio))
