"""Choice of the tasks to preempt for a team that is due capacity."""

from dataclasses import dataclass

from .configuration import Urgency
from .resources import Resources
from .shareplan import RESOURCE_NAMES

__all__ = ["PreemptionCandidate", "choose_victims"]


@dataclass(slots=True, frozen=True)
class PreemptionCandidate:
    """A running task that may be preempted."""

    task_id: str
    team: str
    size: Resources
    urgency: Urgency = Urgency.NORMAL
    #: Seconds of work since its last checkpoint.
    unsaved_s: float = 0.0


def choose_victims(excesses, candidates, missing):
    """Return the tasks to preempt so that ``missing`` gets free, cheapest first.

    A task is taken only for a resource that is missing and of which its team holds at
    least the task's size above its share.

    Parameters
    ----------
    excesses : list of Excess
        As `QuotaState.excess` returns them.
    candidates : list of Candidate
    missing : Resources
        What is wanted, less what is free and what is being freed.

    Returns
    -------
    task_ids : list of str
    """
    victims = []
    for excess in excesses:
        remaining_excess = excess.amount
        tasks = [task for task in candidates if task.team == excess.team]
        tasks.sort(key=lambda task: (task.urgency, task.unsaved_s, task.task_id))
        for task in tasks:
            if missing.fits_in(Resources()):
                return victims
            if _frees_shortage(task.size, remaining_excess, missing):
                victims.append(task.task_id)
                remaining_excess -= task.size
                missing -= task.size
    return victims


def _frees_shortage(size, remaining_excess, missing):
    """Tell whether the task frees a missing resource that its team has above share."""
    return any(
        getattr(missing, name) > 0
        and 0 < getattr(size, name) <= getattr(remaining_excess, name)
        for name in RESOURCE_NAMES
    )
