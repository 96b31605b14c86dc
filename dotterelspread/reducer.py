"""The reducer for all events of a process.

`reduce` updates the given state in place and returns effects as data, which the daemon
performs. Modules register a handler for each of their events::

    @reduce.register
    def _(event: Tick, state):
        return [...]

Time is a field of the event, and randomness comes from a generator in the state, so
that the same events always produce the same effects.
"""

from dataclasses import dataclass
from functools import singledispatch

__all__ = ["Effect", "Event", "ReducerError", "Tick", "reduce"]


class ReducerError(Exception):
    """No handler is registered for an event."""


@dataclass(slots=True, frozen=True)
class Event:
    """Base class of events.

    Parameters
    ----------
    now_s : float
        Seconds on the process's monotonic clock when it happened.
    """

    now_s: float


@dataclass(slots=True, frozen=True)
class Effect:
    """Base class of effects: actions that the process performs."""


@dataclass(slots=True, frozen=True)
class Tick(Event):
    """Periodic timer event, dispatched several times a second."""


@singledispatch
def reduce(event, state):
    """Apply ``event`` to ``state`` and return the list of effects.

    Raises
    ------
    ReducerError
        When no module has registered a handler for the event's type.
    """
    raise ReducerError(f"no handler registered for event type {type(event).__name__}")
