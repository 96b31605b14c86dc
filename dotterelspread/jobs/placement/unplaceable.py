"""Cache of demands that found no worker during one placement pass."""

__all__ = ["UnplaceableDemands"]


class UnplaceableDemands:
    """Demands for which no worker was found during one placement pass.

    Available resources only shrink during a pass, so an equal or larger demand finds no
    worker either. This avoids repeated searches in a backlog of similar jobs. Services
    are separate, since they may use workers that other tasks may not.
    """

    __slots__ = ("_amounts_by_kind",)

    def __init__(self):
        self._amounts_by_kind = {}

    def add(self, service, step, need=None, spares_gangs=False):
        """Record that no worker of a service can take a task of the step.

        Without ``need`` no worker has the resources; with it, a `FillerDemand`, none is
        fast enough, nor would one be for a filler of the image with more processors.
        With ``spares_gangs`` that holds for all tasks but those of gangs.
        """
        kind = (service, step.is_service, step.required_label)
        kind = (*kind, _speed_kind(need), spares_gangs)
        amount = step.reserved if need is None else step.demand
        self._amounts_by_kind.setdefault(kind, []).append(amount)

    def covers(self, service, step, need):
        """Tell whether a task of the step is certain to find no worker."""
        kind = (service, step.is_service, step.required_label)
        return self._covers(kind, step, need, False) or (
            not step.is_gang and self._covers(kind, step, need, True)
        )

    def _covers(self, kind, step, need, spares_gangs):
        return self._has_smaller((*kind, None, spares_gangs), step.reserved) or (
            need is not None
            and self._has_smaller((*kind, _speed_kind(need), spares_gangs), step.demand)
        )

    def _has_smaller(self, kind, amount):
        found = self._amounts_by_kind.get(kind, ())
        return any(smaller.fits_in(amount) for smaller in found)


def _speed_kind(need):
    return need and (need.image, need.min_speed_ratio)
