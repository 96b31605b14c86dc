"""Logs and counts the effects of the cell that only report a decision."""

from functools import singledispatch

from ..counters import counters
from ..decisionlog import log_decision
from . import clock
from .reportedeffects import (
    ReservationsMade,
    StartWithdrawn,
    TaskGivenUp,
    WorkerCrashed,
    WorkerGivenUp,
    WorkerReturned,
)

__all__ = ["log_effect"]

#: Largest number of task ids in one log line.
MAX_LOGGED_TASKS = 20


@singledispatch
def log_effect(effect, epoch):
    """Log an effect of the term with this epoch."""
    raise TypeError(f"no handler for effect {type(effect).__name__} of epoch {epoch}")


@log_effect.register
def _(effect: WorkerGivenUp, epoch):
    counters.add("workers_given_up")
    worker = effect.worker
    log_decision(
        "worker given up",
        worker_id=worker.worker_id,
        born_ms=worker.born_ms,
        agent=worker.agent_address,
        epoch=epoch,
        silent_s=round(clock.now_s() - worker.unreachable_since_s, 3),
        lease_over_s=round(clock.now_s() - worker.lease_end_s, 3),
        runs=len(effect.task_ids),
        task_ids=effect.task_ids[:MAX_LOGGED_TASKS],
    )


@log_effect.register
def _(effect: WorkerReturned, epoch):
    del epoch
    log_decision(
        "worker has not crashed",
        worker_id=effect.worker_id,
        agent=effect.agent_address,
        runs=effect.runs,
    )


@log_effect.register
def _(effect: WorkerCrashed, epoch):
    del epoch
    counters.add("worker_crashes")
    log_decision(
        "worker crashed",
        worker_id=effect.worker_id,
        agent=effect.agent_address,
        suspects=effect.suspects[:MAX_LOGGED_TASKS],
        others=effect.others,
    )


@log_effect.register
def _(effect: TaskGivenUp, epoch):
    del epoch
    counters.add("tasks_given_up")
    log_decision(
        "task given up",
        task_id=effect.task_id,
        worker_id=effect.worker_id,
        early_crashes=effect.early_crashes,
        crashes=effect.crashes,
    )


@log_effect.register
def _(effect: StartWithdrawn, epoch):
    counters.add("starts_withdrawn")
    log_decision(
        "start withdrawn",
        task_id=effect.task_id,
        run=effect.run,
        worker_id=effect.worker_id,
        epoch=epoch,
    )


@log_effect.register
def _(effect: ReservationsMade, epoch):
    del epoch
    if effect.backfills:
        counters.add("backfills", effect.backfills)
    for job_id, (occurrence, number), start_in_s in effect.made:
        counters.add("reservations")
        log_decision(
            "reservation made",
            job_id=job_id,
            step=f"{occurrence}.{number}",
            start_in_s=start_in_s,
        )
