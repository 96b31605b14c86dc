"""Placement that spreads the replicas of a service over racks and members."""

from ..placement import PlacementPolicy

__all__ = ["RackSpread"]


class RackSpread(PlacementPolicy):
    """Prefers the rack, then the member, with the fewest replicas of the same job."""

    __slots__ = ()

    def score(self, task, member, room, view):
        """Return the replicas in the member's rack and on it, and its negated room."""
        cell = view.cell
        in_rack = on_member = 0
        for other_id in cell.jobs_by_id[task.job_id].task_ids:
            owner_id = cell.tasks_by_id[other_id].owner_id
            owner_id = owner_id or view.planned_ids.get(other_id, "")
            owner = cell.members_by_id.get(owner_id)
            if owner is not None:
                in_rack += owner.rack == member.rack
                on_member += owner_id == member.instance_id
        return in_rack, on_member, -room.millicores
