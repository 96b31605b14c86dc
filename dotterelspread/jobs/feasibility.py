"""Admission check that refuses jobs which no worker of the cell could ever run.

A job that demands more resources than any worker has, or a label that no worker has,
would wait forever once accepted.
"""

from dataclasses import dataclass

from ..resources import Resources

__all__ = ["WorkerShape", "find_infeasible_step"]


@dataclass(slots=True, frozen=True)
class WorkerShape:
    """The properties of a worker that decide whether it could ever run a task."""

    labels: frozenset[str]
    capacity: Resources

    def can_host(self, step):
        """Tell whether an idle worker of this shape could run a task of a step."""
        has_label = not step.required_label or step.required_label in self.labels
        return has_label and step.reserved.fits_in(self.capacity)


def find_infeasible_step(spec, shapes):
    """Return the first step that no worker could run, with the reason.

    Parameters
    ----------
    spec : JobSpec
    shapes : iterable of WorkerShape
        Shapes of all known workers of the job's service. If empty, nothing is known
        and every step counts as feasible.

    Returns
    -------
    reason : str
        Empty if every step is feasible.
    """
    for number, step in enumerate(spec.steps):
        if shapes and not any(shape.can_host(step) for shape in shapes):
            label = f" with label {step.required_label}" if step.required_label else ""
            return f"step {number}: no worker{label} has room for {step.reserved}"
    return ""
