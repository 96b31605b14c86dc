"""What found no worker in one pass of placing, so that it is not looked up again."""

__all__ = ["UnplaceableDemands"]


class UnplaceableDemands:
    """Needs for which no worker was found during one pass.

    Rooms only shrink while tasks are placed, so a need that is at least as large finds
    none either. Answers a backlog of jobs, most of which are alike.
    """

    __slots__ = ("_reserved_by_kind",)

    def __init__(self):
        self._reserved_by_kind = {}

    def add(self, service, step, filler_demand=None):
        """Note that no worker of a service takes a task of the step.

        Without ``filler_demand`` because none has the room, else because none suits it.
        """
        kind = (service, step.required_label, filler_demand)
        self._reserved_by_kind.setdefault(kind, []).append(step.reserved)

    def covers(self, service, step, filler_demand):
        """Tell whether a task of the step surely finds no worker."""
        kinds = {(service, step.required_label, n) for n in (None, filler_demand)}
        reserved = step.reserved
        return any(
            smaller.fits_in(reserved)
            for kind in kinds
            for smaller in self._reserved_by_kind.get(kind, ())
        )
