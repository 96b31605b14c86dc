"""Running the tasks that an agent owns: starts, lease renewals, stops and results.

The effects are derived from the state of the cell and the local tasks after each event,
as in a reconciliation loop, so a lost request is sent again.
"""

from .cellrules import FAILED
from .celltask import TaskPhase
from .lease import WORKER_LEASE_S, stop_margin_s, worker_deadline_s
from .localtask import LocalPhase, LocalTask, StopReason
from .record import TaskClaimed, TaskEnded, TaskReleased
from .taskevent import CheckpointTask, RenewTask, StartTask, StopTask

__all__ = ["reconcile_worker", "report_results", "stop_local"]

#: Interval in seconds after which an unconfirmed request to the worker is retried.
RETRY_INTERVAL_S = 2.0
#: Time in seconds after its lease within which the worker is sure to stop a task.
WORKER_LEASE_MARGIN_S = 1.0
#: Interval between checkpoints of a running task: an upper bound in seconds, and the
#: fraction of the task's lease.
MAX_CHECKPOINT_INTERVAL_S = 120.0
CHECKPOINT_INTERVAL_RATIO = 0.5
#: Number of distinct instances with failures after which a task ends as failed.
MAX_FAILED_INSTANCES = 3
#: Number of failures after which a task ends as failed, on any number of instances.
MAX_FAILURES = 5


def reconcile_worker(state, now_s):
    """Return the effects that reconcile the worker with the state of the cell."""
    effects = []
    for local in list(state.locals_by_id.values()):
        effects += _reconcile(state, now_s, local)
    member = state.cell.members_by_id.get(state.instance_id)
    for task_id in member.task_ids if member is not None else ():
        task = state.cell.tasks_by_id[task_id]
        is_mine = task.owner_incarnation == state.incarnation
        if is_mine and task_id not in state.locals_by_id:
            effects += _start_or_decline(state, now_s, task)
    return effects


def _start_or_decline(state, now_s, task):
    """Start a task whose claim was read back as valid, or decline it.

    It is declined if starts are withheld, if the time at which its claim was sent is
    not known, or if its lease has almost expired.
    """
    if state.is_in_flight(TaskClaimed, task.task_id):
        return []
    sent_s = state.claims_sent_s.pop((task.task_id, task.epoch), float("-inf"))
    local = LocalTask(
        task.task_id,
        task.epoch,
        task.spec,
        task.lease_s,
        sent_s,
        checkpoint=task.checkpoint,
        started_s=now_s,
        checkpointed_s=now_s,
        checkpoint_requested_s=now_s,
        requested_s=now_s,
    )
    state.locals_by_id[task.task_id] = local
    deadline_s = state.deadline_s(local)
    is_late = now_s >= deadline_s - stop_margin_s(local.lease_s)
    if state.withheld or sent_s == float("-inf") or is_late:
        local.phase = LocalPhase.STOPPED
        local.reason = StopReason.DECLINED
        return []
    return [_start(state, now_s, local)]


def _start(state, now_s, local):
    local.requested_s = now_s
    local.worker_deadline_s = worker_deadline_s(now_s, _lease_end_s(state, local))
    return StartTask(
        local.task_id,
        local.epoch,
        local.spec,
        local.checkpoint,
        local.worker_deadline_s,
    )


def _lease_end_s(state, local):
    """Return when a task must stop.

    A service replica need not stop: the id of a replica is never reused, so one that is
    cut off cannot conflict with its replacement.
    """
    task = state.cell.tasks_by_id[local.task_id]
    if state.cell.jobs_by_id[task.job_id].is_service:
        return float("inf")
    return state.deadline_s(local)


def _reconcile(state, now_s, local):
    if not state.owns(local):
        if local.phase is LocalPhase.STOPPED or _is_worker_lease_over(local, now_s):
            del state.locals_by_id[local.task_id]
            return []
        return _retry_stop(local, now_s, StopReason.FENCED)
    if local.phase is LocalPhase.STOPPED:
        return []
    if _is_worker_lease_over(local, now_s):
        local.phase = LocalPhase.STOPPED
        local.outcome = "lapsed"
        local.detail = "the worker's lease ran out"
        return []
    if local.phase is LocalPhase.STOPPING:
        return _retry_stop(local, now_s, local.reason)
    reason = _reason_to_stop(state, now_s, local)
    if reason is not StopReason.NONE:
        return stop_local(local, now_s, reason)
    return _keep_running(state, now_s, local)


def _reason_to_stop(state, now_s, local):
    task = state.cell.tasks_by_id[local.task_id]
    if state.cell.jobs_by_id[task.job_id].is_cancelled:
        return StopReason.CANCELLED
    if task.successor_id:
        successor = state.cell.tasks_by_id.get(task.successor_id)
        if successor is None or successor.phase is not TaskPhase.PENDING:
            return StopReason.REPLACED
        return StopReason.NONE
    if state.is_draining:
        return StopReason.DRAIN
    if now_s >= _lease_end_s(state, local) - stop_margin_s(local.lease_s):
        return StopReason.LEASE
    return StopReason.NONE


def _keep_running(state, now_s, local):
    if not local.is_confirmed:
        # A withheld start may be running. The next report of the worker confirms that,
        # else the task is released once the worker's lease has run out.
        if not state.withheld and now_s - local.requested_s >= RETRY_INTERVAL_S:
            return [_start(state, now_s, local)]
        return []
    interval_s = min(
        MAX_CHECKPOINT_INTERVAL_S, local.lease_s * CHECKPOINT_INTERVAL_RATIO
    )
    if now_s - local.checkpoint_requested_s >= interval_s:
        local.checkpoint_requested_s = now_s
        return [CheckpointTask(local.task_id, local.epoch)]
    deadline_s = worker_deadline_s(now_s, _lease_end_s(state, local))
    is_due = now_s >= local.worker_deadline_s - WORKER_LEASE_S / 2
    if not (
        is_due and state.has_worker(now_s) and deadline_s > local.worker_deadline_s
    ):
        return []
    if now_s - local.requested_s < RETRY_INTERVAL_S:
        return []
    local.requested_s = now_s
    local.worker_deadline_s = deadline_s
    return [RenewTask(local.task_id, local.epoch, deadline_s)]


def _is_worker_lease_over(local, now_s):
    return now_s >= local.worker_deadline_s + WORKER_LEASE_MARGIN_S


def stop_local(local, now_s, reason):
    """Mark a running task as stopping and return the effects that stop it."""
    local.phase = LocalPhase.STOPPING
    local.reason = reason
    local.requested_s = now_s
    return [StopTask(local.task_id, local.epoch)]


def _retry_stop(local, now_s, reason):
    is_new = local.phase is LocalPhase.RUNNING
    if is_new or now_s - local.requested_s >= RETRY_INTERVAL_S:
        return stop_local(local, now_s, reason)
    return []


def report_results(state, now_s):
    """Return the appends that end or release stopped tasks."""
    effects = []
    for local in state.locals_by_id.values():
        if local.phase is not LocalPhase.STOPPED or not state.owns(local):
            continue
        if state.is_in_flight(TaskEnded | TaskReleased, local.task_id):
            continue
        effects.append(state.append(now_s, _result_of(state, local)))
    return effects


def _result_of(state, local):
    """Return the record that ends or releases a stopped task."""
    task = state.cell.tasks_by_id[local.task_id]
    if local.outcome == "completed":
        return TaskEnded(local.task_id, local.epoch, "completed", local.detail)
    if state.cell.jobs_by_id[task.job_id].is_cancelled:
        return TaskEnded(local.task_id, local.epoch, "cancelled")
    if local.reason is StopReason.REPLACED:
        return TaskEnded(local.task_id, local.epoch, "cancelled", "replaced")
    if local.outcome == "failed":
        failed_ids = [*task.failed_ids, state.instance_id]
        instances = len(set(failed_ids))
        if instances >= MAX_FAILED_INSTANCES or len(failed_ids) >= MAX_FAILURES:
            detail = f"failed {len(failed_ids)} times on {instances} instances"
            return TaskEnded(local.task_id, local.epoch, "failed", detail)
        return TaskReleased(local.task_id, local.epoch, local.checkpoint, FAILED)
    reason = local.reason or StopReason.LEASE
    return TaskReleased(local.task_id, local.epoch, local.checkpoint, str(reason))
