"""Quotas of teams across all cells: which tasks may start, borrow or preempt.

The state is a pure function of the latest summaries in the ``summary`` stream, so that
every reader computes the same allowances at the same offset. Unused quota is lent to
other teams. Its owner reclaims it because its tasks go first and may preempt.
"""

from dataclasses import dataclass

from .configuration import Urgency
from .record import CellSummary
from .reducer import Event, reduce
from .resources import Resources
from .shareplan import RESOURCE_NAMES, SharePlan, amount_above
from .summary import STALE_AFTER_ROUNDS, SummaryTable

__all__ = ["Excess", "QuotaState", "StartDecision", "SummaryRead"]

NO_RESOURCES = Resources()

#: Recalculations of the shares in each round, in which every cell sends one summary.
RECALCULATIONS_PER_ROUND = 2


@dataclass(slots=True, frozen=True)
class SummaryRead(Event):
    """A summary of a cell was read from the ``summary`` stream."""

    offset: int
    summary: CellSummary


@dataclass(slots=True, frozen=True)
class StartDecision:
    """Whether a task of a team may start now in a cell, and why."""

    allowed: bool
    #: Whether tasks of teams above their allowance may be preempted for this task.
    may_preempt: bool
    reason: str


@dataclass(slots=True, frozen=True)
class Excess:
    """The resources that a team holds above its allowance in one cell."""

    team: str
    amount: Resources


class QuotaState:
    """Shares of all teams as of an offset of the ``summary`` stream.

    Every process that starts tasks or explains why they wait keeps one instance. The
    offsets at which shares are recalculated depend on the stream alone.

    Parameters
    ----------
    teams_by_name : dict of str to TeamConfig
    """

    __slots__ = ("_plan", "_table", "_teams_by_name")

    def __init__(self, teams_by_name):
        self._teams_by_name = dict(teams_by_name)
        self._table = SummaryTable()
        self._plan = SharePlan(self._teams_by_name, {}, set())

    @classmethod
    def from_config(cls, configuration):
        """Return a state without summaries for the teams of a configuration."""
        return cls(configuration.teams_by_name)

    def configure(self, configuration):
        """Use the teams of a later configuration; keep the summaries."""
        self._teams_by_name = dict(configuration.teams_by_name)
        self._recalculate()

    @property
    def offset(self):
        """Offset of the last summary applied; -1 for none."""
        return self._table.offset

    def apply(self, offset, summary):
        """Apply the summary at ``offset``; ignore one that was applied before."""
        before = self._table.offset
        if not self._table.apply(offset, summary):
            return
        cells = len(self._table.by_cell)
        due = RECALCULATIONS_PER_ROUND * offset // cells
        if due != RECALCULATIONS_PER_ROUND * before // cells:
            self._recalculate()

    def _recalculate(self):
        """Replace the share plan by one for the summaries applied so far."""
        by_cell = dict(self._table.by_cell)
        silent = {cell for cell in by_cell if self._table.is_stale(cell)}
        self._plan = SharePlan(self._teams_by_name, by_cell, silent)

    def is_stale(self, cell):
        """Return whether a cell's shares are frozen after missing summaries."""
        return cell in self._plan.silent

    def allowance(self, cell, team):
        """Return the team's share of the cell for the demand reported by all teams.

        The allowances of all teams together do not exceed the cell's capacity.
        """
        return self._plan.allowance(cell, team)

    def entitlement(self, cell, team):
        """Return the share of the cell that the team would get with unlimited demand.

        It also covers tasks that were submitted after the last summary.
        """
        return self._plan.entitlement(cell, team)

    def may_start(self, cell, team, used, asked, urgency=Urgency.NORMAL):
        """Decide whether a task may start in a cell.

        Parameters
        ----------
        cell, team : str
        used : Resources
            Resources that the team holds in the cell now.
        asked : Resources
            Resources that the task would add.
        urgency : Urgency
            An urgent task within its team's share may preempt at once.

        Returns
        -------
        decision : StartDecision
        """
        plan = self._plan
        if cell not in plan.by_cell:
            return StartDecision(True, False, f"no summary of cell {cell} yet")
        short = _exhausted_resource(used, plan.entitlement(cell, team), asked)
        if not short:
            is_below_allowance = (
                amount_above(plan.allowance(cell, team), used) != NO_RESOURCES
            )
            preempts = urgency >= Urgency.URGENT or is_below_allowance
            return StartDecision(True, preempts, f"{team} is within its share")
        available = plan.by_cell[cell].room() - plan.unmet_shares(cell, team)
        if asked.fits_in(available):
            return StartDecision(True, False, f"{team} borrows idle capacity")
        return StartDecision(
            False,
            False,
            f"{team} holds its whole share of {short} in {cell}, "
            "and the rest is in use or reserved for teams below their shares",
        )

    def excess(self, cell, used_by_team, team=None, asked=NO_RESOURCES):
        """Return the teams above their allowance, the one furthest above it first.

        A task may be preempted only if its team stays at or above its allowance without
        it, so that preemption never puts a team below its share.

        Parameters
        ----------
        cell : str
        used_by_team : dict of str to Resources
            Resources that each team holds in the cell now.
        team : str or None
            Team for whose task capacity is needed; it is not among those returned.
        asked : Resources
            Amount needed, added to the demand of ``team``.

        Returns
        -------
        excesses : list of Excess
        """
        if cell not in self._plan.by_cell:
            return []
        shares = self._plan.shares(cell)
        if team is not None:
            demand = used_by_team.get(team, NO_RESOURCES) + asked
            shares = self._plan.shares_with_demand(cell, team, demand)
        excesses = [
            Excess(name, amount_above(used, shares.get(name, NO_RESOURCES)))
            for name, used in sorted(used_by_team.items())
            if name != team
        ]
        capacity = self._plan.by_cell[cell].capacity
        found = [excess for excess in excesses if excess.amount != NO_RESOURCES]
        return sorted(found, key=lambda e: -_dominant_share(e.amount, capacity))

    def explain(self, team):
        """Return a text with what the team holds, its share, and why its tasks wait."""
        used, waiting, share = NO_RESOURCES, NO_RESOURCES, NO_RESOURCES
        waits = []
        for cell, known in sorted(self._plan.by_cell.items()):
            share += self.allowance(cell, team)
            use = known.use_by_team.get(team)
            if use is None:
                continue
            used += use.used
            waiting += use.waiting
            if use.waiting != NO_RESOURCES:
                waits.append(self._explain_wait(cell, team, use))
        lines = [
            f"{team} holds {describe(used)}; its share now is {describe(share)} "
            f"and its quota {describe(self._plan.config_of(team).quota)}."
        ]
        if waits:
            lines.append(f"It waits for {describe(waiting)}:")
        return "\n".join(lines + waits)

    def _explain_wait(self, cell, team, use):
        amount = f"  {cell}: {describe(use.waiting)}"
        if cell in self._plan.silent:
            return f"{amount}; the cell has been silent for {STALE_AFTER_ROUNDS} rounds"
        short = _exhausted_resource(use.used, self.allowance(cell, team), use.waiting)
        if short:
            return f"{amount}; the team's whole share of {short} there is in use"
        if use.waiting.fits_in(self._plan.by_cell[cell].room()):
            return f"{amount}; no single worker has room yet"
        return f"{amount}; work of teams above their share is to be preempted for it"


def describe(amount):
    """Return an amount of resources as text for operators."""
    parts = [f"{amount.millicores / 1000:g} cores", f"{amount.memory_mb} MB"]
    if amount.accelerators:
        parts.append(f"{amount.accelerators} accelerators")
    return ", ".join(parts)


def _exhausted_resource(used, limit, asked):
    """Return the first requested resource whose limit is reached, or ``""``."""
    for name in RESOURCE_NAMES:
        if getattr(asked, name) > 0 and getattr(used, name) >= getattr(limit, name):
            return name
    return ""


def _dominant_share(amount, capacity):
    """Return the largest ratio of the amount to the capacity over all resources."""
    return max(
        getattr(amount, name) / max(getattr(capacity, name), 1)
        for name in RESOURCE_NAMES
    )


@reduce.register
def _(event: SummaryRead, state):
    state.quota.apply(event.offset, event.summary)
    return []
