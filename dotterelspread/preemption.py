"""Preemption for urgent tasks and eviction under pressure, on an agent's instance."""

from .celltask import TaskPhase
from .configuration import Urgency
from .eviction import Victim, choose_victims
from .localtask import LocalPhase, StopReason
from .ownership import stop_local
from .placement import PlacementView, rank_for_preemption
from .resources import Resources
from .taskevent import ThrottleTask

__all__ = ["preempt_tasks", "relieve_pressure"]

#: Time after which the next instance in a task's ranking also makes room for it.
FALLBACK_INTERVAL_S = 1.5
#: Maximum number of urgent tasks that one plan makes room for.
MAX_PREEMPTING_TASKS = 32


def preempt_tasks(state, now_s, unfit_tasks):
    """Return the effects that stop tasks to make room for urgent pending tasks.

    Parameters
    ----------
    state : TaskState
    now_s : float
    unfit_tasks : list of CellTask
        Pending tasks that fit on no member, the most urgent first.
    """
    urgent = [task for task in unfit_tasks if task.urgency >= Urgency.URGENT]
    if not urgent:
        state.preemption_since_by_id = {}
        return []
    view = PlacementView.from_cell(state.cell, state.configuration, state.live_ids)
    for member_id in view.rooms_by_id:
        view.add_room(member_id, _preemptible(state, member_id))
    since_by_id, effects = {}, []
    for task in urgent[:MAX_PREEMPTING_TASKS]:
        ranked_ids = rank_for_preemption(task, view)
        if not ranked_ids:
            continue
        view.reserve(task.task_id, ranked_ids[0], task.demand)
        since_s = state.preemption_since_by_id.get(task.task_id, now_s)
        since_by_id[task.task_id] = since_s
        if state.instance_id in ranked_ids:
            rank = ranked_ids.index(state.instance_id)
            if now_s - since_s >= rank * FALLBACK_INTERVAL_S:
                effects += _make_room(state, now_s, task)
    state.preemption_since_by_id = since_by_id
    return effects


def _preemptible(state, member_id):
    """Return the resources of a member's tasks that urgent tasks may preempt."""
    amount = Resources()
    for task_id in state.cell.members_by_id[member_id].task_ids:
        task = state.cell.tasks_by_id[task_id]
        job = state.cell.jobs_by_id[task.job_id]
        if task.urgency < Urgency.URGENT and not job.is_service:
            amount = amount + task.reserved
    return amount


def _make_room(state, now_s, task):
    """Stop the cheapest victims for a task; none if enough are stopping already."""
    held_room = state.held_room()
    if task.task_id in state.freed_room_by_id:
        return []
    room = state.own_room() - held_room
    for local in state.locals_by_id.values():
        if local.phase is LocalPhase.STOPPING and state.owns(local):
            room = room + state.cell.tasks_by_id[local.task_id].reserved
    victims = choose_victims(_victims(state, now_s), room, task.demand)
    if victims is None:
        return []
    state.freed_room_by_id[task.task_id] = (now_s, task.demand)
    return _evict(state, now_s, victims, StopReason.PREEMPTED)


def _evict(state, now_s, victims, reason):
    effects = []
    for victim in victims:
        effects += stop_local(state.locals_by_id[victim.task_id], now_s, reason)
    return effects


def _victims(state, now_s):
    """Return this instance's running tasks that may be preempted or evicted."""
    victims = []
    for local in state.locals_by_id.values():
        task = state.cell.tasks_by_id.get(local.task_id)
        if local.phase is not LocalPhase.RUNNING or not state.owns(local):
            continue
        job = state.cell.jobs_by_id[task.job_id]
        if job.is_service or task.urgency >= Urgency.URGENT:
            continue
        unsaved_s = now_s - local.checkpointed_s
        victims.append(
            Victim(task.task_id, task.reserved, task.urgency, unsaved_s, task.releases)
        )
    return victims


def relieve_pressure(state, now_s, usages):
    """Return the effects that bring measured usage back within the capacity."""
    member = state.member
    if member is None:
        return []
    used_by_id, reserved_by_id = {}, {}
    for usage in usages:
        task = state.cell.tasks_by_id.get(usage.task_id)
        is_owned = task is not None and task.phase is TaskPhase.OWNED
        if not is_owned or task.owner_id != state.instance_id:
            continue
        job = state.cell.jobs_by_id[task.job_id]
        used_by_id[usage.task_id] = usage.used
        is_batch = not job.is_service
        reserved_by_id[usage.task_id] = task.reserved if is_batch else usage.used
    shares_by_id, to_free = state.pressure.update(
        now_s, member.capacity, used_by_id, reserved_by_id
    )
    effects = [ThrottleTask(task_id, share) for task_id, share in shares_by_id.items()]
    if to_free != Resources():
        victims = choose_victims(_victims(state, now_s), Resources(), to_free)
        effects += _evict(state, now_s, victims or [], StopReason.EVICTED)
    return effects
