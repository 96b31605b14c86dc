"""Summaries of cells, and the table of the latest summary of each cell.

Staleness is counted in rounds rather than seconds, so that it depends on the stream
alone. A round is as many summaries as there are cells.
"""

from dataclasses import dataclass, field

from .record import CellSummary, TeamUse
from .resources import Resources

__all__ = ["CellUse", "SummaryTable", "summarize"]

SUMMARY_INTERVAL_S = 30.0

#: Rounds without a summary after which a cell is stale and its shares are frozen.
STALE_AFTER_ROUNDS = 3

#: Rounds without a summary after which a cell is dropped from the table.
DROP_AFTER_ROUNDS = 60

NO_RESOURCES = Resources()


def summarize(cell, as_of, capacity, used_by_team, waiting_by_team):
    """Return the summary of a cell, without teams that neither use nor wait for it.

    Parameters
    ----------
    cell : str
    as_of : int
        Offset of the cell's stream at which the amounts were taken.
    capacity : Resources
    used_by_team, waiting_by_team : dict of str to Resources

    Returns
    -------
    summary : CellSummary
    """
    teams = sorted(used_by_team.keys() | waiting_by_team.keys())
    uses = [
        TeamUse(
            team,
            used_by_team.get(team, NO_RESOURCES),
            waiting_by_team.get(team, NO_RESOURCES),
        )
        for team in teams
    ]
    busy = tuple(
        use for use in uses if use.used != NO_RESOURCES or use.waiting != NO_RESOURCES
    )
    return CellSummary(cell, as_of, capacity, busy)


@dataclass(slots=True)
class CellUse:
    """The latest summary of one cell, and its position in the stream."""

    summary: CellSummary
    #: Number of summaries read before this one.
    position: int
    use_by_team: dict[str, TeamUse] = field(default_factory=dict)

    @property
    def capacity(self):
        """Capacity of the cell."""
        return self.summary.capacity

    def room(self):
        """Return the capacity that no team used."""
        room = self.summary.capacity
        for use in self.summary.teams:
            room -= use.used
        return room.at_least(NO_RESOURCES)

    def demand_by_team(self):
        """Return the resources that each team uses or waits for."""
        return {use.team: use.used + use.waiting for use in self.summary.teams}

    def used_by_team(self):
        """Return the resources that each team uses."""
        return {use.team: use.used for use in self.summary.teams}


class SummaryTable:
    """The latest summary of every cell as of an offset of the ``summary`` stream."""

    __slots__ = ("_position", "by_cell", "offset")

    def __init__(self):
        #: Latest summaries by name of the cell.
        self.by_cell = {}
        #: Offset of the last summary read; -1 for none.
        self.offset = -1
        self._position = 0

    def apply(self, offset, summary):
        """Apply the summary at ``offset``; return False if it was applied before."""
        if offset <= self.offset:
            return False
        self.offset = offset
        known = self.by_cell.get(summary.cell)
        if known is None or known.summary.as_of <= summary.as_of:
            uses = {use.team: use for use in summary.teams}
            self.by_cell[summary.cell] = CellUse(summary, self._position, uses)
        self._position += 1
        self._drop_silent()
        return True

    def is_stale(self, cell):
        """Return whether a cell is unknown or has missed too many rounds."""
        known = self.by_cell.get(cell)
        return known is None or self._rounds_since(known) >= STALE_AFTER_ROUNDS

    def _rounds_since(self, known):
        """Return the number of rounds since the cell's last summary."""
        return (self._position - 1 - known.position) / max(len(self.by_cell), 1)

    def _drop_silent(self):
        silent = [
            name
            for name, known in self.by_cell.items()
            if self._rounds_since(known) >= DROP_AFTER_ROUNDS
        ]
        for name in silent:
            del self.by_cell[name]
