"""Task reducer of an agent: turns records of the cell into work on its own worker.

Most handlers update the state and then recompute all effects that are due, so that the
effects depend on the current state and not on the order of earlier events.
"""

from .cell import CellError, CellState
from .claiming import (
    append_due_snapshot,
    claim_tasks,
    maintain_membership,
    record_lapses,
)
from .localtask import LocalPhase, LocalTask, StopReason
from .ownership import reconcile_worker, report_results, stop_local
from .preemption import relieve_pressure
from .record import (
    CellSnapshot,
    InstanceAnnounced,
    InstanceLeft,
    OwnerRenewed,
    TaskClaimed,
)
from .reducer import Tick, reduce
from .reservation import recommended_reservation
from .taskevent import (
    AppendSettled,
    CellCaughtUp,
    CellRecordRead,
    CellTruncated,
    ConfigurationChanged,
    DrainRequested,
    EvictionRequested,
    MembersChanged,
    StartsWithheld,
    TaskCheckpointed,
    TaskStarted,
    TaskStopped,
    WorkerReported,
)
from .taskstate import TaskState

__all__ = ["TaskState"]


def settle_tasks(state, now_s):
    """Return all effects that are due in the current state."""
    if state.buffered_records is not None:
        return []
    state.clock_s = now_s
    state.settle_read_back(now_s)
    effects = reconcile_worker(state, now_s)
    if state.may_append(now_s):
        effects += append_due_snapshot(state, now_s)
        effects += report_results(state, now_s)
        effects += maintain_membership(state, now_s)
        effects += record_lapses(state, now_s)
        effects += claim_tasks(state, now_s)
    return effects


@reduce.register
def _(event: Tick, state: TaskState):
    return settle_tasks(state, event.now_s)


@reduce.register
def _(event: CellRecordRead, state: TaskState):
    if state.buffered_records is not None:
        state.buffered_records.append(event)
        _resume_from_snapshot(state, event)
        return []
    _apply(state, event)
    return []


def _apply(state, event):
    record = event.envelope.record
    is_valid = state.cell.apply(event.offset, event.envelope)
    if isinstance(record, CellSnapshot):
        state.snapshot_s = event.now_s
    if not is_valid:
        return
    if not isinstance(record, OwnerRenewed):
        state.designate(event.now_s)
    if isinstance(record, OwnerRenewed | TaskClaimed):
        owner = (record.owner_id, record.incarnation)
        state.watch.record_renewal(event.now_s, owner, event.offset)
    elif isinstance(record, InstanceLeft):
        if record.instance_id == state.instance_id:
            state.expelled_s = event.now_s
    elif isinstance(record, InstanceAnnounced):
        owner = (record.instance_id, record.incarnation)
        state.watch.record_renewal(event.now_s, owner, event.offset)


def _resume_from_snapshot(state, event):
    """Restore the state from a snapshot if no record after it is missing."""
    record = event.envelope.record
    if not isinstance(record, CellSnapshot):
        return
    if record.as_of + 1 < state.buffered_records[0].offset:
        return
    try:
        state.cell = CellState.from_snapshot(record)
    except CellError:
        return
    buffered_records, state.buffered_records = state.buffered_records, None
    for late in buffered_records:
        if late.offset > record.as_of:
            _apply(state, late)


@reduce.register
def _(event: CellTruncated, state: TaskState):
    if event.first_offset > state.cell.next_offset:
        state.buffered_records = []
    return []


@reduce.register
def _(event: CellCaughtUp, state: TaskState):
    state.cell.next_offset = max(state.cell.next_offset, event.next_offset)
    state.watch.record_caught_up(event.now_s)
    return settle_tasks(state, event.now_s)


@reduce.register
def _(event: AppendSettled, state: TaskState):
    state.settle(event.now_s, event.record, event.offset)
    return settle_tasks(state, event.now_s)


@reduce.register
def _(event: TaskStarted, state: TaskState):
    local = state.locals_by_id.get(event.task_id)
    if local is not None and local.epoch == event.epoch:
        local.is_confirmed = True
    return []


@reduce.register
def _(event: TaskCheckpointed, state: TaskState):
    local = state.locals_by_id.get(event.task_id)
    if local is not None and local.epoch == event.epoch:
        local.checkpoint = event.checkpoint
        local.checkpointed_s = event.now_s
        state.checkpoints_by_id[event.task_id] = event.checkpoint
    return []


@reduce.register
def _(event: TaskStopped, state: TaskState):
    local = state.locals_by_id.get(event.task_id)
    if local is None or local.epoch != event.epoch:
        return []
    if local.phase is not LocalPhase.STOPPED:
        local.phase = LocalPhase.STOPPED
        local.outcome = event.outcome
        local.detail = event.detail
        local.checkpoint = event.checkpoint or local.checkpoint
    return settle_tasks(state, event.now_s)


@reduce.register
def _(event: WorkerReported, state: TaskState):
    state.worker_reported_s = event.now_s
    for usage in event.usages:
        _note_usage(state, event.now_s, usage)
    return relieve_pressure(state, event.now_s, event.usages)


def _note_usage(state, now_s, usage):
    task = state.cell.tasks_by_id.get(usage.task_id)
    if task is None or task.owner_id != state.instance_id:
        return
    if task.epoch != usage.epoch:
        return
    if task.owner_incarnation < state.incarnation:
        _stop_leftover(state, now_s, task)
    elif task.task_id in state.locals_by_id:
        local = state.locals_by_id[task.task_id]
        local.is_confirmed = local.is_confirmed or local.epoch == usage.epoch
        is_throttled = state.pressure.shares_by_id.get(task.task_id, 1.0) < 1.0
        local.peak = local.peak.at_least(usage.used)
        can_shrink = state.is_reclaiming and not is_throttled
        observed_s = now_s - local.started_s if can_shrink else 0.0
        needed = recommended_reservation(task, local.peak, observed_s)
        if needed != task.learned and needed != task.reserved:
            state.learned_by_id[task.task_id] = needed


def _stop_leftover(state, now_s, task):
    """Stop a task that an earlier incarnation of the agent left running."""
    if task.task_id in state.locals_by_id:
        return
    state.locals_by_id[task.task_id] = LocalTask(
        task.task_id,
        task.epoch,
        task.spec,
        task.lease_s,
        now_s,
        checkpoint=task.checkpoint,
        phase=LocalPhase.STOPPING,
        worker_deadline_s=float("inf"),
        reason=StopReason.RESTARTED,
        requested_s=float("-inf"),
    )


@reduce.register
def _(event: MembersChanged, state: TaskState):
    state.live_ids = event.live_ids
    member_ids = state.cell.members_by_id.keys()
    state.dead_since_by_id = {
        member_id: state.dead_since_by_id.get(member_id, event.now_s)
        for member_id in member_ids - event.live_ids
        if member_id != state.instance_id
    }
    state.designate(event.now_s)
    return settle_tasks(state, event.now_s)


@reduce.register
def _(event: ConfigurationChanged, state: TaskState):
    state.configuration = event.configuration
    state.designate(event.now_s)
    return settle_tasks(state, event.now_s)


@reduce.register
def _(event: DrainRequested, state: TaskState):
    state.is_draining = True
    return settle_tasks(state, event.now_s)


@reduce.register
def _(event: StartsWithheld, state: TaskState):
    state.withheld = event.reason
    return settle_tasks(state, event.now_s)


@reduce.register
def _(event: EvictionRequested, state: TaskState):
    local = state.locals_by_id.get(event.task_id)
    if local is None or local.phase is not LocalPhase.RUNNING:
        return []
    return stop_local(local, event.now_s, StopReason.EVICTED)
