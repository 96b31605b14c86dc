"""Decides whether a worker on which runs went wrong gets no batch tasks for a while.

Runs fail or stall because of their worker or of their job. A job that fails on many
workers says nothing about any of them, and some workers must take batch tasks even if
all of them seem to be at fault.
"""

__all__ = [
    "FAILING_WORKER_COOLDOWN_S",
    "MAX_FAULTY_WORKERS",
    "RECENT_FAILURE_S",
    "STALLED_WORKER_COOLDOWN_S",
    "is_job_at_fault",
    "is_worker_at_fault",
    "may_cool_down",
]

#: Number of different jobs that must fail on a worker, with no completion between,
#: before it enters cooldown.
MIN_FAILED_JOBS = 2
#: Time for which a worker on which several jobs failed in a row is in cooldown.
#: Failures during that time do not extend it, so that batch tasks show after it whether
#: the worker still fails.
FAILING_WORKER_COOLDOWN_S = 4.0
#: Time for which a worker on which a run stalled is in cooldown.
STALLED_WORKER_COOLDOWN_S = 3.0
#: Largest ratio of a service's workers that are in cooldown at a time.
MAX_COOLING_RATIO = 0.5
#: Number and ratio of a service's workers up to which they, and not the job, may be the
#: cause if a job fails on all of them.
MAX_FAULTY_WORKERS = 3
MAX_FAULTY_RATIO = 1 / 3
#: Time for which a failure of a job on a worker counts as recent.
RECENT_FAILURE_S = 10.0


def is_job_at_fault(failed_worker_count, worker_count):
    """Tell whether a job fails by itself, by the number of workers on which it failed.

    Parameters
    ----------
    failed_worker_count : int
        Workers on which it failed recently, with no completion of it between.
    worker_count : int
        Workers of its service that may be assigned tasks.
    """
    limit = max(MAX_FAULTY_WORKERS, int(MAX_FAULTY_RATIO * worker_count))
    return failed_worker_count > limit


def is_worker_at_fault(failed_job_count):
    """Tell whether a worker fails by itself, by the number of jobs that failed on it.

    Parameters
    ----------
    failed_job_count : int
        Jobs that failed there since a task last completed there, without those that
        are at fault themselves.
    """
    return failed_job_count >= MIN_FAILED_JOBS


def may_cool_down(cooling_count, worker_count):
    """Tell whether one more worker of a service may enter cooldown."""
    return cooling_count < int(MAX_COOLING_RATIO * worker_count)
