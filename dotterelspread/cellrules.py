"""Transition rules of a cell: which records are valid, and what each one changes.

`apply_record` is the only function that changes the state of a cell. Its result depends
on nothing but the state and the record, so all readers reach the same verdict.
"""

from functools import singledispatch

from .celltask import CellJob, CellMember, TaskPhase
from .labels import instance_labels
from .record import (
    InstanceAnnounced,
    InstanceDraining,
    InstanceLeft,
    JobCancelled,
    JobSubmitted,
    OwnerRenewed,
    TaskClaimed,
    TaskEnded,
    TaskLapsed,
    TaskReleased,
)

__all__ = ["FAILED", "apply_record"]

#: Reason of a release after the program failed; another instance may retry the task.
FAILED = "failed"
COMPLETED = "completed"
LAPSED = "lapsed"


@singledispatch
def apply_record(record, cell, offset):
    """Apply ``record``, read at ``offset``, to a `CellState`.

    Returns
    -------
    bool
        Whether the record was valid. An invalid record changes nothing.
    """
    return False


@apply_record.register
def _(record: InstanceAnnounced, cell, offset):
    old = cell.members_by_id.get(record.instance_id)
    member = CellMember(
        record.instance_id,
        record.incarnation,
        record.rack,
        record.capacity,
        instance_labels(record, {}),
        offset,
    )
    if old is not None:
        if record.incarnation < old.incarnation:
            return False
        if record.incarnation > old.incarnation:
            _freeze_renewals(cell, old)
        else:
            member.is_draining = old.is_draining
        member.reserved = old.reserved
        member.task_ids = old.task_ids
    cell.members_by_id[record.instance_id] = member
    if old is not None and record.incarnation > old.incarnation:
        _replace_replicas(cell, member, offset)
    return True


def _freeze_renewals(cell, member):
    for task_id in member.task_ids:
        task = cell.tasks_by_id[task_id]
        if task.owner_incarnation == member.incarnation:
            task.renewal_offset = member.renewal_offset


@apply_record.register
def _(record: InstanceDraining, cell, offset):
    member = cell.present_member(record.instance_id, record.incarnation)
    if member is None or member.is_draining:
        return False
    member.is_draining = True
    _replace_replicas(cell, member, offset)
    return True


@apply_record.register
def _(record: InstanceLeft, cell, offset):
    member = cell.present_member(record.instance_id, record.incarnation)
    if member is None:
        return False
    member.is_present = False
    _replace_replicas(cell, member, offset)
    cell.remove_if_idle(member)
    return True


def _replace_replicas(cell, member, offset):
    for task_id in member.task_ids:
        cell.replace_replica(cell.tasks_by_id[task_id], offset)


@apply_record.register
def _(record: OwnerRenewed, cell, offset):
    member = cell.present_member(record.owner_id, record.incarnation)
    if member is None:
        return False
    member.renewal_offset = offset
    for task_id, amount in record.learned.items():
        if task_id in member.task_ids:
            _apply_learned_amount(member, cell.tasks_by_id[task_id], amount)
    for task_id, checkpoint in record.checkpoints.items():
        if task_id in member.task_ids:
            cell.tasks_by_id[task_id].checkpoint = checkpoint
    return True


def _apply_learned_amount(member, task, amount):
    """Set a task's reservation to ``amount``, bounded by the room on its instance."""
    task.learned = amount.at_most(member.capacity)
    reservation = task.learned.at_most(task.reserved + member.room)
    member.reserved = member.reserved - task.reserved + reservation
    task.reserved = reservation


@apply_record.register
def _(record: JobSubmitted, cell, offset):
    if record.job_id in cell.jobs_by_id:
        return False
    job = CellJob(
        record.job_id,
        record.team,
        record.urgency,
        record.labels,
        record.is_service,
        [],
    )
    cell.add_job(job)
    for spec in record.tasks:
        cell.add_task(job, spec, offset)
    if not job.task_ids:
        cell.retain_ended_job(job)
    return True


@apply_record.register
def _(record: JobCancelled, cell, offset):
    job = cell.jobs_by_id.get(record.job_id)
    if job is None or job.is_cancelled or job.open_tasks == 0:
        return False
    job.is_cancelled = True
    for task_id in list(job.task_ids):
        task = cell.tasks_by_id[task_id]
        if task.phase is TaskPhase.PENDING:
            cell.end(task, "cancelled", "cancelled before it was claimed")
    return True


@apply_record.register
def _(record: TaskClaimed, cell, offset):
    task = cell.tasks_by_id.get(record.task_id)
    member = cell.present_member(record.owner_id, record.incarnation)
    if task is None or task.phase is not TaskPhase.PENDING or member is None:
        return False
    fits = record.reserved.fits_in(member.room)
    if not (member.accepts_tasks and fits and task.demand.fits_in(record.reserved)):
        return False
    cell.assign_owner(task, member, record, offset)
    cell.quarantine.started(offset, task.job_id, task.owner_id)
    return True


@apply_record.register
def _(record: TaskEnded, cell, offset):
    task = cell.tasks_by_id.get(record.task_id)
    if task is None or task.phase is TaskPhase.ENDED or task.epoch != record.epoch:
        return False
    if task.phase is TaskPhase.PENDING:
        if record.outcome != "refused":
            return False
    else:
        _record_run_end(cell, task, offset, record.outcome)
        cell.clear_owner(task)
    if cell.jobs_by_id[task.job_id].is_cancelled:
        cell.end(task, "cancelled", "cancelled before its end was recorded")
    else:
        cell.end(task, record.outcome, record.detail)
    return True


@apply_record.register
def _(record: TaskReleased, cell, offset):
    task = cell.owned_task(record.task_id, record.epoch)
    if task is None:
        return False
    if record.reason == FAILED:
        task.failed_ids.append(task.owner_id)
    _record_run_end(cell, task, offset, record.reason)
    task.checkpoint = record.checkpoint
    task.releases += 1
    cell.return_to_pending(task, f"released by {task.owner_id}: {record.reason}")
    return True


@apply_record.register
def _(record: TaskLapsed, cell, offset):
    task = cell.owned_task(record.task_id, record.epoch)
    if task is None or cell.renewal_of(task) != record.renewal_offset:
        return False
    _record_run_end(cell, task, offset, LAPSED)
    detail = f"the lease of {task.owner_id} lapsed"
    if cell.jobs_by_id[task.job_id].is_service:
        # The replica may still be running behind a partition: its id is not reused.
        cell.replace_replica(task, offset)
        cell.clear_owner(task)
        is_surplus = cell.jobs_by_id[task.job_id].is_cancelled or task.successor_id
        cell.end(task, "cancelled" if is_surplus else "failed", detail)
    else:
        cell.return_to_pending(task, detail)
    return True


def _record_run_end(cell, task, offset, ending):
    """Record how a run ended in the quarantine evidence on its job and worker."""
    run = (offset, task.job_id, task.task_id, task.owner_id)
    if ending == COMPLETED:
        cell.quarantine.success(*run)
    elif ending == FAILED:
        cell.quarantine.failure(*run)
    else:
        cell.quarantine.released(offset, task.job_id)
