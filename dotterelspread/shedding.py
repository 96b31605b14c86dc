"""Decision which connections to give up when a byte budget is exhausted."""

from dataclasses import dataclass

__all__ = ["Holding", "choose_shed"]


@dataclass(slots=True, frozen=True)
class Holding:
    """Memory held for the request of one connection."""

    #: Rank of the connection by the time at which it was opened.
    number: int
    held_bytes: int
    #: Whether the request has been read in full; such a request is never given up.
    is_in_progress: bool = False


def choose_shed(holdings, excess_bytes):
    """Return the holdings to give up, in order, to free ``excess_bytes``.

    The unfinished request that holds the most is given up first, and among equals the
    one on the newest connection. Fewer bytes are freed when unfinished requests do not
    hold as many.

    Parameters
    ----------
    holdings : iterable of Holding
    excess_bytes : int
    """
    sheddable = [
        holding
        for holding in holdings
        if holding.held_bytes > 0 and not holding.is_in_progress
    ]
    sheddable.sort(key=lambda holding: (-holding.held_bytes, -holding.number))
    chosen = []
    for holding in sheddable:
        if excess_bytes <= 0:
            break
        chosen.append(holding)
        excess_bytes -= holding.held_bytes
    return chosen
