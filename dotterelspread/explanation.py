"""Say in words why a task is placed, waiting or ended.

Pure functions of a cell's state and the configuration, for operators.
"""

from .celltask import TaskPhase
from .labels import match_work
from .placement import PlacementView, labels_of

__all__ = ["describe_resources", "explain_task"]

MAX_NAMED_INSTANCES = 3


def describe_resources(amount):
    """Return ``amount`` in words, such as ``4 cores, 8192 MiB, 1 accelerators``."""
    words = f"{amount.millicores / 1000:g} cores, {amount.memory_mb} MiB"
    if amount.accelerators:
        words += f", {amount.accelerators} accelerators"
    return words


def explain_task(task, cell, configuration, live_ids=None):
    """Return lines on why a task is as it is.

    Parameters
    ----------
    task : CellTask
    cell : CellState
    configuration : Configuration
    live_ids : frozenset of str, optional
        Members believed to be alive; all when None.
    """
    if task.phase is TaskPhase.ENDED:
        return [
            f"ended as {task.outcome}" + (f": {task.detail}" if task.detail else "")
        ]
    if task.phase is TaskPhase.OWNED:
        return [
            f"owned by {task.owner_id} since its claim at offset {task.epoch}, "
            f"with {describe_resources(task.reserved)} reserved"
        ]
    lines = [_describe_wait(task, cell)]
    if task.failed_ids:
        lines.append(f"failed on {_name(task.failed_ids)}")
    view = PlacementView.from_cell(cell, configuration, live_ids)
    return lines + _explain_members(task, view)


def _describe_wait(task, cell):
    ahead = sum(key < task.order for key in cell.pending)
    wait = f"waits for {describe_resources(task.demand)}; {ahead} tasks are ahead of it"
    if task.releases:
        wait += f"; it was released {task.releases} times"
    return wait


def _explain_members(task, view):
    ids_by_reason = {}
    for member in view.cell.members_by_id.values():
        reason = _why_not(task, member, view)
        ids_by_reason.setdefault(reason, []).append(member.instance_id)
    if not ids_by_reason:
        return ["the cell has no instance"]
    return [f"{_name(ids)}: {reason}" for reason, ids in ids_by_reason.items()]


def _why_not(task, member, view):
    """Return in words what keeps a pending task from an instance, the first of it."""
    if not member.takes_tasks:
        return "is leaving"
    if member.instance_id not in view.rooms_by_id:
        return "does not answer"
    labels = labels_of(member, view.configuration)
    work = view.cell.jobs_by_id[task.job_id].labels
    match = match_work(view.configuration, work, labels)
    if not match.allowed:
        return match.explanation
    if not task.demand.fits_in(member.capacity):
        return f"never fits, it has {describe_resources(member.capacity)} in all"
    if not task.demand.fits_in(member.room):
        return f"no room now, {describe_resources(member.room)} are free"
    return "it fits, a claim is due"


def _name(ids):
    shown = ", ".join(ids[:MAX_NAMED_INSTANCES])
    more = len(ids) - MAX_NAMED_INSTANCES
    return f"{shown} and {more} more" if more > 0 else shown
