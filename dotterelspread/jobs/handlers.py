"""The reducer with all handlers of a cell's events."""

from ..reducer import reduce
from . import permits, repeating, reporting, submitting

__all__ = ["MODULES", "reduce"]

#: Modules that register the handlers.
MODULES = (permits, repeating, reporting, submitting)
