"""The shares of all teams in all cells, computed from one set of summaries."""

from .configuration import TeamConfig
from .maxmin import Claimant, fill, fill_cells, round_shares
from .resources import Resources

__all__ = ["RESOURCE_NAMES", "SharePlan", "amount_above"]

RESOURCE_NAMES = Resources.__struct_fields__

NO_RESOURCES = Resources()

#: Lower bound of a team's weight, which must be positive.
MIN_WEIGHT = 1e-6


def amount_above(amount, limit):
    """Return the excess of ``amount`` over ``limit``, at least 0 of each resource."""
    return (amount - limit).at_least(NO_RESOURCES)


class SharePlan:
    """Max-min fair shares by cell and team, computed on first use.

    The shares of each resource are computed independently. In a silent cell, a team's
    share is what it used there in the last summary, which counts towards its level in
    the other cells.

    Parameters
    ----------
    teams_by_name : dict of str to TeamConfig
    by_cell : dict of str to CellUse
    silent : set of str
        Cells that have missed several rounds of summaries.
    """

    __slots__ = ("_entitlements", "_shares", "_teams_by_name", "by_cell", "silent")

    def __init__(self, teams_by_name, by_cell, silent):
        self._teams_by_name = teams_by_name
        self.by_cell = by_cell
        self.silent = silent
        self._shares = None
        self._entitlements = {}

    def config_of(self, team):
        """Return the team's configuration, with no quota if there is none."""
        return self._teams_by_name.get(team) or TeamConfig(team, NO_RESOURCES)

    def shares(self, cell):
        """Return the shares in a cell by team."""
        if self._shares is None:
            self._shares = self._share_out()
        return self._shares[cell]

    def allowance(self, cell, team):
        """Return the share of a team in a cell, which is 0 without demand."""
        if cell not in self.by_cell:
            return NO_RESOURCES
        return self.shares(cell).get(team, NO_RESOURCES)

    def entitlement(self, cell, team):
        """Return the team's share if it had unlimited demand in the cell."""
        if cell not in self.by_cell:
            return NO_RESOURCES
        if (cell, team) not in self._entitlements:
            shares = self.shares_with_demand(cell, team, self.by_cell[cell].capacity)
            self._entitlements[cell, team] = shares.get(team, NO_RESOURCES)
        return self._entitlements[cell, team]

    def shares_with_demand(self, cell, team, demand):
        """Return the cell's shares by team if ``team`` demanded ``demand``."""
        if cell in self.silent:
            return self.shares(cell)
        demands = self.by_cell[cell].demand_by_team()
        demands[team] = demand
        capacity = self.by_cell[cell].capacity
        columns = []
        for name in RESOURCE_NAMES:
            claimants = self._claimants(name, demands)
            for claimant in claimants:
                claimant.elsewhere = self._held_elsewhere(cell, claimant.team, name)
            room = getattr(capacity, name)
            columns.append(round_shares(claimants, fill(claimants, room), room))
        amounts = map(Resources, *columns)
        return dict(zip(sorted(demands), amounts, strict=True))

    def unmet_shares(self, cell, team):
        """Return the unused part of the shares of other teams with waiting tasks."""
        unmet_shares = NO_RESOURCES
        for use in self.by_cell[cell].summary.teams:
            if use.team != team and use.waiting != NO_RESOURCES:
                unmet_shares += amount_above(self.allowance(cell, use.team), use.used)
        return unmet_shares

    def _claimants(self, name, demand_by_team):
        claimants = []
        for team, demand in sorted(demand_by_team.items()):
            config = self.config_of(team)
            claimant = Claimant(
                team,
                demand=getattr(demand, name),
                quota=getattr(config.quota, name),
                weight=max(config.weight, MIN_WEIGHT),
            )
            claimants.append(claimant)
        return claimants

    def _held_elsewhere(self, cell, team, name):
        return sum(
            getattr(self.shares(other).get(team, NO_RESOURCES), name)
            for other in self.by_cell
            if other != cell
        )

    def _share_out(self):
        live = sorted(cell for cell in self.by_cell if cell not in self.silent)
        shares = {cell: self.by_cell[cell].used_by_team() for cell in self.silent}
        columns = [self._share_resource(name, live) for name in RESOURCE_NAMES]
        for cell in live:
            shares[cell] = {
                team: Resources(*(column[cell][team] for column in columns))
                for team in self.by_cell[cell].demand_by_team()
            }
        return shares

    def _share_resource(self, name, live):
        """Return the shares of one resource by live cell and team."""
        held = {}
        for cell in sorted(self.silent):
            for team, used in self.by_cell[cell].used_by_team().items():
                held[team] = held.get(team, 0) + getattr(used, name)
        claimants = {
            cell: self._claimants(name, self.by_cell[cell].demand_by_team())
            for cell in live
        }
        room = {cell: getattr(self.by_cell[cell].capacity, name) for cell in live}
        return fill_cells(claimants, room, held)
