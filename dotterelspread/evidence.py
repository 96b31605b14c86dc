"""Outcomes of runs by job, task and worker, from which faults are attributed.

Likelihood ratios use only multiplication and division, not logarithms, because every
reader of a cell's stream must compute the same numbers on any machine.
"""

from dataclasses import dataclass, field

__all__ = [
    "EndedRunEvidence",
    "FailureRate",
    "JobEvidence",
    "TaskEvidence",
    "WorkerEvidence",
    "failure_probability_bound",
]

#: Most recent runs of a worker that count as evidence.
MAX_WORKER_RUNS = 24

#: Fraction of its runs that a faulty worker is assumed to fail.
FAULTY_WORKER_FAILURE_RATE = 0.9

#: Weight of one run in the slow and in the fast exponential average of a failure rate.
LONG_AVERAGE_WEIGHT = 0.005
SHORT_AVERAGE_WEIGHT = 0.04

#: Bounds of a failure rate, so that a single run is never conclusive evidence.
MIN_FAILURE_RATE = 0.02
MAX_FAILURE_RATE = 0.6


@dataclass(slots=True)
class FailureRate:
    """Fraction of recent runs that failed, initialised with a prior.

    The rate is the larger of a slow and a fast exponential average, so that it rises
    quickly in a burst of unrelated failures, when a single failure proves less.
    """

    long: float
    short: float

    @classmethod
    def from_prior(cls, prior):
        """Return a rate that starts at ``prior``."""
        return cls(prior, prior)

    def add(self, ok):
        """Add the outcome of one run."""
        failed = 0.0 if ok else 1.0
        self.long += LONG_AVERAGE_WEIGHT * (failed - self.long)
        self.short += SHORT_AVERAGE_WEIGHT * (failed - self.short)

    @property
    def value(self):
        """The failure rate, within its bounds."""
        return min(max(self.long, self.short, MIN_FAILURE_RATE), MAX_FAILURE_RATE)


@dataclass(slots=True)
class EndedRunEvidence:
    """Outcome of one run on a worker."""

    job_id: str
    ok: bool
    #: Failure rates of the cell when the run ended, as in `JobTableState`.
    noise: float
    first_rate: float


@dataclass(slots=True)
class TaskEvidence:
    """Failures of a task that has not completed."""

    failed_worker_ids: set[str] = field(default_factory=set)
    #: Offset from which the task may be retried.
    retry_at: int = 0


@dataclass(slots=True)
class JobEvidence:
    """Outcomes of a job's tasks so far."""

    #: Starts of the job's tasks, less those that were released.
    starts: int = 0
    #: Starts that have completed or failed.
    ended: int = 0
    #: Workers on which a task of the job completed.
    good_worker_ids: set[str] = field(default_factory=set)
    #: Number of failures by worker.
    failures_by_worker: dict[str, int] = field(default_factory=dict)
    #: Offset from which a task may be retried while none has completed.
    retry_at: int = 0
    #: Failures of tasks that ran alone after the retry gap.
    probation_failures: int = 0

    def succeeded_elsewhere(self, worker_id):
        """Return whether the job completed a task on a worker other than this one."""
        return any(other != worker_id for other in self.good_worker_ids)

    def failed_elsewhere(self, worker_id, is_trusted):
        """Return whether the job failed on a trusted worker other than this one."""
        return any(
            other != worker_id and is_trusted(other)
            for other in self.failures_by_worker
        )

    def failed_workers(self, is_trusted):
        """Return the trusted workers on which the job failed, sorted."""
        return sorted(
            worker for worker in self.failures_by_worker if is_trusted(worker)
        )


@dataclass(slots=True)
class WorkerEvidence:
    """Outcomes of runs on a worker, and the state of its quarantine."""

    #: Most recent runs, the latest last.
    runs: list[EndedRunEvidence] = field(default_factory=list)
    #: Likelihood of the runs if the worker is faulty, divided by that if it is healthy.
    ratio: float = 1.0
    #: Offset at which the worker was quarantined; None if it is not quarantined.
    quarantined_at: int | None = None
    #: Offset from which the next probe may start.
    probe_at: int = 0
    #: Number of offsets between a failed probe and the next one.
    probe_gap: int = 0
    #: Consecutive probes that have completed.
    probes_passed: int = 0

    def add_run(self, run):
        """Append a run and drop the oldest beyond the window."""
        self.runs.append(run)
        del self.runs[:-MAX_WORKER_RUNS]

    def likelihood_ratio(self, noise, first_rate, classify_failure):
        """Return the likelihood ratio of the recent runs (CUSUM test).

        Of each job only the first failure counts, and none of a job that is at fault
        itself.

        Parameters
        ----------
        noise : float
            Failure rate of jobs that have completed a task, on trusted workers.
        first_rate : float
            Failure rate of jobs that have not completed a task yet.
        classify_failure : callable
            Returns ``acquitted``, ``unknown`` or ``blamed`` for a job id, as
            `JobTable.classify_failure` does.
        """
        ratio, counted_job_ids = 1.0, set()
        for run in self.runs:
            if run.ok:
                ratio = max(
                    1.0, ratio * (1.0 - FAULTY_WORKER_FAILURE_RATE) / (1.0 - noise)
                )
                continue
            verdict = classify_failure(run.job_id)
            if verdict == "blamed" or run.job_id in counted_job_ids:
                continue
            counted_job_ids.add(run.job_id)
            if verdict == "acquitted":
                rate = max(noise, run.noise)
            else:
                rate = max(first_rate, run.first_rate)
            ratio = max(1.0, ratio * FAULTY_WORKER_FAILURE_RATE / rate)
        return ratio


def failure_probability_bound(starts, failed, rate):
    """Return an upper bound on the probability that ``failed`` starts or more fail.

    The starts are assumed to fail independently with probability ``rate``.
    """
    probability = 1.0
    for index in range(failed):
        probability *= rate * (starts - index) / (index + 1)
    return probability
