"""Finds the jobs and tasks of one cell that fail through a fault of their own.

A failure counts only if the worker is trusted. A job of which no task has completed is
put on probation once it has failed on a second worker: its tasks are tried one at a
time, with growing gaps.
"""

from collections import OrderedDict
from dataclasses import dataclass

from .evidence import FailureRate, JobEvidence, TaskEvidence, failure_probability_bound

__all__ = ["JobTable", "JobTableState"]

#: A job or task is refused if so many failures would occur by chance with a probability
#: below this.
MAX_NOISE_PROBABILITY = 2e-4

#: Distinct trusted workers on which a job or task must fail before it is refused.
MIN_FAILED_WORKERS = 3

#: Distinct trusted workers on which a job must fail before it goes on probation.
MIN_PROBATION_WORKERS = 2

#: Failures on probation before a job of which no task has completed is refused.
MIN_PROBATION_FAILURES = 2

#: Offsets between the failure on a second worker and the next retry, and their limit.
#: The gap doubles with each further worker.
MIN_RETRY_GAP_OFFSETS = 100
MAX_RETRY_GAP_OFFSETS = 800

#: Initial failure rates: of jobs that have completed a task, and of all other jobs.
NOISE_PRIOR = 0.05
FIRST_RATE_PRIOR = 0.2

#: Number of jobs and of failed tasks whose evidence is kept.
MAX_JOBS = 1000
MAX_TASKS = 2000


@dataclass(slots=True)
class JobTableState:
    """Snapshot of a `JobTable`, the least recently used entries first."""

    jobs: list[tuple[str, JobEvidence]]
    tasks: list[tuple[str, TaskEvidence]]
    noise: FailureRate
    first_rate: FailureRate


class JobTable:
    """Evidence about the jobs and failed tasks of a cell.

    Parameters
    ----------
    is_trusted : callable
        Returns whether failures on a worker, given by its id, count against jobs.
    """

    __slots__ = ("_is_trusted", "_jobs_by_id", "_tasks_by_id", "first_rate", "noise")

    def __init__(self, is_trusted):
        self._is_trusted = is_trusted
        self._jobs_by_id = OrderedDict()
        self._tasks_by_id = OrderedDict()
        #: Failure rate of jobs that have completed a task already.
        self.noise = FailureRate.from_prior(NOISE_PRIOR)
        #: Failure rate of jobs that have not completed a task yet.
        self.first_rate = FailureRate.from_prior(FIRST_RATE_PRIOR)

    def to_state(self):
        """Return the table as a snapshot."""
        jobs, tasks = list(self._jobs_by_id.items()), list(self._tasks_by_id.items())
        return JobTableState(jobs, tasks, self.noise, self.first_rate)

    def restore(self, state):
        """Replace the table's content by that of a snapshot."""
        self._jobs_by_id = OrderedDict(state.jobs)
        self._tasks_by_id = OrderedDict(state.tasks)
        self.noise, self.first_rate = state.noise, state.first_rate

    def started(self, job_id):
        """Record the start of a task."""
        self._job(job_id).starts += 1

    def released(self, job_id):
        """Undo a start that ended without completing or failing."""
        job = self._job(job_id)
        job.starts = max(job.starts - 1, job.ended)

    def success(self, job_id, task_id, worker_id):
        """Record a completion; return the workers to be evaluated again.

        The first completion of a job shows that its earlier failures were not its own
        fault, so they count against the workers on which they occurred.
        """
        job = self._job(job_id)
        job.ended += 1
        is_first = not job.good_worker_ids
        job.good_worker_ids.add(worker_id)
        self._tasks_by_id.pop(task_id, None)
        if self._is_trusted(worker_id):
            self.noise.add(ok=True)
            if is_first:
                self.first_rate.add(ok=True)
        if not is_first:
            return []
        for failed_id in job.failed_workers(self._is_trusted):
            for _ in range(job.failures_by_worker[failed_id]):
                self.noise.add(ok=False)
        return sorted(job.failures_by_worker)

    def failure(self, offset, job_id, task_id, worker_id):
        """Record a failure and set when the job and the task may be retried."""
        job = self._job(job_id)
        is_only_running = job.starts <= job.ended + 1
        job.ended += 1
        if (
            is_only_running
            and 0 < job.retry_at <= offset
            and self._is_trusted(worker_id)
        ):
            job.probation_failures += 1
        if self._is_trusted(worker_id) and not self._is_at_fault(job):
            rate = self.noise if job.good_worker_ids else self.first_rate
            rate.add(ok=False)
        failures = job.failures_by_worker
        failures[worker_id] = failures.get(worker_id, 0) + 1
        gap = retry_gap(len(job.failed_workers(self._is_trusted)))
        job.retry_at = offset + gap if gap else 0
        task = self._task(task_id)
        task.failed_worker_ids.add(worker_id)
        failed = sum(map(self._is_trusted, task.failed_worker_ids))
        task.retry_at = offset + retry_gap(failed)

    def remove_task(self, task_id):
        """Remove the evidence of a task that has ended and is not retried."""
        self._tasks_by_id.pop(task_id, None)

    def failed_worker_ids(self, task_id):
        """Return the workers on which a task has failed."""
        task = self._tasks_by_id.get(task_id)
        return task.failed_worker_ids if task else ()

    def classify_failure(self, job_id, worker_id):
        """Return whether the worker or the job is at fault for a failure of the job.

        Returns
        -------
        verdict : str
            ``acquitted`` if the job completed a task on another worker, ``blamed`` if
            it failed on another trusted worker or is not in the table, and ``unknown``
            otherwise.
        """
        job = self._jobs_by_id.get(job_id)
        if job is None:
            return "blamed"
        if job.succeeded_elsewhere(worker_id):
            return "acquitted"
        if job.failed_elsewhere(worker_id, self._is_trusted):
            return "blamed"
        return "unknown"

    def is_possibly_faulty(self, job_id):
        """Return whether a job failed on a trusted worker and has never completed."""
        job = self._jobs_by_id.get(job_id)
        if job is None or job.good_worker_ids:
            return False
        return bool(job.failed_workers(self._is_trusted))

    def refusal(self, job_id, task_id):
        """Return why a task should be refused permanently, or None.

        For a job of which no task has completed, the failures of all its tasks count;
        for other jobs, only those of the task itself.
        """
        job = self._jobs_by_id.get(job_id)
        if job is None:
            return None
        if self._is_at_fault(job):
            workers = ", ".join(job.failed_workers(self._is_trusted))
            return f"job {job_id} failed on {workers} and has completed on no worker"
        failed = sorted(filter(self._is_trusted, self.failed_worker_ids(task_id)))
        probability = failure_probability_bound(
            len(failed), len(failed), self.noise.value
        )
        if len(failed) >= MIN_FAILED_WORKERS and probability < MAX_NOISE_PROBABILITY:
            return f"task {task_id} failed on {', '.join(failed)}"
        return None

    def wait(self, offset, job_id, task_id):
        """Return why a task should not start at this offset, or None."""
        task = self._tasks_by_id.get(task_id)
        if task is not None and offset < task.retry_at:
            return f"{task_id} may be retried from offset {task.retry_at}"
        job = self._jobs_by_id.get(job_id)
        if job is None or job.good_worker_ids:
            return None
        if len(job.failed_workers(self._is_trusted)) < MIN_PROBATION_WORKERS:
            return None
        if job.starts > job.ended:
            return f"{job_id} has failed before: limited to one task at a time"
        if offset < job.retry_at:
            return f"{job_id} may be retried from offset {job.retry_at}"
        return None

    def _job(self, job_id):
        job = self._jobs_by_id.setdefault(job_id, JobEvidence())
        self._jobs_by_id.move_to_end(job_id)
        if len(self._jobs_by_id) > MAX_JOBS:
            self._jobs_by_id.popitem(last=False)
        return job

    def _task(self, task_id):
        task = self._tasks_by_id.setdefault(task_id, TaskEvidence())
        self._tasks_by_id.move_to_end(task_id)
        if len(self._tasks_by_id) > MAX_TASKS:
            self._tasks_by_id.popitem(last=False)
        return task

    def _is_at_fault(self, job):
        """Return whether a job never completed and failed too often for chance."""
        failed = len(job.failed_workers(self._is_trusted))
        if job.good_worker_ids or failed < MIN_FAILED_WORKERS:
            return False
        if job.probation_failures < MIN_PROBATION_FAILURES:
            return False
        starts = max(job.starts, failed)
        probability = failure_probability_bound(starts, failed, self.noise.value)
        return probability < MAX_NOISE_PROBABILITY


def retry_gap(failed):
    """Return how many offsets to wait after failures on ``failed`` trusted workers."""
    if failed < MIN_PROBATION_WORKERS:
        return 0
    gap = MIN_RETRY_GAP_OFFSETS * 2 ** (failed - MIN_PROBATION_WORKERS)
    return min(gap, MAX_RETRY_GAP_OFFSETS)
