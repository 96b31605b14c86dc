"""Weighted max-min shares of one resource among teams that also use other cells.

A team's *level* grows with the amount it holds in all cells together: from 0 to 1 while
it fills its quota, then on in proportion to its weight. `fill` raises the lowest levels
first until the cell's capacity is used up, and `fill_cells` repeats this over the cells
until the levels no longer change.
"""

from dataclasses import dataclass

__all__ = ["Claimant", "fill", "fill_cells", "round_shares"]

#: Passes over the contended cells after which the shares are taken as they are.
MAX_PASSES = 12

#: Largest change of a share, in units of the resource, that counts as none.
CONVERGENCE_TOLERANCE_UNITS = 0.5


@dataclass(slots=True)
class Claimant:
    """A team that wants some of a resource in one cell.

    Parameters
    ----------
    team : str
    demand : int
        Units that the team uses and waits for in the cell.
    quota : int
        Units of the team's quota over all cells.
    weight : float
        Units the team gains for each step of its level above its quota.
    elsewhere : float
        Units that the team has in all other cells.
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
        """Return the levels at which the share starts, speeds up or ends.

        Returns
        -------
        bends : list of (float, float)
            Level, and change there of the units gained for each step of level.
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
    """Return the units of each team, in order, so that the lowest level is highest.

    Parameters
    ----------
    claimants : list of Claimant
        In an order that every reader has alike.
    capacity : int
        Units of the resource in the cell.

    Returns
    -------
    shares : list of float
        Their sum is the smaller of the capacity and the demand.
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
    """Return whole units; what rounding leaves goes to the lowest levels first."""
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
    """Share out every cell so that the teams' levels over all cells are max-min.

    Each pass gives one cell after another its shares while those of the other cells
    stand still. Every pass uses the whole capacity of each contended cell.

    Parameters
    ----------
    claimants_by_cell : dict of str to list of Claimant
        Their ``elsewhere`` is set here.
    capacity_by_cell : dict of str to int
    fixed_by_team : dict of str to int
        Units that teams hold in cells that are not shared out.

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
    """Fill one cell in place and return the largest change of a share."""
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
