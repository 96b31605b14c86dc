"""Weighted max-min fair shares of one resource among teams that also use other cells.

A team's *level* measures the amount it holds in all cells together. It rises from 0 to
1 as the team uses up its quota, and from there by 1 for every ``weight`` units. `fill`
raises the lowest levels first until the cell's capacity is used up (progressive
filling), and `fill_cells` repeats this over all cells until the shares converge.
"""

from dataclasses import dataclass

__all__ = ["Claimant", "fill", "fill_cells", "round_shares"]

#: Passes over all cells after which the shares are used even if they still change.
MAX_PASSES = 12

#: Largest change of a share in one pass at which the shares count as converged.
CONVERGENCE_TOLERANCE_UNITS = 0.5


@dataclass(slots=True)
class Claimant:
    """A team with demand for a resource in one cell.

    Parameters
    ----------
    team : str
    demand : int
        Units that the team uses or waits for in the cell.
    quota : int
        Units of the team's quota across all cells.
    weight : float
        Units by which 1 is added to the level above the quota.
    elsewhere : float
        Units that the team holds in all other cells.
    """

    team: str
    demand: int
    quota: int = 0
    weight: float = 1.0
    elsewhere: float = 0.0

    def level(self, total):
        """Return the level of the team when it holds ``total`` units."""
        if total < self.quota:
            return total / self.quota
        return 1.0 + (total - self.quota) / self.weight

    def share_at(self, level):
        """Return the units in this cell that bring the team up to ``level``."""
        if level < 1.0:
            total = self.quota * level
        else:
            total = self.quota + self.weight * (level - 1.0)
        return min(max(total - self.elsewhere, 0.0), float(self.demand))

    def breakpoints(self):
        """Return the points at which the share as a function of level changes slope.

        Returns
        -------
        bends : list of (float, float)
            Level, and the change of slope there, in units per level.
        """
        start = self.level(self.elsewhere)
        end = self.level(self.elsewhere + self.demand)
        if end <= 1.0:
            return [(start, self.quota), (end, -self.quota)]
        if start >= 1.0:
            return [(start, self.weight), (end, -self.weight)]
        return [
            (start, self.quota),
            (1.0, self.weight - self.quota),
            (end, -self.weight),
        ]


def fill(claimants, capacity):
    """Return the max-min fair share of each claimant, in the order given.

    Parameters
    ----------
    claimants : list of Claimant
        In an order that is the same for every reader.
    capacity : int
        Units of the resource in the cell.

    Returns
    -------
    shares : list of float
        Units; their sum is the smaller of the capacity and the total demand.
    """
    if sum(claimant.demand for claimant in claimants) <= capacity:
        return [float(claimant.demand) for claimant in claimants]
    if capacity <= 0:
        return [0.0] * len(claimants)
    level = _saturation_level(claimants, capacity)
    return [claimant.share_at(level) for claimant in claimants]


def _saturation_level(claimants, capacity):
    """Return the level at which the shares add up to the capacity."""
    breakpoints = sorted(
        breakpoint_level
        for claimant in claimants
        for breakpoint_level in claimant.breakpoints()
    )
    level, total, slope = breakpoints[0][0], 0.0, 0.0
    for breakpoint_level, change in breakpoints:
        gained = slope * (breakpoint_level - level)
        if total + gained >= capacity:
            break
        total += gained
        slope += change
        level = breakpoint_level
    return level + (capacity - total) / slope


def round_shares(claimants, shares, capacity):
    """Return the shares in whole units; the rest goes to the lowest levels first."""
    whole = [int(share) for share in shares]
    wanted = sum(claimant.demand for claimant in claimants)
    spare = min(capacity, wanted) - sum(whole)
    order = sorted(
        range(len(claimants)),
        key=lambda index: (
            claimants[index].level(claimants[index].elsewhere + whole[index]),
            claimants[index].team,
        ),
    )
    while spare > 0:
        for index in order:
            if spare > 0 and whole[index] < claimants[index].demand:
                whole[index] += 1
                spare -= 1
    return whole


def fill_cells(claimants_by_cell, capacity_by_cell, fixed_by_team):
    """Return shares of all cells for which the teams' levels are max-min fair.

    Each pass recomputes the shares of one cell after another, with those of the other
    cells held constant. Every pass allots the whole capacity of each contended cell.

    Parameters
    ----------
    claimants_by_cell : dict of str to list of Claimant
        Their ``elsewhere`` is overwritten.
    capacity_by_cell : dict of str to int
    fixed_by_team : dict of str to int
        Units that teams hold in cells whose shares are not computed.

    Returns
    -------
    shares_by_cell : dict of str to dict of str to int
    """
    totals = dict(fixed_by_team)
    shares_by_cell = {}
    for cell, claimants in sorted(claimants_by_cell.items()):
        shares_by_cell[cell] = [0.0] * len(claimants)
    for _ in range(MAX_PASSES):
        largest_change = 0.0
        for cell, shares in shares_by_cell.items():
            claimants = claimants_by_cell[cell]
            change = _refill_cell(claimants, shares, capacity_by_cell[cell], totals)
            largest_change = max(largest_change, change)
        if largest_change <= CONVERGENCE_TOLERANCE_UNITS:
            break
    return {
        cell: _rounded(claimants_by_cell[cell], shares, capacity_by_cell[cell])
        for cell, shares in shares_by_cell.items()
    }


def _refill_cell(claimants, shares, capacity, totals):
    """Recompute one cell's shares in place; return the largest change of a share."""
    for claimant, share in zip(claimants, shares, strict=True):
        claimant.elsewhere = max(totals.get(claimant.team, 0.0) - share, 0.0)
    filled = fill(claimants, capacity)
    largest_change = 0.0
    for index, claimant in enumerate(claimants):
        largest_change = max(largest_change, abs(filled[index] - shares[index]))
        totals[claimant.team] = claimant.elsewhere + filled[index]
        shares[index] = filled[index]
    return largest_change


def _rounded(claimants, shares, capacity):
    whole = round_shares(claimants, shares, capacity)
    return {
        claimant.team: share for claimant, share in zip(claimants, whole, strict=True)
    }
