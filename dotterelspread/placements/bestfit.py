"""Placement that fills the fullest member first."""

from ..placement import PlacementPolicy

__all__ = ["BestFit"]


class BestFit(PlacementPolicy):
    """Prefers the member with the least left after the task; use it for batch."""

    __slots__ = ()

    def score(self, task, member, room, view):
        """Return the part of the member's resources left free, summed."""
        left = room - task.demand
        capacity = member.capacity
        return (
            left.millicores / max(capacity.millicores, 1)
            + left.memory_mb / max(capacity.memory_mb, 1)
            + left.accelerators / max(capacity.accelerators, 1)
        )
