"""Ranking of the members of a cell on which a pending task can be placed.

The ranking is a pure function of the cell's state, the configuration and the set of
members believed to be alive, so members with the same inputs compute the same ranking.
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

#: Placement policies for the tasks of batch jobs and for the replicas of services.
BATCH_POLICY = "bestfit"
SERVICE_POLICY = "spread"

_classes_by_name = {
    "bestfit": ("bestfit", "BestFit"),
    "spread": ("spread", "RackSpread"),
}


class PlacementError(Exception):
    """The name of a placement policy is unknown."""


class PlacementPolicy:
    """Base class of the policies that rank the members on which a task fits."""

    __slots__ = ()

    def score(self, task, member, room, view):
        """Return the sort key of ``member``; the smallest key ranks first.

        Parameters
        ----------
        task : CellTask
        member : CellMember
        room : Resources
            Resources left on the member after the reservations of the current plan.
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
        raise PlacementError(f"unknown placement policy {name!r}")
    module_name, class_name = _classes_by_name[name]
    module = importlib.import_module(f".placements.{module_name}", __package__)
    return getattr(module, class_name)()


@dataclass(slots=True)
class PlacementView:
    """Inputs of one placement plan, and the reservations that it has made so far."""

    cell: object
    configuration: object
    #: Members believed to be alive; None if all are.
    live_ids: frozenset | None = None
    #: Room of each member that accepts tasks, less the reservations of the plan.
    rooms_by_id: dict[str, Resources] = field(default_factory=dict)
    #: Member on which the plan places each task.
    planned_ids: dict[str, str] = field(default_factory=dict)

    @classmethod
    def from_cell(cls, cell, configuration, live_ids=None):
        """Return a view with the current room of each live member."""
        view = cls(cell, configuration, live_ids)
        for member in cell.members_by_id.values():
            is_live = live_ids is None or member.instance_id in live_ids
            if is_live and member.accepts_tasks:
                view.rooms_by_id[member.instance_id] = member.room
        return view

    def add_room(self, member_id, amount):
        """Add ``amount`` to the room of a member."""
        self.rooms_by_id[member_id] = self.rooms_by_id[member_id] + amount

    def reserve(self, task_id, member_id, amount):
        """Place a task on a member and reserve ``amount`` for the rest of the plan."""
        self.planned_ids[task_id] = member_id
        if member_id in self.rooms_by_id:
            self.rooms_by_id[member_id] = self.rooms_by_id[member_id] - amount


def is_eligible(work_labels, instance_labels, configuration):
    """Return whether the selectors allow work with these labels on an instance."""
    return match_work(configuration, work_labels, instance_labels).allowed


def labels_of(member, configuration):
    """Return the labels of an instance; those set by operators override its own."""
    return member.labels | configuration.instance_labels_by_id.get(
        member.instance_id, {}
    )


def tie_break(task_id, member_id):
    """Return a hash that orders the members differently for each task."""
    return crc32(f"{task_id}/{member_id}".encode())


def rank_members(task, view):
    """Return the ids of the members on which ``task`` fits, best first.

    Members on which the task's program has failed rank after all others.
    """
    job = view.cell.jobs_by_id[task.job_id]
    policy = _policies[SERVICE_POLICY if job.is_service else BATCH_POLICY]
    return _rank(task, view, policy.score)


def rank_for_preemption(task, view):
    """Return the ids of the members that can preempt for ``task``, best first.

    ``view`` counts preemptible reservations as room. The member with the most free
    capacity ranks first, as it has to stop the fewest tasks.
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
    """Return whether quarantine admits a task; a suspect member gets one at a time."""
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
    """Return whether a task with the same labels and no larger size was unplaceable."""
    return any(
        size.fits_in(demand) and unplaceable_labels == labels
        for unplaceable_labels, size in unplaceable
    )


_policies = {name: get_policy(name) for name in _classes_by_name}
