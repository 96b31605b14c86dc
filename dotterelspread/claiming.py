"""Records that an agent appends on its own initiative: claims, renewals and lapses.

Members are ranked for each action. The one at rank k acts after k fallback delays, so
usually only the first acts, and a dead member delays the next one by one delay.
"""

from functools import partial

from .configuration import Urgency
from .lease import lapse_wait_s, renewal_interval_s
from .placement import is_eligible, labels_of, tie_break
from .preemption import preempt_tasks
from .record import (
    CellSnapshot,
    InstanceAnnounced,
    InstanceDraining,
    InstanceLeft,
    OwnerRenewed,
    TaskClaimed,
    TaskEnded,
    TaskLapsed,
    TaskReleased,
)

__all__ = ["append_due_snapshot", "claim_tasks", "maintain_membership", "record_lapses"]

#: Delay in seconds before a live agent that was recorded as gone rejoins the cell.
REJOIN_DELAY_S = 30.0
#: Duration of failed heartbeats, in seconds, after which a member is recorded as gone.
DEAD_MEMBER_TIMEOUT_S = 3.0
#: Interval in seconds between checks for lapsed leases.
LAPSE_CHECK_INTERVAL_S = 0.5
#: Number of unplaceable tasks considered for room that is being freed.
MAX_FREED_ROOM_TASKS = 64
#: Delay in seconds before a task larger than any member is refused, in case a large
#: enough member joins.
REFUSAL_DELAY_S = 5.0


def maintain_membership(state, now_s):
    """Return the appends that keep the agent a member and renew its leases."""
    member = state.member
    if member is None:
        is_waiting = now_s - state.expelled_s < REJOIN_DELAY_S
        if state.is_draining or is_waiting or state.is_in_flight(InstanceAnnounced):
            return []
        return [state.append(now_s, state.announcement)]
    if state.is_draining:
        record = _leaving_record(state, member)
        if record is not None and not state.is_in_flight(type(record)):
            return [state.append(now_s, record)]
    interval_s = renewal_interval_s(state.configuration.leases.batch_s)
    if state.is_in_flight(OwnerRenewed) or now_s - state.renewed_s < interval_s:
        return []
    record = OwnerRenewed(
        state.instance_id, state.incarnation, *state.take_pending_updates()
    )
    return [state.append(now_s, record)]


def _leaving_record(state, member):
    if not member.is_draining:
        return InstanceDraining(state.instance_id, state.incarnation)
    if not member.task_ids:
        return InstanceLeft(state.instance_id, state.incarnation)
    return None


def claim_tasks(state, now_s):
    """Return the appends of the claims that are due from this agent."""
    member = state.member
    if member is None or not member.accepts_tasks or not state.has_worker(now_s):
        return []
    if state.is_draining or state.withheld or not state.watch.is_live(now_s):
        return []
    effects = []
    table = state.designations
    for task_id, designation in list(table.by_id.items()):
        task = state.cell.tasks_by_id[task_id]
        if _is_my_turn(state, now_s, designation):
            effects += _claim(state, now_s, task)
    if not table.unplaceable:
        return effects
    effects += _claim_into_freed_room(state, now_s)
    for task in table.unplaceable:
        since_s = table.unplaceable_since_by_id[task.task_id]
        effects += _refuse(state, now_s, task, since_s)
    return effects + preempt_tasks(state, now_s, table.unplaceable)


def _is_my_turn(state, now_s, designation):
    if state.instance_id not in designation.ranked_ids:
        return False
    rank = designation.ranked_ids.index(state.instance_id)
    return now_s - designation.since_s >= rank * state.fallback_delay_s


def _claim_into_freed_room(state, now_s):
    """Claim unplaceable tasks for room whose release has not been read back yet.

    Other members cannot see this room yet and may be freeing room themselves. To avoid
    conflicting claims, each member takes only the urgent tasks that it freed room for
    and those assigned to it by a hash; the others wait until the release is read.
    """
    if not state.is_in_flight(TaskEnded | TaskReleased):
        return []
    member_ids = [
        member.instance_id
        for member in state.cell.members_by_id.values()
        if member.accepts_tasks and state.is_alive(member.instance_id)
    ]
    labels = labels_of(state.member, state.configuration)
    effects = []
    for task in state.designations.unplaceable[:MAX_FREED_ROOM_TASKS]:
        first_id = min(member_ids, key=partial(tie_break, task.task_id))
        job = state.cell.jobs_by_id[task.job_id]
        is_allowed = is_eligible(job.labels, labels, state.configuration)
        is_mine = (
            first_id == state.instance_id or task.task_id in state.freed_room_by_id
        )
        if is_mine and is_allowed:
            effects += _claim(state, now_s, task)
    return effects


def _claim(state, now_s, task):
    """Return the append of a claim if the task fits, appends in flight included."""
    is_known = task.task_id in state.locals_by_id
    if is_known or state.is_in_flight(TaskClaimed, task.task_id):
        return []
    room = state.own_room()
    if task.urgency < Urgency.URGENT:
        room = room - state.held_room()
    if not task.demand.fits_in(room):
        return []
    leases = state.configuration.leases
    is_service = state.cell.jobs_by_id[task.job_id].is_service
    record = TaskClaimed(
        task.task_id,
        state.instance_id,
        state.incarnation,
        task.demand,
        int(leases.service_s if is_service else leases.batch_s),
    )
    return [state.append(now_s, record)]


def _refuse(state, now_s, task, since_s):
    """Return the append that refuses a task which exceeds every member's capacity."""
    members = [m for m in state.cell.members_by_id.values() if m.is_present]
    if any(task.demand.fits_in(member.capacity) for member in members):
        return []
    wait_s = REFUSAL_DELAY_S + _rank(state, task.task_id) * state.fallback_delay_s
    is_being_refused = state.is_in_flight(TaskEnded, task.task_id)
    if is_being_refused or now_s - since_s < wait_s:
        return []
    largest = max((m.capacity.millicores for m in members), default=0)
    detail = (
        f"never fits: needs {task.demand.millicores} millicores, "
        f"{task.demand.memory_mb} MiB and {task.demand.accelerators} accelerators; "
        f"no member of the cell has as much (most millicores: {largest})"
    )
    record = TaskEnded(task.task_id, task.epoch, "refused", detail)
    return [state.append(now_s, record)]


def record_lapses(state, now_s):
    """Return the appends that record lapsed leases and departed members."""
    is_too_soon = now_s - state.lapses_checked_s < LAPSE_CHECK_INTERVAL_S
    if is_too_soon or state.member is None or not state.watch.is_live(now_s):
        return []
    state.lapses_checked_s = now_s
    effects = []
    for member in state.cell.members_by_id.values():
        for record in _lapses_of(state, now_s, member):
            if not any(item.record == record for item in state.in_flight):
                effects.append(state.append(now_s, record))
    return effects


def _lapses_of(state, now_s, member):
    """Return the lapse and departure records that are due for a member."""
    owner = (member.instance_id, member.incarnation)
    silent_s = state.watch.silent_s(now_s, owner, member.renewal_offset)
    records = []
    for task_id in member.task_ids:
        task = state.cell.tasks_by_id[task_id]
        offset = state.cell.renewal_of(task)
        task_silent_s = silent_s
        if task.owner_incarnation != member.incarnation:
            old_owner = (member.instance_id, task.owner_incarnation)
            task_silent_s = state.watch.silent_s(now_s, old_owner, offset)
        overdue_s = task_silent_s - lapse_wait_s(task.lease_s)
        if _is_due(state, member, overdue_s):
            records.append(TaskLapsed(task_id, task.epoch, offset))
    overdue_s = max(
        silent_s - lapse_wait_s(state.configuration.leases.batch_s),
        state.dead_for_s(now_s, member.instance_id) - DEAD_MEMBER_TIMEOUT_S,
    )
    if member.is_present and _is_due(state, member, overdue_s):
        records.append(InstanceLeft(*owner))
    return records


def _is_due(state, member, overdue_s):
    """Return whether this agent is to act, ``overdue_s`` after the action was due."""
    if overdue_s < 0:
        return False
    return overdue_s >= _rank(state, member.instance_id) * state.fallback_delay_s


def append_due_snapshot(state, now_s):
    """Return the append of a snapshot if one is due."""
    if state.member is None or not state.watch.is_live(now_s):
        return []
    if state.snapshot_s is None:
        state.snapshot_s = now_s
    overdue_s = now_s - state.snapshot_s - state.snapshot_interval_s
    if overdue_s < 0 or state.is_in_flight(CellSnapshot):
        return []
    if overdue_s < _rank(state, state.stream) * state.fallback_delay_s:
        return []
    return [state.append(now_s, state.cell.to_snapshot())]


def _rank(state, owner_id):
    """Return this agent's rank among the live members for actions on ``owner_id``."""
    ranked_ids = sorted(
        (
            member.instance_id
            for member in state.cell.members_by_id.values()
            if member.is_present and state.is_alive(member.instance_id)
        ),
        key=lambda member_id: tie_break(owner_id, member_id),
    )
    if state.instance_id in ranked_ids:
        return ranked_ids.index(state.instance_id)
    return len(ranked_ids)
