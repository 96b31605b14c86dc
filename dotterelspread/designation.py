"""Which member of a cell is to claim each pending task, fixed when it became pending.

The table changes only with the records of the cell, at their offsets. So readers name
the same member for a task however far each of them has read by the time it acts.
"""

from dataclasses import dataclass, field

from .placement import is_known_unplaceable, rank_members
from .resources import Resources

__all__ = ["Designation", "DesignationTable"]

#: Most pending tasks looked at after one record.
MAX_EXAMINED_TASKS = 128
#: Seconds after which a designation that no one acted on is made anew.
MAX_DESIGNATION_AGE_S = 10.0


@dataclass(slots=True)
class Designation:
    """The members that may claim a task, the one to do so at once first."""

    ranked_ids: list[str]
    demand: Resources
    #: When this reader made it.
    since_s: float


@dataclass(slots=True)
class DesignationTable:
    """Designations of the pending tasks, and the tasks that fit nowhere.

    Use `refresh` after each record that frees room or adds pending tasks.
    """

    by_id: dict[str, Designation] = field(default_factory=dict)
    #: Pending tasks that no member has room for, in order.
    unplaceable: list = field(default_factory=list)
    #: When a task was first seen to fit nowhere, by task.
    unplaceable_since_by_id: dict[str, float] = field(default_factory=dict)

    def refresh(self, now_s, view, gate=None):
        """Bring the table in line with the cell.

        Parameters
        ----------
        now_s : float
        view : PlacementView
            The room of the members that may take tasks; changed by the call.
        gate : TeamGate, optional
            Holds back tasks of teams at their quota; none are without it.
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
        """Drop what no one acted on, and whose first member has no room any more."""
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
