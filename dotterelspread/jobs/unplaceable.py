"""Cache of demands that found no worker during one placement pass."""

__all__ = ["UnplaceableDemands"]


class UnplaceableDemands:
    """Demands for which no worker was found during one placement pass.

    Available resources only shrink during a pass, so an equal or larger demand finds no
    worker either. This avoids repeated searches in a backlog of similar jobs. Services
    are separate, since they may use workers that other tasks may not.
    """

    __slots__ = ("_reserved_by_kind",)

    def __init__(self):
        self._reserved_by_kind = {}

    def add(self, service, step, need=None):
        """Record that no worker of a service can take a task of the step.

        Without ``need`` no worker has the resources; with it, none is fast enough.
        """
        kind = (service, step.is_service, step.required_label, need)
        self._reserved_by_kind.setdefault(kind, []).append(step.reserved)

    def covers(self, service, step, need):
        """Tell whether a task of the step is certain to find no worker."""
        kinds = {
            (service, step.is_service, step.required_label, n) for n in (None, need)
        }
        reserved = step.reserved
        return any(
            smaller.fits_in(reserved)
            for kind in kinds
            for smaller in self._reserved_by_kind.get(kind, ())
        )
