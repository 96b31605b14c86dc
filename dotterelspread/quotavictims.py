"""Choice of the tasks to preempt for a team that is below its share."""

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
    """Return the tasks to preempt to free ``missing``, the cheapest of each team first.

    A task is chosen only if it frees a missing resource and leaves its team at or above
    its share of that resource.

    Parameters
    ----------
    excesses : list of Excess
        As `QuotaState.excess` returns them.
    candidates : list of PreemptionCandidate
    missing : Resources
        Resources needed beyond those that are free or being freed.

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
    """Return whether a task of this size frees a missing resource held in excess."""
    return any(
        getattr(missing, name) > 0
        and 0 < getattr(size, name) <= getattr(remaining_excess, name)
        for name in RESOURCE_NAMES
    )
