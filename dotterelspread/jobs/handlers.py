"""The reducer, with the handlers of all events of a cell registered."""

from ..reducer import reduce
from . import evacuation, leasesuspension, permits, repeating, reporting, submitting

__all__ = ["MODULES", "reduce"]

#: Modules that register handlers on import.
MODULES = (evacuation, leasesuspension, permits, repeating, reporting, submitting)
