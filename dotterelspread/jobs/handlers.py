"""The reducer, with the handlers of all events of a cell registered."""

from ..reducer import reduce
from . import leasesuspension, permits, repeating, reporting, submitting

__all__ = ["MODULES", "reduce"]

#: Modules that register handlers on import.
MODULES = (leasesuspension, permits, repeating, reporting, submitting)
