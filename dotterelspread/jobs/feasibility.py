"""Which jobs are refused at once, since nothing here could ever run them.

Answers jobs that ask for more than any worker has, or for a label that none has, which
would wait for good once they are accepted.
"""

from dataclasses import dataclass

from ..resources import Resources

__all__ = ["WorkerShape", "find_infeasible_step"]


@dataclass(slots=True, frozen=True)
class WorkerShape:
    """What matters of a worker for whether it could ever run a task."""

    labels: frozenset[str]
    capacity: Resources

    def can_host(self, step):
        """Tell whether an empty worker of this shape takes a task of a step."""
        has_label = not step.required_label or step.required_label in self.labels
        return has_label and step.reserved.fits_in(self.capacity)


def find_infeasible_step(spec, shapes):
    """Return which step no worker could run, and why, or an empty text.

    Parameters
    ----------
    spec : JobSpec
    shapes : iterable of WorkerShape
        Of all workers of the job's service that were ever seen; without any nothing
        is known.
    """
    for number, step in enumerate(spec.steps):
        if shapes and not any(shape.can_host(step) for shape in shapes):
            label = f" with label {step.required_label}" if step.required_label else ""
            return f"step {number}: no worker{label} has room for {step.reserved}"
    return ""
