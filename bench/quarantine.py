"""Wasted starts, quarantines and refusals, compared with simpler fault attribution.

A seeded discrete-event simulation of one cell: 10 % of the jobs fail on every worker,
2 % fit on no worker, 5 % of the workers fail all tasks until they are repaired, other
tasks fail at random, more often in bursts, and jobs are cancelled in batches.

Run with ``python -m bench.quarantine``.
"""

import argparse
import heapq
import random
from collections import Counter, deque
from dataclasses import dataclass, field

from dotterelspread.quarantine import QuarantineState, Standing, StartDecision
from dotterelspread.resources import Resources

WORKER_COUNT = 40
SLOTS_PER_WORKER = 4
WORKER_CAPACITY = Resources(32000, 125000, 0)
FAULTY_WORKER_RATIO = 0.05
FAILING_JOB_RATIO = 0.10
OVERSIZED_JOB_RATIO = 0.02
NOISE_RATIO = 0.03
BURST_NOISE_RATIO = 0.25
MEAN_FAILURE_DELAY_S = 5.0
REPAIR_DELAY_S = 5400.0
RENEWAL_INTERVAL_S = 40.0
CANCEL_INTERVAL_S = 1800.0
CANCEL_RATIO = 0.2
MEAN_JOB_INTERVAL_S = 12.0
#: Attempts after which a policy without fault attribution refuses a task.
MAX_ATTEMPTS = 10


class AttemptLimit:
    """Retries on any worker up to `MAX_ATTEMPTS`; attributes no faults; a baseline."""

    def __init__(self):
        self.failures_by_task = Counter()

    def add_worker(self, worker_id):
        pass

    def started(self, offset, job_id, worker_id):
        pass

    def released(self, offset, job_id):
        pass

    def success(self, offset, job_id, task_id, worker_id):
        pass

    def failure(self, offset, job_id, task_id, worker_id):
        self.failures_by_task[task_id] += 1

    def remove_task(self, task_id):
        self.failures_by_task.pop(task_id, None)

    def refusal(self, job_id, task_id):
        if self.failures_by_task[task_id] >= MAX_ATTEMPTS:
            return "too many attempts"
        return None

    def wait(self, job_id, task_id):
        return None

    def standing(self, worker_id):
        return Standing.OPEN

    def admit(self, worker_id, job_id, task_id, running):
        return StartDecision(True, False, "")


class CountThreshold(AttemptLimit):
    """Quarantines a worker after 5 failures in 10 runs; refuses a task after 3."""

    def __init__(self):
        super().__init__()
        self.runs_by_worker = {}
        self.until_by_worker = {}
        self.offset = 0

    def success(self, offset, job_id, task_id, worker_id):
        self._end_run(offset, worker_id, True)

    def failure(self, offset, job_id, task_id, worker_id):
        super().failure(offset, job_id, task_id, worker_id)
        self._end_run(offset, worker_id, False)

    def _end_run(self, offset, worker_id, ok):
        self.offset = offset
        runs = self.runs_by_worker.setdefault(worker_id, deque(maxlen=10))
        runs.append(ok)
        if list(runs).count(False) >= 5:
            self.until_by_worker[worker_id] = offset + 1600
            runs.clear()

    def refusal(self, job_id, task_id):
        failed = self.failures_by_task[task_id]
        return f"{failed} failures" if failed >= 3 else None

    def standing(self, worker_id):
        if self.offset < self.until_by_worker.get(worker_id, 0):
            return Standing.QUARANTINED
        return Standing.OPEN

    def admit(self, worker_id, job_id, task_id, running):
        return StartDecision(self.standing(worker_id) is Standing.OPEN, False, "")


@dataclass(slots=True)
class Job:
    job_id: str
    is_failing: bool
    size: Resources
    run_s: float
    is_cancelled: bool = False


@dataclass(slots=True)
class Worker:
    worker_id: str
    running: int = 0
    #: Time since which all its tasks fail; None while the worker is healthy.
    faulty_since_s: float | None = None
    starts_while_faulty: int = 0
    has_been_quarantined: bool = False
    repaired_s: float | None = None


@dataclass(slots=True)
class Result:
    starts: int = 0
    completed: int = 0
    failed_on_bad_worker: int = 0
    failed_of_bad_job: int = 0
    failed_by_noise: int = 0
    refused_bad_tasks: int = 0
    refused_sound_tasks: int = 0
    refused_unfit_jobs: int = 0
    cancelled_jobs: int = 0
    healthy_quarantined: int = 0
    starts_to_quarantine: list[int] = field(default_factory=list)
    seconds_to_quarantine: list[float] = field(default_factory=list)
    seconds_to_lift: list[float] = field(default_factory=list)
    never_caught: int = 0


class Cell:
    """One cell of workers under one policy."""

    def __init__(self, policy, seed):
        self.policy = policy
        self.rng = random.Random(seed)
        self.outcome_rng = random.Random(seed + 1)
        self.now_s = 0.0
        self.offset = 0
        self.sequence = 0
        self.queue = []
        self.pending = deque()
        self.jobs = []
        self.workers = [Worker(f"w{i}") for i in range(WORKER_COUNT)]
        self.quarantined = set()
        self.result = Result()

    def run(self, hours):
        """Simulate ``hours`` of virtual time and return the result."""
        for worker in self.workers:
            self.policy.add_worker(worker.worker_id)
        self._schedule(0.0, self._submit_job)
        self._schedule(600.0, self._break_workers)
        self._schedule(CANCEL_INTERVAL_S, self._cancel_jobs)
        while self.queue and self.now_s < hours * 3600.0:
            before_s = self.now_s
            self.now_s, _, action, arguments = heapq.heappop(self.queue)
            self.offset += round(
                (self.now_s - before_s) * WORKER_COUNT / RENEWAL_INTERVAL_S
            )
            action(*arguments)
            self._record_standings()
            self._place()
        self.result.never_caught += sum(
            worker.faulty_since_s is not None and not worker.has_been_quarantined
            for worker in self.workers
        )
        return self.result

    def _schedule(self, time_s, action, *arguments):
        self.sequence += 1
        heapq.heappush(self.queue, (time_s, self.sequence, action, arguments))

    def _submit_job(self):
        rng = self.rng
        self._schedule(
            self.now_s + rng.expovariate(1.0 / MEAN_JOB_INTERVAL_S), self._submit_job
        )
        is_failing = rng.random() < FAILING_JOB_RATIO
        size = Resources(4000, 8000, 0)
        if rng.random() < OVERSIZED_JOB_RATIO:
            size = Resources(64000, 8000, 0)
        run_s = min(rng.lognormvariate(5.3, 1.0), 7200.0)
        job = Job(f"j{len(self.jobs)}", is_failing, size, run_s)
        self.jobs.append(job)
        count = rng.choice((1, 1, 2, 4, 8))
        if not job.size.fits_in(WORKER_CAPACITY):
            self.result.refused_unfit_jobs += 1
            return
        self.pending.extend((job, f"{job.job_id}.{i}") for i in range(count))

    def _break_workers(self):
        for worker in self.rng.sample(
            self.workers, int(FAULTY_WORKER_RATIO * WORKER_COUNT)
        ):
            worker.faulty_since_s, worker.starts_while_faulty = self.now_s, 0
            worker.has_been_quarantined, worker.repaired_s = False, None
            self._schedule(self.now_s + REPAIR_DELAY_S, self._repair, worker)
        self._schedule(self.now_s + 2.0 * REPAIR_DELAY_S, self._break_workers)

    def _repair(self, worker):
        self.result.never_caught += not worker.has_been_quarantined
        worker.faulty_since_s = None
        worker.repaired_s = self.now_s

    def _cancel_jobs(self):
        self._schedule(self.now_s + CANCEL_INTERVAL_S, self._cancel_jobs)
        for job in self.jobs[-100:]:
            if self.rng.random() < CANCEL_RATIO and not job.is_cancelled:
                job.is_cancelled = True
                self.result.cancelled_jobs += 1
        self.pending = deque(item for item in self.pending if not item[0].is_cancelled)

    def _place(self):
        tried = 0
        waiting = deque()
        while self.pending and tried < 30:
            tried += 1
            job, task_id = self.pending.popleft()
            if self.policy.refusal(job.job_id, task_id):
                self._refuse(job, task_id)
                continue
            worker = self._choose_worker(job, task_id)
            if worker is None:
                waiting.append((job, task_id))
            else:
                self._start(job, task_id, worker)
        waiting.extend(self.pending)
        self.pending = waiting

    def _refuse(self, job, task_id):
        self.policy.remove_task(task_id)
        if job.is_failing:
            self.result.refused_bad_tasks += 1
        else:
            self.result.refused_sound_tasks += 1

    def _choose_worker(self, job, task_id):
        if self.policy.wait(job.job_id, task_id):
            return None
        free = [worker for worker in self.workers if worker.running < SLOTS_PER_WORKER]
        free.sort(key=lambda worker: (worker.running, self.outcome_rng.random()))
        for worker in free:
            admission = self.policy.admit(
                worker.worker_id, job.job_id, task_id, worker.running
            )
            if admission.allowed:
                return worker
        return None

    def _start(self, job, task_id, worker):
        self.offset += 1
        worker.running += 1
        worker.starts_while_faulty += worker.faulty_since_s is not None
        self.result.starts += 1
        self.policy.started(self.offset, job.job_id, worker.worker_id)
        is_burst = self.now_s % 3600.0 < 900.0
        if worker.faulty_since_s is not None:
            cause = "failed_on_bad_worker"
        elif job.is_failing:
            cause = "failed_of_bad_job"
        elif self.outcome_rng.random() < (
            BURST_NOISE_RATIO if is_burst else NOISE_RATIO
        ):
            cause = "failed_by_noise"
        else:
            cause = ""
        length_s = job.run_s * self.outcome_rng.uniform(0.7, 1.4)
        if cause:
            length_s = min(
                self.outcome_rng.expovariate(1.0 / MEAN_FAILURE_DELAY_S) + 1.0, length_s
            )
        self._schedule(
            self.now_s + length_s, self._end_run, job, task_id, worker, cause
        )

    def _end_run(self, job, task_id, worker, cause):
        self.offset += 1
        worker.running -= 1
        if job.is_cancelled:
            self.policy.remove_task(task_id)
            self.policy.released(self.offset, job.job_id)
            return
        arguments = (self.offset, job.job_id, task_id, worker.worker_id)
        if not cause:
            self.result.completed += 1
            self.policy.success(*arguments)
            return
        setattr(self.result, cause, getattr(self.result, cause) + 1)
        self.policy.failure(*arguments)
        self.pending.append((job, task_id))

    def _record_standings(self):
        for worker in self.workers:
            held = self.policy.standing(worker.worker_id) is Standing.QUARANTINED
            was_held = worker.worker_id in self.quarantined
            if held and not was_held:
                self._record_quarantine(worker)
            elif was_held and not held:
                self.quarantined.discard(worker.worker_id)
                if worker.faulty_since_s is None and worker.repaired_s is not None:
                    lifted_s = self.now_s - worker.repaired_s
                    self.result.seconds_to_lift.append(lifted_s)
                    worker.repaired_s = None

    def _record_quarantine(self, worker):
        self.quarantined.add(worker.worker_id)
        if worker.faulty_since_s is None:
            self.result.healthy_quarantined += 1
        elif not worker.has_been_quarantined:
            worker.has_been_quarantined = True
            self.result.starts_to_quarantine.append(worker.starts_while_faulty)
            passed_s = self.now_s - worker.faulty_since_s
            self.result.seconds_to_quarantine.append(passed_s)


POLICIES_BY_NAME = {
    "none": AttemptLimit,
    "count threshold": CountThreshold,
    "likelihood": QuarantineState,
}

RESULT_ROWS = (
    "starts",
    "completed",
    "failed_on_bad_worker",
    "failed_of_bad_job",
    "failed_by_noise",
    "refused_bad_tasks",
    "refused_sound_tasks",
    "refused_unfit_jobs",
    "cancelled_jobs",
    "healthy_quarantined",
    "never_caught",
)


def median_and_max(values):
    ordered = sorted(values)
    if not ordered:
        return "-"
    return f"{ordered[len(ordered) // 2]:.0f} / {ordered[-1]:.0f}"


def main(args=None):
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--first-seed", type=int, default=100)
    parser.add_argument("--hours", type=float, default=3.0)
    options = parser.parse_args(args)
    seeds = range(options.first_seed, options.first_seed + options.seeds)
    results_by_name = {
        name: [Cell(policy(), seed).run(options.hours) for seed in seeds]
        for name, policy in POLICIES_BY_NAME.items()
    }
    print(f"{options.seeds} cells of {WORKER_COUNT} workers, {options.hours} h each")
    print(f"{'':32}" + "".join(f"{name:>18}" for name in results_by_name))
    for row in RESULT_ROWS:
        sums = [sum(getattr(r, row) for r in rs) for rs in results_by_name.values()]
        print(f"{row.replace('_', ' '):32}" + "".join(f"{value:18d}" for value in sums))
    for row in ("starts_to_quarantine", "seconds_to_quarantine", "seconds_to_lift"):
        cells = [
            median_and_max([value for r in rs for value in getattr(r, row)])
            for rs in results_by_name.values()
        ]
        label = f"{row.replace('_', ' ')}, p50 / max"
        print(f"{label:32}" + "".join(f"{cell:>18}" for cell in cells))


if __name__ == "__main__":
    main()
