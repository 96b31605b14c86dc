"""Handlers of ticks and order replies: retries, lost workers, due occurrences."""

from ..reducer import reduce
from .cell import AppendDone, CellTick, DropJob, OrderSettled
from .crashes import has_crashed, remove_crashed_worker
from .incarnations import release_run, remove_worker
from .leasesuspension import suspend_if_silent
from .lifecycle import (
    is_suitable,
    note_begun,
    release_occurrence,
    start_effect,
    stop_run,
)
from .permits import drop_permit
from .placement.placing import place, place_now
from .placement.stragglers import move_stragglers
from .refusals import note_refusal
from .reportedeffects import WorkerGivenUp
from .restartedworkers import forget_removed_workers
from .silentlosses import keep_silent_loss
from .taskrun import RunStopReason
from .withdrawals import MAX_ORDER_AGE_S, settle_withdrawals
from .worker import MAX_AWAITED_STARTS

__all__ = []

#: Interval at which an order is retried until it takes effect.
ORDER_RETRY_INTERVAL_S = 0.5
#: Time from the start of placement in a term for which adopted runs in an evacuated
#: data centre are not stopped: by then the reports list what an earlier leader had
#: started, since lists are refreshed after 0.5 s and reported after 0.7 s.
ADOPTED_LISTING_DELAY_S = 1.5


@reduce.register
def _(event: OrderSettled, cell):
    worker = cell.workers_by_id.get(event.worker_id)
    if worker is None or worker.born_ms != event.born_ms:
        return []
    run = worker.runs_by_task.get(event.task_id)
    if run is None or run.run != event.run:
        return []
    _note_settled(run, event)
    was_unsent = run.is_unsent or not run.is_repeat
    run.is_unsent = event.result == "unsent" and was_unsent
    run.is_carried_over &= event.result == "unsent"
    run.is_repeat = True
    run.last_order_s = event.now_s
    job = cell.jobs_by_id.get(run.job_id)
    has_begun = _shows_begin(run, event)
    if has_begun:
        note_begun(cell, job)
    if event.result == "refused":
        release_run(cell, worker, event.task_id)
        drop_permit(cell, run, worker)
        note_refusal(job, worker, run, event.refusal, event.now_s)
    elif run.is_unsent and (worker.is_evacuated or run.is_stop_requested):
        # No order has reached the worker, so nothing needs to be stopped there.
        release_run(cell, worker, event.task_id)
    elif event.result == "confirmed":
        worker.confirm(run)
        # The first answer counts: retried stops would outrun the listings.
        run.last_answer_ms = run.last_answer_ms or event.clock_ms
        if has_begun and not run.is_stop_requested:
            run.confirmed_ms = run.confirmed_ms or event.clock_ms
        worker.alive_ms = max(worker.alive_ms, event.clock_ms)
    settle_withdrawals(cell, event.now_s)
    return place(cell, event.now_s)


def _shows_begin(run, event):
    """Tell whether the outcome of an order shows that the worker has begun the run.

    A start is also confirmed if it is certain that the worker will not begin it.
    """
    if event.is_stop or event.result != "confirmed":
        return False
    if event.has_begun is None:
        return not run.is_stop_requested
    return event.has_begun


def _note_settled(run, event):
    """Record what the outcome of an order says of later starts of the run."""
    if event.is_stop:
        run.is_stop_in_flight = False
        run.is_stop_confirmed |= event.result in ("confirmed", "gone")
        return
    run.is_start_in_flight = False
    if event.result == "unknown" and not event.clock_ms:
        # The order may have reached the agent, and may still be with it.
        run.lost_start_until_s = event.now_s + MAX_ORDER_AGE_S


@reduce.register
def _(event: AppendDone, cell):
    return place_now(cell, event.now_s) if cell.is_placing_due else []


@reduce.register
def _(event: CellTick, cell):
    effects = []
    for worker in list(cell.workers_by_id.values()):
        is_lost = event.now_s > worker.lease_end_s and not worker.is_reachable
        if is_lost and not worker.awaits_ends:
            effects.append(WorkerGivenUp(worker, tuple(worker.runs_by_task)))
            effects.extend(_remove_lost_worker(cell, worker, event))
            continue
        suspend_if_silent(cell, worker, event.now_s)
        effects.extend(_retry_orders(cell, worker, event.now_s))
    forget_removed_workers(cell, event.now_s)
    settle_withdrawals(cell, event.now_s)
    effects.extend(move_stragglers(cell, event.now_s))
    _release_scheduled(cell, event.wall_ms)
    effects.extend(_drop_finished(cell, event.wall_ms))
    return effects + place(cell, event.now_s)


def _remove_lost_worker(cell, worker, event):
    """Remove a worker that has been unreachable until all its leases expired."""
    if worker.has_reported and has_crashed(worker):
        if worker.is_gone:
            return remove_crashed_worker(cell, worker, worker.worker_id, event)
        keep_silent_loss(cell, worker)
    remove_worker(cell, worker, event.now_s)
    return []


def _retry_orders(cell, worker, now_s):
    if not worker.is_reachable:
        return []
    effects = []
    in_flight = sum(run.is_order_in_flight for run in worker.runs_by_task.values())
    retries = max(0, MAX_AWAITED_STARTS - in_flight)
    for task_id, run in worker.runs_by_task.items():
        # A stop does not wait for the reply to a start.
        is_waiting = run.is_stop_in_flight or (
            run.is_start_in_flight and not run.is_stop_requested
        )
        if is_waiting or now_s - run.last_order_s < ORDER_RETRY_INTERVAL_S:
            continue
        if run.is_stop_requested:
            effects.extend(stop_run(worker, run, task_id, run.stop_reason))
        elif not run.is_confirmed and retries:
            retries -= 1
            effects.extend(_retry_start(cell, worker, run, task_id, now_s))
    return effects


def _retry_start(cell, worker, run, task_id, now_s):
    job = cell.jobs_by_id[run.job_id]
    if worker.is_evacuated:
        return _give_up_start(cell, worker, run, task_id, now_s)
    if not is_suitable(cell, job, worker, run):
        # An earlier attempt may have reached the worker, so that a stop comes first.
        return stop_run(worker, run, task_id, RunStopReason.UNSUITABLE)
    run.is_start_in_flight = True
    return [start_effect(cell, job, worker, run, task_id, now_s)]


def _give_up_start(cell, worker, run, task_id, now_s):
    """Stop an unconfirmed run in an evacuated data centre, unless it may be running."""
    is_adopted = not run.last_order_s
    if is_adopted and now_s < cell.placing_start_s + ADOPTED_LISTING_DELAY_S:
        return []
    return stop_run(worker, run, task_id, RunStopReason.EVACUATED)


def _release_scheduled(cell, wall_ms):
    while cell.scheduled_occurrences and cell.scheduled_occurrences[0][0] <= wall_ms:
        _, job_id, occurrence = cell.scheduled_occurrences.pop(0)
        job = cell.jobs_by_id.get(job_id)
        if job is not None and job.is_open:
            release_occurrence(cell, job, occurrence)


def _drop_finished(cell, wall_ms):
    effects = []
    for job in list(cell.jobs_by_id.values()):
        kept_ms = wall_ms - job.ended_ms
        if job.ended_ms and kept_ms > cell.status_s * 1000:
            del cell.jobs_by_id[job.job_id]
            cell.dirty_job_ids.discard(job.job_id)
            effects.append(DropJob(job))
    return effects
