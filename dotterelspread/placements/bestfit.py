"""Best-fit placement: fills the fullest member first."""

from ..placement import PlacementPolicy

__all__ = ["BestFit"]


class BestFit(PlacementPolicy):
    """Prefers the member with the least room left after the task; for batch jobs."""

    __slots__ = ()

    def score(self, task, member, room, view):
        """Return the sum over all resources of the fraction left free."""
        left = room - task.demand
        capacity = member.capacity
        return (
            left.millicores / max(capacity.millicores, 1)
            + left.memory_mb / max(capacity.memory_mb, 1)
            + left.accelerators / max(capacity.accelerators, 1)
        )
