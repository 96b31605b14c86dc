"""Designation of the member that is to claim each pending task.

A designation is made when the task becomes pending. The table changes only with the
records of the cell, at their offsets, so readers designate the same member for a task
even if they have read the stream to different offsets by the time they act.
"""

from dataclasses import dataclass, field

from .placement import is_known_unplaceable, rank_members
from .resources import Resources

__all__ = ["Designation", "DesignationTable"]

#: Maximum number of pending tasks examined in one refresh.
MAX_EXAMINED_TASKS = 128
#: Age in seconds after which a designation without a claim is replaced.
MAX_DESIGNATION_AGE_S = 10.0


@dataclass(slots=True)
class Designation:
    """Ranked members that may claim a task; the first one claims it immediately."""

    ranked_ids: list[str]
    demand: Resources
    #: Time at which this reader made the designation.
    since_s: float


@dataclass(slots=True)
class DesignationTable:
    """Designations of the pending tasks, and the tasks that fit on no member.

    Call `refresh` after each record that frees room or adds pending tasks.
    """

    by_id: dict[str, Designation] = field(default_factory=dict)
    #: Pending tasks that fit on no member, in the order of the queue.
    unplaceable: list = field(default_factory=list)
    #: Time at which a task was first found unplaceable, by task.
    unplaceable_since_by_id: dict[str, float] = field(default_factory=dict)

    def refresh(self, now_s, view, gate=None):
        """Update the table to the state of the cell.

        Parameters
        ----------
        now_s : float
        view : PlacementView
            Room of the members that accept tasks; modified by the call.
        gate : TeamGate, optional
            Holds back the tasks of teams that have reached their quota.
        """
        if not view.cell.pending:
            self.by_id, self.unplaceable, self.unplaceable_since_by_id = {}, [], {}
            return
        self._drop_invalid(now_s, view)
        self.unplaceable = []
        unplaceable_shapes = []
        examined = 0
        for task in view.cell.pending_tasks():
            if examined == MAX_EXAMINED_TASKS:
                break
            if gate is not None and not gate.decide(task).allowed:
                self.by_id.pop(task.task_id, None)
                continue
            examined += 1
            if task.task_id not in self.by_id:
                self._designate(now_s, task, view, unplaceable_shapes)
            if gate is not None and task.task_id in self.by_id:
                gate.reserve(task)
        self.unplaceable_since_by_id = {
            task.task_id: self.unplaceable_since_by_id.get(task.task_id, now_s)
            for task in self.unplaceable
        }

    def _drop_invalid(self, now_s, view):
        """Drop old designations, and those whose first member no longer has room."""
        kept_by_id = {}
        for task_id, designation in self.by_id.items():
            is_old = now_s - designation.since_s > MAX_DESIGNATION_AGE_S
            if is_old or not view.cell.is_pending(task_id):
                continue
            first_id = designation.ranked_ids[0]
            room = view.rooms_by_id.get(first_id)
            if room is not None and designation.demand.fits_in(room):
                view.reserve(task_id, first_id, designation.demand)
                kept_by_id[task_id] = designation
        self.by_id = kept_by_id

    def _designate(self, now_s, task, view, unplaceable_shapes):
        labels = view.cell.jobs_by_id[task.job_id].labels
        if not is_known_unplaceable(unplaceable_shapes, labels, task.demand):
            ranked_ids = rank_members(task, view)
            if ranked_ids:
                view.reserve(task.task_id, ranked_ids[0], task.demand)
                self.by_id[task.task_id] = Designation(ranked_ids, task.demand, now_s)
                return
            unplaceable_shapes.append((labels, task.demand))
        self.unplaceable.append(task)
