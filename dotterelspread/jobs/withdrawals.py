"""Starts that are withdrawn while their order is on its way to a worker.

An end that completes a task forbids its other run. An order to start that run may be
with an agent, which may be paused or cut off, so that no stop reaches it. The end is
not acknowledged and its job not shown as complete before the start is ruled out: by the
answer of the agent, by a stop that the worker has confirmed, or by the time up to which
an agent passes an order on.
"""

from dataclasses import dataclass

from .leaseend import MAX_CLOCK_DRIFT_RATIO
from .reportedeffects import StartWithdrawn
from .spec import TaskKey
from .taskrun import TaskRun

__all__ = [
    "MAX_ORDER_AGE_S",
    "START_VALIDITY_S",
    "Withdrawal",
    "settle_withdrawals",
    "withdraw_start",
]

#: Time from when a start is ordered in which its agent may send it to the worker.
START_VALIDITY_S = 2.0
#: The same on the clock of the leader, if that of the agent is slow.
MAX_ORDER_AGE_S = START_VALIDITY_S * MAX_CLOCK_DRIFT_RATIO


@dataclass(slots=True, frozen=True)
class Withdrawal:
    """A run of a completed task whose start may still be carried out."""

    key: TaskKey
    run: TaskRun
    #: Leader's clock by which no agent passes on an order for it any more.
    until_s: float

    def is_over(self, now_s):
        """Tell whether the run is certain not to start any more."""
        return now_s >= self.until_s or not self.run.may_yet_start(now_s)


def withdraw_start(cell, job, run, worker, now_s):
    """Have an end wait for the start of a run that it forbids; return the effects."""
    if not run.may_yet_start(now_s):
        return []
    until_s = now_s + MAX_ORDER_AGE_S
    job.withdrawals.append(Withdrawal(run.key, run, until_s))
    cell.withdrawing_job_ids.add(job.job_id)
    return [StartWithdrawn(job.task_id(run.key), run.run, worker.worker_id)]


def settle_withdrawals(cell, now_s):
    """Drop the withdrawals that are over; a complete job without any is shown so."""
    for job_id in list(cell.withdrawing_job_ids):
        job = cell.jobs_by_id.get(job_id)
        if job is not None:
            job.withdrawals = [w for w in job.withdrawals if not w.is_over(now_s)]
            if job.withdrawals:
                continue
            cell.dirty_job_ids.add(job_id)
        cell.withdrawing_job_ids.discard(job_id)
