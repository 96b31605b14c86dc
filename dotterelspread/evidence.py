"""What failed and succeeded where: the evidence that blame and quarantine rest on.

Likelihood ratios are products of plain divisions, without logarithms, so that every
reader of a cell's stream computes the same numbers on any machine.
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

#: Runs of a worker that are looked back at.
MAX_WORKER_RUNS = 24

#: Part of the starts that a bad worker is taken to fail.
FAULTY_WORKER_FAILURE_RATE = 0.9

#: Weight of one run in the long and in the short average of a failure rate.
LONG_AVERAGE_WEIGHT = 0.005
SHORT_AVERAGE_WEIGHT = 0.04

#: Bounds of a failure rate, so that neither extreme proves anything by itself.
MIN_FAILURE_RATE = 0.02
MAX_FAILURE_RATE = 0.6


@dataclass(slots=True)
class FailureRate:
    """Part of recent runs that failed, starting from a prior.

    It is the larger of a long and a short average, so that it rises early in a wave
    of noise, when failures prove less.
    """

    long: float
    short: float

    @classmethod
    def from_prior(cls, prior):
        """Return a rate that starts at ``prior``."""
        return cls(prior, prior)

    def add(self, ok):
        """Count one run."""
        failed = 0.0 if ok else 1.0
        self.long += LONG_AVERAGE_WEIGHT * (failed - self.long)
        self.short += SHORT_AVERAGE_WEIGHT * (failed - self.short)

    @property
    def value(self):
        """The rate, 0 to 1."""
        return min(max(self.long, self.short, MIN_FAILURE_RATE), MAX_FAILURE_RATE)


@dataclass(slots=True)
class EndedRunEvidence:
    """One ended run on a worker."""

    job_id: str
    ok: bool
    #: Failure rates of the cell when the run ended.
    noise: float
    first_rate: float


@dataclass(slots=True)
class TaskEvidence:
    """Where a task that has not completed has failed."""

    failed_worker_ids: set[str] = field(default_factory=set)
    #: Offset from which it may be tried again.
    retry_at: int = 0


@dataclass(slots=True)
class JobEvidence:
    """How a job's tasks have ended so far."""

    #: Starts of its tasks that have not been released since.
    starts: int = 0
    #: Starts that have completed or failed.
    ended: int = 0
    #: Workers on which a task of the job completed.
    good_worker_ids: set[str] = field(default_factory=set)
    #: Failures by worker.
    failures_by_worker: dict[str, int] = field(default_factory=dict)
    #: Offset from which a task may be tried again while none has completed.
    retry_at: int = 0
    #: Failures of tasks that were tried one at a time after a gap.
    probation_failures: int = 0

    def succeeded_elsewhere(self, worker_id):
        """Tell whether a task of the job completed on another worker."""
        return any(other != worker_id for other in self.good_worker_ids)

    def failed_elsewhere(self, worker_id, is_trusted):
        """Tell whether the job failed on another worker that is trusted."""
        return any(
            other != worker_id and is_trusted(other)
            for other in self.failures_by_worker
        )

    def failed_workers(self, is_trusted):
        """Return the trusted workers on which it failed, sorted."""
        return sorted(
            worker for worker in self.failures_by_worker if is_trusted(worker)
        )


@dataclass(slots=True)
class WorkerEvidence:
    """How runs on a worker have ended, and whether it is quarantined."""

    #: Its last runs, the latest one last.
    runs: list[EndedRunEvidence] = field(default_factory=list)
    #: Likelihood of its runs if it is bad over that if it is sound.
    ratio: float = 1.0
    #: Offset at which it was quarantined; None when it is not.
    quarantined_at: int | None = None
    #: Offset from which the next probe may start.
    probe_at: int = 0
    #: Offsets between a failed probe and the next one.
    probe_gap: int = 0
    probes_passed: int = 0

    def add_run(self, run):
        """Append a run, dropping the oldest of too many."""
        self.runs.append(run)
        del self.runs[:-MAX_WORKER_RUNS]

    def likelihood_ratio(self, noise, first_rate, classify_failure):
        """Return the likelihood ratio of the recent runs (cumulative sum test).

        Parameters
        ----------
        noise : float
            Failure rate of jobs that have completed somewhere, on trusted workers.
        first_rate : float
            Failure rate of jobs that have not completed yet.
        judge : callable
            Gives ``acquitted``, ``unknown`` or ``blamed`` for a job's id.
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
    """Return a bound on the chance that ``failed`` of the starts fail by noise."""
    probability = 1.0
    for index in range(failed):
        probability *= rate * (starts - index) / (index + 1)
    return probability
