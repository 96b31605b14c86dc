"""The one reducer over all events of a process.

`reduce` changes the state that it is given and returns effects as data; the daemon
performs them. Modules register a handler for each of their events::

    @reduce.register
    def _(event: Tick, state):
        return [...]

Time is a field of the event, and randomness comes from a generator in the state, so
that the same events always give the same effects.
"""

from dataclasses import dataclass
from functools import singledispatch

__all__ = ["Effect", "Event", "ReducerError", "Tick", "reduce"]


class ReducerError(Exception):
    """An event has no handler."""


@dataclass(slots=True, frozen=True)
class Event:
    """Something that happened.

    Parameters
    ----------
    now_s : float
        Seconds on the process's monotonic clock when it happened.
    """

    now_s: float


@dataclass(slots=True, frozen=True)
class Effect:
    """Something that the process shall do."""


@dataclass(slots=True, frozen=True)
class Tick(Event):
    """Time has passed; sent several times a second."""


@singledispatch
def reduce(event, state):
    """Apply ``event`` to ``state`` and return the list of effects.

    Raises
    ------
    ReducerError
        When no module has registered a handler for the event's type.
    """
    raise ReducerError(f"no handler for {type(event).__name__}")
