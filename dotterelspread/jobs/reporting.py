"""Reducer handlers for agents' reports: workers, runs, ended runs and measurements."""

from ..reducer import reduce
from ..resources import Resources
from .agentreport import MAX_LISTED_ENDS
from .cell import AgentLost, Reported
from .crashes import (
    clear_suspicion,
    conclude_crash,
    count_crash,
    has_crashed,
    make_worker_loss,
    remove_crashed_worker,
)
from .ends import apply_ends
from .feasibility import WorkerShape
from .incarnations import release_run, remove_worker, replace_incarnation
from .leasesuspension import is_silent_and_suspended, resume_grants
from .lifecycle import make_run, note_begun, stop_run
from .measurements import apply_measurements
from .pacing import FULL_PACE_PERCENT
from .placement.placing import place
from .restartedworkers import mark_if_restarted, update_residual_lease
from .silentlosses import settle_silent_loss
from .spec import parse_task_id
from .taskrun import RunStopReason, TaskRun
from .worker import Worker

__all__ = []

#: Job id of a run whose task no job has; the id that its worker lists may be that of a
#: job with other tasks.
NO_JOB_ID = ""


@reduce.register
def _(event: Reported, cell):
    report = event.report
    effects = settle_silent_loss(cell, event)
    effects.extend(_remove_replaced_workers(cell, event))
    worker = cell.workers_by_id.get(report.worker_id)
    if worker is not None and _is_outdated(worker, report):
        return effects + place(cell, event.now_s)
    if worker is None and report.has_left:
        return effects
    if worker is None:
        worker = Worker(
            report.worker_id, report.born_ms, unreachable_since_s=event.now_s
        )
        cell.workers_by_id[report.worker_id] = worker
        cell.dirty_worker_ids.add(report.worker_id)
        mark_if_restarted(cell, worker)
    elif worker.born_ms != report.born_ms:
        worker, crash_effects = _replace_incarnation(cell, worker, event)
        effects.extend(crash_effects)
    took_tasks_before = worker.accepts_tasks(event.now_s)
    _update(cell, worker, event)
    if worker.is_reachable:
        effects.extend(resume_grants(cell, worker))
    shapes = cell.shapes_by_service.setdefault(worker.service, set())
    shapes.add(WorkerShape(worker.labels, worker.capacity))
    effects.extend(apply_ends(cell, worker, event))
    if report.has_left:
        if not report.has_more_ends:
            remove_worker(cell, worker, event.now_s)
        return effects + place(cell, event.now_s)
    effects.extend(_apply_running(cell, worker, event))
    apply_measurements(cell, worker, report)
    if report.ended or took_tasks_before != worker.accepts_tasks(event.now_s):
        effects.extend(place(cell, event.now_s))
    # Otherwise tasks that the new measurements allow are placed at the next tick.
    return effects


@reduce.register
def _(event: AgentLost, cell):
    for worker in cell.workers_by_id.values():
        if worker.agent_address == event.agent_address:
            worker.set_reachable(False, event.now_s)
            worker.is_agent_lost = True
    return []


def _is_outdated(worker, report):
    """Tell whether a report is of an earlier incarnation, at another address.

    The reports of one agent arrive in order, so that the latest counts even if the
    clock that gives the start times of its workers was set back.
    """
    is_earlier = report.born_ms < worker.born_ms
    return is_earlier and report.agent_address != worker.agent_address


def _remove_replaced_workers(cell, event):
    """Remove previous workers of an instance; it runs one at a time."""
    report = event.report
    effects = []
    for worker in list(cell.workers_by_id.values()):
        is_same = worker.worker_id == report.worker_id
        if worker.agent_address != report.agent_address or is_same:
            continue
        if has_crashed(worker):
            effects.extend(remove_crashed_worker(cell, worker, report.worker_id, event))
        else:
            remove_worker(cell, worker, event.now_s)
    return effects


def _replace_incarnation(cell, worker, event):
    born_ms = event.report.born_ms
    if not has_crashed(worker):
        return replace_incarnation(cell, worker, born_ms, event.now_s), []
    loss = make_worker_loss(cell, worker, born_ms)
    count_crash(cell, loss, worker.worker_id)
    successor = replace_incarnation(cell, worker, born_ms, event.now_s)
    return successor, conclude_crash(cell, loss, event)


def _update(cell, worker, event):
    report = event.report
    is_first = not worker.has_reported
    if worker.agent_address != report.agent_address:
        cell.dirty_worker_ids.add(worker.worker_id)
    worker.agent_address = report.agent_address
    worker.service = report.service
    worker.data_centre = report.data_centre
    worker.is_evacuated = report.data_centre in cell.evacuated_data_centres
    worker.labels = report.labels
    worker.rack = report.rack
    worker.set_capacity(report.capacity)
    worker.set_reachable(report.is_reachable, event.now_s)
    # One that has shut down is kept until all its ends are known.
    worker.is_draining = report.is_draining or report.has_left
    worker.cold_until_s = event.now_s + report.cold_ms / 1000
    worker.is_agent_lost = False
    worker.is_gone = report.is_gone
    worker.has_more_ends = report.has_more_ends
    _update_lease_end(cell, worker, event.lease_end_s, is_first)
    update_residual_lease(cell, worker, event)
    if worker.may_hold_residual_lease:
        worker.lease_end_s = max(worker.lease_end_s, event.residual_lease_end_s)


def _update_lease_end(cell, worker, lease_end_s, is_first):
    is_known_end = worker.lease_end_s > 0 and is_silent_and_suspended(worker)
    if is_first and is_known_end:
        # No leader has granted it a lease since the suspension that was adopted.
        return
    if is_first:
        # The agent now follows this leader, so the end assumed at the failover is
        # obsolete.
        worker.lease_end_s = lease_end_s
    worker.lease_end_s = max(worker.lease_end_s, lease_end_s)
    if not cell.are_earlier_terms_over and not is_known_end:
        # The agent's next process may follow an earlier leader, and the worker takes
        # its calls. Before earlier terms are over, only adopted suspensions occur, and
        # no earlier leader grants leases to their workers.
        worker.lease_end_s = max(worker.lease_end_s, cell.earlier_lease_end_s)


def _apply_running(cell, worker, event):
    report = event.report
    effects = []
    listed = set()
    covered_s = worker.cover_until(report.listed_ms)
    for row in report.running:
        listed.add(row.task_id)
        run = worker.runs_by_task.get(row.task_id)
        if run is None:
            run = _add_unknown_run(cell, worker, row)
        if run.run != row.run:
            continue
        if not run.is_listed:
            run.mark_listed(row.percent, event.now_s)
            note_begun(cell, cell.jobs_by_id.get(run.job_id))
        elif run.observe(row.percent, row.pace / FULL_PACE_PERCENT, covered_s):
            _record_activity(cell, run, event.now_s)
        worker.confirm(run)
        run.is_listed = True
        run.last_answer_ms = max(run.last_answer_ms, report.listed_ms)
        _record_checkpoint(cell, run, row)
        clear_suspicion(cell, worker, run)
        if run.is_stop_requested:
            effects.extend(stop_run(worker, run, row.task_id, run.stop_reason))
    if report.is_reachable and _has_all_ends(report):
        _release_unlisted(cell, worker, listed, report.listed_ms)
    return effects


def _has_all_ends(report):
    """Tell whether what a report does not list as running has ended for sure."""
    # Agents of earlier versions do not say whether there are more.
    return not report.has_more_ends and len(report.ended) < MAX_LISTED_ENDS


def _add_unknown_run(cell, worker, row):
    """Add a run that the leader did not assign, so that it is counted until it ends."""
    parsed = parse_task_id(row.task_id)
    job = parsed and cell.jobs_by_id.get(parsed[0])
    if job and parsed[1] in job.tasks_by_key:
        run = make_run(job, parsed[1], row.run)
    else:
        run = TaskRun(NO_JOB_ID, (0, 0, 0), row.run, Resources(), 0, 0)
    run.stop_reason = RunStopReason.UNKNOWN
    worker.add(row.task_id, run)
    return run


def _record_activity(cell, run, now_s):
    job = cell.jobs_by_id.get(run.job_id)
    if job is not None:
        job.last_active_s = now_s


def _record_checkpoint(cell, run, row):
    job = cell.jobs_by_id.get(run.job_id)
    if job is not None and not run.is_stop_requested:
        job.keep_checkpoint(run.key, row.checkpoint)


def _release_unlisted(cell, worker, listed, listed_ms):
    """Release runs that a listing omits although they were settled before it."""
    for task_id, run in list(worker.runs_by_task.items()):
        was_listable = 0 < run.last_answer_ms < listed_ms
        if task_id not in listed and was_listable and not run.is_order_in_flight:
            release_run(cell, worker, task_id)
