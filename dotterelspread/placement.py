"""Which members of a cell a pending task goes to, and in which order they may take it.

Pure functions of the cell's state, the configuration and the members believed to be
alive, so members that have read the same records name the same one.
"""

import importlib
from dataclasses import dataclass, field
from zlib import crc32

from .labels import match_work
from .quarantine import Standing
from .resources import Resources

__all__ = [
    "PlacementError",
    "PlacementPolicy",
    "PlacementView",
    "get_policy",
    "is_eligible",
    "is_known_unplaceable",
    "labels_of",
    "rank_for_preemption",
    "rank_members",
    "tie_break",
]

#: Variant that places the tasks of a batch job, and of a service.
BATCH_POLICY = "bestfit"
SERVICE_POLICY = "spread"

_classes_by_name = {
    "bestfit": ("bestfit", "BestFit"),
    "spread": ("spread", "RackSpread"),
}


class PlacementError(Exception):
    """No placement policy has the name."""


class PlacementPolicy:
    """Base of the rules that order the members on which a task fits."""

    __slots__ = ()

    def score(self, task, member, room, view):
        """Return a sort key for ``member``; the smallest goes first.

        Parameters
        ----------
        task : CellTask
        member : CellMember
        room : Resources
            What the member has left, claims in progress included.
        view : PlacementView
        """
        raise NotImplementedError


def get_policy(name):
    """Return the placement policy with this name.

    Raises
    ------
    PlacementError
        When there is none.
    """
    if name not in _classes_by_name:
        raise PlacementError(f"no placement policy {name!r}")
    module_name, class_name = _classes_by_name[name]
    module = importlib.import_module(f".placements.{module_name}", __package__)
    return getattr(module, class_name)()


@dataclass(slots=True)
class PlacementView:
    """What one reader places tasks by, for the length of one plan."""

    cell: object
    configuration: object
    #: Members believed to be alive; None when all are.
    live_ids: frozenset | None = None
    #: Room of each member that may take tasks, less what the plan gave it.
    rooms_by_id: dict[str, Resources] = field(default_factory=dict)
    #: Member that the plan gave each task to.
    planned_ids: dict[str, str] = field(default_factory=dict)

    @classmethod
    def from_cell(cls, cell, configuration, live_ids=None):
        """Return a view with the room that each live member has."""
        view = cls(cell, configuration, live_ids)
        for member in cell.members_by_id.values():
            is_live = live_ids is None or member.instance_id in live_ids
            if is_live and member.accepts_tasks:
                view.rooms_by_id[member.instance_id] = member.room
        return view

    def add_room(self, member_id, amount):
        """Count ``amount`` as free on a member."""
        self.rooms_by_id[member_id] = self.rooms_by_id[member_id] + amount

    def reserve(self, task_id, member_id, amount):
        """Count ``amount`` on a member for the rest of the plan."""
        self.planned_ids[task_id] = member_id
        if member_id in self.rooms_by_id:
            self.rooms_by_id[member_id] = self.rooms_by_id[member_id] - amount


def is_eligible(work_labels, instance_labels, configuration):
    """Tell whether the selectors let work with these labels run on an instance."""
    return match_work(configuration, work_labels, instance_labels).allowed


def labels_of(member, configuration):
    """Return an instance's labels: its own, then what operators put on it."""
    return member.labels | configuration.instance_labels_by_id.get(
        member.instance_id, {}
    )


def tie_break(task_id, member_id):
    """Return a number that orders members differently for each task."""
    return crc32(f"{task_id}/{member_id}".encode())


def rank_members(task, view):
    """Return the ids of the members on which ``task`` fits, best first.

    A member where the task's program failed comes after all others.
    """
    job = view.cell.jobs_by_id[task.job_id]
    policy = _policies[SERVICE_POLICY if job.is_service else BATCH_POLICY]
    return _rank(task, view, policy.score)


def rank_for_preemption(task, view):
    """Return the ids of the members that can make room for ``task``, best first.

    ``view`` counts what may be preempted as room; the member with most of it, so the
    fewest tasks to stop, goes first.
    """
    return _rank(task, view, _least_preempted)


def _least_preempted(task, member, room, view):
    return -min(member.room.millicores, task.demand.millicores), -room.millicores


def _rank(task, view, score):
    job = view.cell.jobs_by_id[task.job_id]
    demand = task.demand
    scored = []
    for member_id, room in view.rooms_by_id.items():
        if not demand.fits_in(room):
            continue
        member = view.cell.members_by_id[member_id]
        if not _is_admitted(member, task, view.cell):
            continue
        labels = labels_of(member, view.configuration)
        if not is_eligible(job.labels, labels, view.configuration):
            continue
        key = score(task, member, room, view)
        has_failed = member_id in task.failed_ids
        scored.append((has_failed, key, tie_break(task.task_id, member_id), member_id))
    scored.sort()
    return [entry[-1] for entry in scored]


def _is_admitted(member, task, cell):
    """Tell whether quarantine lets a member have a task: in doubt, one at a time."""
    standing = cell.quarantine.standing(member.instance_id)
    if standing is Standing.OPEN:
        return True
    running = len(member.task_ids)
    if standing is Standing.SUSPECT:
        return running == 0
    return cell.quarantine.admit(
        member.instance_id, task.job_id, task.task_id, running
    ).allowed


def is_known_unplaceable(unplaceable, labels, demand):
    """Tell whether a task of the same labels and no larger size fitted nowhere."""
    return any(
        size.fits_in(demand) and unplaceable_labels == labels
        for unplaceable_labels, size in unplaceable
    )


_policies = {name: get_policy(name) for name in _classes_by_name}
