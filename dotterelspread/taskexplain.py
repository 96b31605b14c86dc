"""Explanations for operators of why a task is pending, running or ended."""

from .celltask import TaskPhase
from .configuration import Urgency
from .placement import is_eligible, labels_of

__all__ = ["explain_task"]

#: Maximum number of instance ids listed in one sentence.
MAX_LISTED_IDS = 5


def explain_task(state, task_id):
    """Return sentences that explain the state of a task, as known to one cell reader.

    Parameters
    ----------
    state : TaskState
    task_id : str

    Returns
    -------
    list of str
    """
    task = state.cell.tasks_by_id.get(task_id)
    if task is None:
        return [f"{task_id}: not known in {state.stream}; it may have ended long ago."]
    job = state.cell.jobs_by_id[task.job_id]
    lines = [
        f"{task_id}: task of job {job.job_id}, team {job.team}, "
        f"urgency {job.urgency}; needs {_amount(task.demand)}."
    ]
    if task.releases or task.failed_ids:
        lines.append(
            f"It was released {task.releases} times; its program failed on "
            f"{', '.join(task.failed_ids) or 'no instance'}."
        )
    if task.phase is TaskPhase.ENDED:
        lines.append(f"It ended as {task.outcome}: {task.detail or 'no detail'}.")
    elif task.phase is TaskPhase.OWNED:
        lines += _explain_owned(state, task, job)
    else:
        lines += _explain_pending(state, task, job)
    return lines


def _amount(amount):
    return (
        f"{amount.millicores} millicores, {amount.memory_mb} MiB and "
        f"{amount.accelerators} accelerators"
    )


def _explain_owned(state, task, job):
    lines = [
        f"It runs on {task.owner_id} under epoch {task.epoch}, "
        f"with {_amount(task.reserved)} reserved there."
    ]
    if not state.is_alive(task.owner_id):
        lines.append(
            f"{task.owner_id} does not answer heartbeats; the task moves when its "
            f"lease of {task.lease_s} s has lapsed."
            if not job.is_service
            else f"{task.owner_id} does not answer heartbeats; "
            f"its replacement is {task.successor_id or 'not created yet'}."
        )
    if job.is_cancelled:
        lines.append("Its job is cancelled; it ends when its owner has stopped it.")
    return lines


def _explain_pending(state, task, job):
    gate = state.gate()
    if state.withheld:
        return [f"It waits: nothing is started in its cell, since {state.withheld}."]
    decision = None if gate is None else gate.decide(task)
    if decision is not None and not decision.allowed:
        return [f"It waits for its team's quota: {decision.reason}."]
    designation = state.designations.by_id.get(task.task_id)
    if designation is not None:
        return [
            f"It is about to be claimed by {designation.ranked_ids[0]}; "
            f"{len(designation.ranked_ids) - 1} other members could take it instead."
        ]
    members = [m for m in state.cell.members_by_id.values() if m.is_present]
    lines = [f"It waits: none of the {len(members)} members of its cell has room."]
    excluded = set()
    for cause, is_cause in _causes(state, task, job):
        ids = {m.instance_id for m in members if is_cause(m)} - excluded
        excluded |= ids
        if ids:
            lines.append(
                f"{len(ids)} {cause}: {', '.join(sorted(ids)[:MAX_LISTED_IDS])}."
            )
    return lines + _explain_full(state, task, members, excluded)


def _causes(state, task, job):
    """Return the causes that can exclude a member, each with its predicate."""
    configuration = state.configuration
    return (
        ("leaving", lambda member: member.is_draining),
        (
            "not answering heartbeats",
            lambda member: not state.is_alive(member.instance_id),
        ),
        (
            "not allowed by the selectors",
            lambda member: (
                not is_eligible(
                    job.labels, labels_of(member, configuration), configuration
                )
            ),
        ),
        (
            "too small even when idle",
            lambda member: not task.demand.fits_in(member.capacity),
        ),
    )


def _explain_full(state, task, members, excluded):
    full = [member for member in members if member.instance_id not in excluded]
    if not full:
        return ["No member could take it: change its labels, selectors or size."]
    best = max(full, key=lambda member: member.room.millicores)
    ahead = sum(key < task.order for key in state.cell.pending)
    lines = [
        f"{len(full)} are full for now; the most room is on {best.instance_id}: "
        f"{_amount(best.room)}. {ahead} tasks are ahead of it."
    ]
    if task.urgency >= Urgency.URGENT:
        lines.append("It is urgent: members are stopping less urgent tasks for it.")
    return lines
