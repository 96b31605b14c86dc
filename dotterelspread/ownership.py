"""How an agent runs the tasks that it owns: starts, slices, stops and results.

Everything here follows from the cell's state and the local tasks, so it is worked out
anew after each event; what got lost is repeated.
"""

from .cellrules import FAILED
from .celltask import TaskPhase
from .lease import SLICE_S, slice_deadline_s, stop_ahead_s
from .localtask import LocalPhase, LocalTask, StopReason
from .record import TaskClaimed, TaskEnded, TaskReleased
from .taskevent import CheckpointTask, RenewTask, StartTask, StopTask

__all__ = ["follow_cell", "report_results", "stop_local"]

#: Seconds after which a start or stop that shows no effect is sent again.
REPEAT_S = 2.0
#: Seconds after a slice's end when the worker has surely stopped the task.
SLICE_MARGIN_S = 1.0
#: Seconds between checkpoints of a running task, at most, and as a part of its lease.
CHECKPOINT_PERIOD_S = 120.0
CHECKPOINT_PART = 0.5
#: Instances on which a program must fail before its task ends as failed.
FAILED_INSTANCES = 3
#: Failures after which a task ends as failed, on however few instances.
FAILURES = 5


def follow_cell(state, now_s):
    """Return the effects that bring the worker in line with the cell's state."""
    effects = []
    for local in list(state.locals_by_id.values()):
        effects += _follow(state, now_s, local)
    member = state.cell.members_by_id.get(state.instance_id)
    for task_id in member.task_ids if member is not None else ():
        task = state.cell.tasks_by_id[task_id]
        is_mine = task.owner_incarnation == state.incarnation
        if is_mine and task_id not in state.locals_by_id:
            effects += _begin(state, now_s, task)
    return effects


def _begin(state, now_s, task):
    """Start a task whose claim was read back as valid, or decline it."""
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
        checkpoint_asked_s=now_s,
        asked_s=now_s,
    )
    state.locals_by_id[task.task_id] = local
    deadline_s = state.deadline_s(local)
    if sent_s == float("-inf") or now_s >= deadline_s - stop_ahead_s(local.lease_s):
        local.phase = LocalPhase.STOPPED
        local.reason = StopReason.DECLINED
        return []
    return [_start(state, now_s, local)]


def _start(state, now_s, local):
    local.asked_s = now_s
    local.slice_deadline_s = slice_deadline_s(now_s, _lease_end_s(state, local))
    return StartTask(
        local.task_id,
        local.epoch,
        local.spec,
        local.checkpoint,
        local.slice_deadline_s,
    )


def _lease_end_s(state, local):
    """Return when a task must stop; a service replica's identity is never reused."""
    task = state.cell.tasks_by_id[local.task_id]
    if state.cell.jobs_by_id[task.job_id].is_service:
        return float("inf")
    return state.deadline_s(local)


def _follow(state, now_s, local):
    if not state.owns(local):
        if local.phase is LocalPhase.STOPPED or _is_slice_over(local, now_s):
            del state.locals_by_id[local.task_id]
            return []
        return _stop_again(local, now_s, StopReason.FENCED)
    if local.phase is LocalPhase.STOPPED:
        return []
    if _is_slice_over(local, now_s):
        local.phase = LocalPhase.STOPPED
        local.outcome = "lapsed"
        local.detail = "the worker's lease ran out"
        return []
    if local.phase is LocalPhase.STOPPING:
        return _stop_again(local, now_s, local.reason)
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
    if now_s >= _lease_end_s(state, local) - stop_ahead_s(local.lease_s):
        return StopReason.LEASE
    return StopReason.NONE


def _keep_running(state, now_s, local):
    if not local.is_confirmed:
        if now_s - local.asked_s >= REPEAT_S:
            return [_start(state, now_s, local)]
        return []
    period_s = min(CHECKPOINT_PERIOD_S, local.lease_s * CHECKPOINT_PART)
    if now_s - local.checkpoint_asked_s >= period_s:
        local.checkpoint_asked_s = now_s
        return [CheckpointTask(local.task_id, local.epoch)]
    deadline_s = slice_deadline_s(now_s, _lease_end_s(state, local))
    is_due = now_s >= local.slice_deadline_s - SLICE_S / 2
    if not (is_due and state.has_worker(now_s) and deadline_s > local.slice_deadline_s):
        return []
    if now_s - local.asked_s < REPEAT_S:
        return []
    local.asked_s = now_s
    local.slice_deadline_s = deadline_s
    return [RenewTask(local.task_id, local.epoch, deadline_s)]


def _is_slice_over(local, now_s):
    return now_s >= local.slice_deadline_s + SLICE_MARGIN_S


def stop_local(local, now_s, reason):
    """Return the effects that stop a running task, and note why."""
    local.phase = LocalPhase.STOPPING
    local.reason = reason
    local.asked_s = now_s
    return [StopTask(local.task_id, local.epoch)]


def _stop_again(local, now_s, reason):
    is_new = local.phase is LocalPhase.RUNNING
    if is_new or now_s - local.asked_s >= REPEAT_S:
        return stop_local(local, now_s, reason)
    return []


def report_results(state, now_s):
    """Return the appends of the ends and releases that are due."""
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
        if instances >= FAILED_INSTANCES or len(failed_ids) >= FAILURES:
            detail = f"failed {len(failed_ids)} times on {instances} instances"
            return TaskEnded(local.task_id, local.epoch, "failed", detail)
        return TaskReleased(local.task_id, local.epoch, local.checkpoint, FAILED)
    reason = local.reason or StopReason.LEASE
    return TaskReleased(local.task_id, local.epoch, local.checkpoint, str(reason))
