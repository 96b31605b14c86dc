"""Telling bad jobs from bad workers, and quarantine of the workers, for one cell.

All decisions are a pure function of the ends of tasks in the cell's stream, in the
order of their offsets, so that every member of the cell computes the same. Offsets
serve as the clock for probes.
"""

import enum
from collections import OrderedDict
from dataclasses import dataclass

from .evidence import FailureRate, JobEvidence, Run, WorkerEvidence, chance_of_failures

__all__ = ["Admission", "QuarantineState", "Standing"]

#: Largest part of a cell's workers in quarantine at a time; at least one may be.
MAX_QUARANTINED_SHARE = 0.2

#: Likelihood ratio at which a worker gets one task at a time.
SUSPECT_RATIO = 50.0

#: Likelihood ratio at which a worker is quarantined.
QUARANTINE_RATIO = 1e4

#: Distinct jobs that must have failed on a worker before it is quarantined.
MIN_FAILED_JOBS = 3

#: Chance of its failures by noise below which a job or task is refused.
REFUSAL_CHANCE = 2e-4

#: Distinct trusted workers on which a job or task must have failed to be refused.
MIN_FAILED_WORKERS = 3

#: Probes in a row that must complete for quarantine to be lifted.
PROBES_TO_LIFT = 3

#: Offsets between a failed probe and the next: the first gap, and the longest.
PROBE_GAP_OFFSETS = 100
MAX_PROBE_GAP_OFFSETS = 1600

#: Jobs whose evidence is kept.
MAX_JOBS = 2000

#: Tasks whose failures are kept.
MAX_TASKS = 10000


class Standing(enum.StrEnum):
    """What a worker may be given."""

    OPEN = "open"
    #: One task at a time, until more is known.
    SUSPECT = "suspect"
    #: Probes only.
    QUARANTINED = "quarantined"


@dataclass(slots=True, frozen=True)
class Admission:
    """Whether a task may start on a worker, and why."""

    allowed: bool
    is_probe: bool
    reason: str


class QuarantineState:
    """Evidence about the jobs and workers of one cell as of an offset.

    Use one beside the state of each cell that a process reads. Cancelled and refused
    tasks count for nobody and are not reported to it.
    """

    __slots__ = (
        "_first_rate",
        "_jobs_by_id",
        "_noise",
        "_offset",
        "_tasks_by_id",
        "_workers_by_id",
    )

    def __init__(self):
        self._offset = -1
        self._jobs_by_id = OrderedDict()
        #: Workers on which a task that has not completed failed, by task.
        self._tasks_by_id = OrderedDict()
        self._workers_by_id = {}
        self._noise = FailureRate(1.0, 20.0)
        self._first_rate = FailureRate(4.0, 20.0)

    def saw_worker(self, worker_id):
        """Count a worker as a member of the cell."""
        if worker_id not in self._workers_by_id:
            self._workers_by_id[worker_id] = WorkerEvidence()

    def forget_worker(self, worker_id):
        """Drop a worker that has left the cell."""
        self._workers_by_id.pop(worker_id, None)

    def forget_task(self, task_id):
        """Drop a task that has ended for good."""
        self._tasks_by_id.pop(task_id, None)

    def started(self, offset, job_id, worker_id):
        """Count the start of a task of a job on a worker."""
        self._offset = offset
        self.saw_worker(worker_id)
        self._job(job_id).starts += 1

    def success(self, offset, job_id, task_id, worker_id):
        """Take the completion of a task on a worker."""
        self._offset = offset
        self.saw_worker(worker_id)
        job = self._job(job_id)
        self._count(job, worker_id, ok=True)
        is_first = not job.good_worker_ids
        job.good_worker_ids.add(worker_id)
        self._tasks_by_id.pop(task_id, None)
        self._end_run(job_id, worker_id, ok=True)
        if is_first:
            for other in list(job.failures_by_worker):
                self._judge_worker(other)

    def failure(self, offset, job_id, task_id, worker_id):
        """Take the failure of a task on a worker."""
        self._offset = offset
        self.saw_worker(worker_id)
        job = self._job(job_id)
        self._count(job, worker_id, ok=False)
        failures = job.failures_by_worker
        failures[worker_id] = failures.get(worker_id, 0) + 1
        self._tasks_by_id.setdefault(task_id, set()).add(worker_id)
        self._tasks_by_id.move_to_end(task_id)
        if len(self._tasks_by_id) > MAX_TASKS:
            self._tasks_by_id.popitem(last=False)
        self._end_run(job_id, worker_id, ok=False)

    def standing(self, worker_id):
        """Return the `Standing` of a worker."""
        worker = self._workers_by_id.get(worker_id)
        if worker is None or self._is_trusted(worker_id):
            return Standing.OPEN
        if worker.quarantined_at is not None:
            return Standing.QUARANTINED
        return Standing.SUSPECT

    def quarantined_ids(self):
        """Return the ids of the workers in quarantine, sorted."""
        return sorted(
            worker_id
            for worker_id, worker in self._workers_by_id.items()
            if worker.quarantined_at is not None
        )

    def refusal(self, job_id, task_id):
        """Return why a task should be refused for good, or None.

        A job that has completed nowhere is judged by the failures of all its tasks,
        other jobs task by task.
        """
        job = self._jobs_by_id.get(job_id)
        if job is None:
            return None
        if self._is_job_blamed(job):
            workers = sorted(filter(self._is_trusted, job.failures_by_worker))
            return f"job {job_id} failed on {', '.join(workers)} and completed nowhere"
        failed = sorted(filter(self._is_trusted, self._tasks_by_id.get(task_id, ())))
        chance = chance_of_failures(len(failed), len(failed), self._noise.value)
        if len(failed) >= MIN_FAILED_WORKERS and chance < REFUSAL_CHANCE:
            return f"task {task_id} failed on {', '.join(failed)}"
        return None

    def admit(self, worker_id, job_id, task_id, running):
        """Decide whether a task may start on a worker.

        Parameters
        ----------
        worker_id, job_id, task_id : str
        running : int
            Tasks that the worker runs now.

        Returns
        -------
        admission : Admission
        """
        if worker_id in self._avoided(task_id):
            return Admission(False, False, f"{task_id} failed on {worker_id} before")
        standing = self.standing(worker_id)
        if standing is Standing.OPEN:
            return Admission(True, False, f"{worker_id} is open")
        if running > 0:
            return Admission(False, False, f"{worker_id} is {standing}: one at a time")
        if standing is Standing.SUSPECT:
            return Admission(True, False, f"{worker_id} is suspect")
        worker = self._workers_by_id[worker_id]
        if self._offset < worker.probe_at:
            detail = f"next probe from offset {worker.probe_at}"
            return Admission(False, False, f"{worker_id} is quarantined; {detail}")
        if self._judge_job(job_id, worker_id) == "blamed":
            return Admission(False, False, f"{job_id} may be at fault itself: no probe")
        return Admission(True, True, f"probe of {worker_id}")

    def _avoided(self, task_id):
        """Return the workers a task failed on, while there are others to try."""
        failed = self._tasks_by_id.get(task_id, ())
        usable = len(self._workers_by_id) - len(self.quarantined_ids())
        return failed if len(failed) < usable else ()

    def _job(self, job_id):
        job = self._jobs_by_id.setdefault(job_id, JobEvidence())
        self._jobs_by_id.move_to_end(job_id)
        if len(self._jobs_by_id) > MAX_JOBS:
            self._jobs_by_id.popitem(last=False)
        return job

    def _is_trusted(self, worker_id):
        worker = self._workers_by_id.get(worker_id)
        if worker is None:
            return True
        return worker.quarantined_at is None and worker.ratio < SUSPECT_RATIO

    def _is_job_blamed(self, job):
        failed = sum(1 for worker in job.failures_by_worker if self._is_trusted(worker))
        if failed < MIN_FAILED_WORKERS:
            return False
        chance = job.chance_of_noise(self._noise.value, self._is_trusted)
        return chance < REFUSAL_CHANCE

    def _count(self, job, worker_id, ok):
        """Count a run on a trusted worker in the rate of its kind of job."""
        if not self._is_trusted(worker_id) or self._is_job_blamed(job):
            return
        rate = self._noise if job.good_worker_ids else self._first_rate
        rate.add(ok)

    def _end_run(self, job_id, worker_id, ok):
        worker = self._workers_by_id[worker_id]
        worker.runs.append(Run(job_id, ok))
        if worker.quarantined_at is None:
            self._judge_worker(worker_id)
        elif ok:
            self._pass_probe(worker)
        elif self._judge_job(job_id, worker_id) != "blamed":
            self._fail_probe(worker)

    def _pass_probe(self, worker):
        worker.probes_passed += 1
        if worker.probes_passed >= PROBES_TO_LIFT:
            worker.quarantined_at = None
            worker.ratio = 1.0
            worker.runs.clear()

    def _fail_probe(self, worker):
        worker.probes_passed = 0
        worker.probe_gap = min(2 * worker.probe_gap, MAX_PROBE_GAP_OFFSETS)
        worker.probe_at = self._offset + worker.probe_gap

    def _judge_job(self, job_id, worker_id):
        """Return a job's standing as evidence against one worker."""
        job = self._jobs_by_id.get(job_id)
        if job is None:
            return "blamed"
        if job.succeeded_elsewhere(worker_id):
            return "acquitted"
        if job.failed_elsewhere(worker_id, self._is_trusted):
            return "blamed"
        return "unknown"

    def _judge_worker(self, worker_id):
        worker = self._workers_by_id.get(worker_id)
        if worker is None or worker.quarantined_at is not None:
            return
        worker.ratio = worker.weigh(
            self._noise.value,
            self._first_rate.value,
            lambda job_id: self._judge_job(job_id, worker_id),
        )
        failed = {run.job_id for run in worker.runs if not run.ok}
        enough = len(failed) >= MIN_FAILED_JOBS and worker.ratio >= QUARANTINE_RATIO
        if enough and self._has_quarantine_room():
            worker.quarantined_at = self._offset
            worker.probes_passed = 0
            worker.probe_gap = PROBE_GAP_OFFSETS
            worker.probe_at = self._offset + PROBE_GAP_OFFSETS

    def _has_quarantine_room(self):
        most = max(1, int(MAX_QUARANTINED_SHARE * len(self._workers_by_id)))
        return len(self.quarantined_ids()) < most
