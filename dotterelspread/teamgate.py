"""Decides whether a team's task may start in a cell while tasks are being planned.

Quotas decide which tasks are claimed but never whether a claim is valid. Members that
have read different summaries therefore still agree on which task runs where.
"""

from .celltask import TaskPhase
from .resources import Resources

__all__ = ["TeamGate", "team_amounts"]

NO_RESOURCES = Resources()


def team_amounts(cell, phase):
    """Return the resources of the tasks in a phase, by team.

    Parameters
    ----------
    cell : CellState
    phase : TaskPhase
        `TaskPhase.OWNED` for resources in use, `TaskPhase.PENDING` for resources that
        tasks wait for.
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
    """Applies team quotas while a plan places tasks.

    Create one for each plan, and call `reserve` for each task that the plan places.

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
        """Count a task as started for the rest of this plan."""
        team = self._cell.jobs_by_id[task.job_id].team
        self._used_by_team[team] = (
            self._used_by_team.get(team, NO_RESOURCES) + task.demand
        )
