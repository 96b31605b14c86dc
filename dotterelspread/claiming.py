"""Which records an agent appends of its own accord: claims, renewals and lapses.

A member that a ranking names first acts at once, the one at place k after k ticks, so
that as a rule one member acts and a dead one delays the others by a tick.
"""

from .lease import lapse_wait_s, renewal_period_s
from .placement import PlacementView, plan, tie_break
from .record import (
    InstanceAnnounced,
    InstanceDraining,
    InstanceLeft,
    OwnerRenewed,
    TaskClaimed,
    TaskLapsed,
)

__all__ = ["claim_tasks", "keep_membership", "record_lapses"]


def keep_membership(state, now_s):
    """Return the appends that announce the agent and renew its leases."""
    member = state.member
    if member is None:
        if state.is_draining or state.is_in_flight(InstanceAnnounced):
            return []
        return [state.append(now_s, state.announcement)]
    if state.is_draining:
        record = _leaving_record(state, member)
        if record is not None and not state.is_in_flight(type(record)):
            return [state.append(now_s, record)]
    period_s = renewal_period_s(state.configuration.leases.batch_s)
    if state.is_in_flight(OwnerRenewed) or now_s - state.renewed_s < period_s:
        return []
    record = OwnerRenewed(state.instance_id, state.incarnation, state.take_learned())
    return [state.append(now_s, record)]


def _leaving_record(state, member):
    if not member.is_draining:
        return InstanceDraining(state.instance_id, state.incarnation)
    if not member.task_ids:
        return InstanceLeft(state.instance_id, state.incarnation)
    return None


def claim_tasks(state, now_s):
    """Return the appends of claims that are due from this agent."""
    member = state.member
    if member is None or not member.takes_tasks or not state.has_worker(now_s):
        return []
    if state.is_draining or not state.watch.is_live(now_s):
        return []
    view = PlacementView.from_cell(state.cell, state.configuration, state.live_ids)
    view.rooms_by_id[state.instance_id] = state.own_room()
    claimed_ids = {
        item.record.task_id
        for item in state.in_flight
        if isinstance(item.record, TaskClaimed)
    }
    waits_by_id, effects = {}, []
    for task, ranked_ids in plan(view, claimed_ids):
        wait = state.waits_by_id.get(task.task_id)
        if wait is None or wait[0] != ranked_ids[0]:
            wait = (ranked_ids[0], now_s)
        waits_by_id[task.task_id] = wait
        if _is_my_turn(state, now_s, ranked_ids, wait[1], task):
            effects.append(state.append(now_s, _claim(state, task)))
    state.waits_by_id = waits_by_id
    return effects


def _is_my_turn(state, now_s, ranked_ids, since_s, task):
    if state.instance_id not in ranked_ids or task.task_id in state.locals_by_id:
        return False
    if not task.demand.fits_in(state.own_room()):
        return False
    place = ranked_ids.index(state.instance_id)
    return now_s - since_s >= place * state.tick_s


def _claim(state, task):
    leases = state.configuration.leases
    is_service = state.cell.jobs_by_id[task.job_id].is_service
    return TaskClaimed(
        task.task_id,
        state.instance_id,
        state.incarnation,
        task.demand,
        int(leases.service_s if is_service else leases.batch_s),
    )


def record_lapses(state, now_s):
    """Return the appends of lapses and departures of silent members."""
    if state.member is None or not state.watch.is_live(now_s):
        return []
    effects = []
    for member in state.cell.members_by_id.values():
        for record in _lapses_of(state, now_s, member):
            if not any(item.record == record for item in state.in_flight):
                effects.append(state.append(now_s, record))
    return effects


def _lapses_of(state, now_s, member):
    """Yield the records due for what a member left behind."""
    owner = (member.instance_id, member.incarnation)
    delay_s = _place(state, member.instance_id) * state.tick_s
    silent_s = state.watch.silent_s(now_s, owner, member.renewal_offset) - delay_s
    for task_id in member.task_ids:
        task = state.cell.tasks_by_id[task_id]
        offset = state.cell.renewal_of(task)
        task_silent_s = silent_s
        if task.owner_incarnation != member.incarnation:
            old_owner = (member.instance_id, task.owner_incarnation)
            task_silent_s = state.watch.silent_s(now_s, old_owner, offset) - delay_s
        if task_silent_s >= lapse_wait_s(task.lease_s):
            yield TaskLapsed(task_id, task.epoch, offset)
    lease_s = state.configuration.leases.batch_s
    if member.is_present and silent_s >= lapse_wait_s(lease_s):
        yield InstanceLeft(*owner)


def _place(state, owner_id):
    """Return this agent's place among those who may record an owner's lapse."""
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
