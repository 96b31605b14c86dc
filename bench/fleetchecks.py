"""Checks of invariants on the runs of a simulated fleet."""

from dotterelspread.resources import Resources

__all__ = ["overlaps", "overloads"]


def overlaps(rows):
    """Return the tasks that ran twice at the same time."""
    by_task = {}
    for agent, run, start_s, stop_s in rows:
        by_task.setdefault(run.task_id, []).append((start_s, stop_s, agent))
    found = []
    for task_id, spans in by_task.items():
        spans.sort(key=lambda span: span[:2])
        for (_, stop_s, _), (start_s, _, _) in zip(spans, spans[1:], strict=False):
            if start_s < stop_s - 1e-6:
                found.append(task_id)
    return found


def overloads(rows, capacity):
    """Return the instances whose running tasks exceeded the capacity at any time."""
    by_agent = {}
    for agent, run, start_s, stop_s in rows:
        size = Resources(*run.declared)
        changes = by_agent.setdefault(agent.instance_id, [])
        changes.append((start_s, 1, size))
        changes.append((stop_s, 0, size))
    found = []
    for instance_id, changes in by_agent.items():
        used = Resources()
        for _, is_start, size in sorted(changes, key=lambda change: change[:2]):
            used = used + size if is_start else used - size
            if not used.fits_in(capacity):
                found.append(instance_id)
                break
    return found
