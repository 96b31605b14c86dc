"""Whether a team's next task may start in a cell, while one plan is made.

Quotas decide who claims and never whether a claim is valid, so that members that have
read different summaries still agree on what runs where.
"""

from .celltask import TaskPhase
from .resources import Resources

__all__ = ["TeamGate", "team_amounts"]

NO_RESOURCES = Resources()


def team_amounts(cell, phase):
    """Return what each team's tasks in a phase hold or ask for, by team.

    Parameters
    ----------
    cell : CellState
    phase : TaskPhase
        `TaskPhase.OWNED` for what is in use, `TaskPhase.PENDING` for what waits.
    """
    amounts_by_team = {}
    for task in cell.tasks_by_id.values():
        if task.phase is not phase:
            continue
        team = cell.jobs_by_id[task.job_id].team
        amount = task.reserved if phase is TaskPhase.OWNED else task.demand
        amounts_by_team[team] = amounts_by_team.get(team, NO_RESOURCES) + amount
    return amounts_by_team


class TeamGate:
    """Counts what teams hold while tasks are planned, and holds back those at quota.

    Use a new one for each plan; `reserve` each task that the plan gives a place.

    Parameters
    ----------
    cell : CellState
    cell_name : str
    quota : QuotaState
    """

    __slots__ = ("_cell", "_cell_name", "_quota", "_used_by_team")

    def __init__(self, cell, cell_name, quota):
        self._cell = cell
        self._cell_name = cell_name
        self._quota = quota
        self._used_by_team = team_amounts(cell, TaskPhase.OWNED)

    def decide(self, task):
        """Return the `StartDecision` on a pending task."""
        job = self._cell.jobs_by_id[task.job_id]
        used = self._used_by_team.get(job.team, NO_RESOURCES)
        return self._quota.may_start(
            self._cell_name, job.team, used, task.demand, task.urgency
        )

    def reserve(self, task):
        """Count a task as started for the rest of the plan."""
        team = self._cell.jobs_by_id[task.job_id].team
        self._used_by_team[team] = (
            self._used_by_team.get(team, NO_RESOURCES) + task.demand
        )
