"""Edge to the platform's worker, which runs the tasks of one instance.

Each wire form is a variant in `dotterelspread.workers`.
"""

import importlib
from dataclasses import dataclass

from .taskevent import TaskStopped, TaskUsage

__all__ = ["Worker", "WorkerError", "WorkerReport", "get_worker_class"]

_classes_by_name = {"http": ("http", "HttpWorker")}


class WorkerError(Exception):
    """The worker cannot be reached or gave no sense; what was asked may be done."""


@dataclass(slots=True, frozen=True)
class WorkerReport:
    """What runs on the worker, and what stopped since the previous report."""

    usages: tuple[TaskUsage, ...]
    stopped: tuple[TaskStopped, ...]


class Worker:
    """Base of the edges to a platform's worker.

    Effects on the same task must be performed in their order, one after the other.
    """

    async def perform(self, effect):
        """Perform a `StartTask` or another effect on a task.

        Returns
        -------
        list of Event
            What the answer tells, for the reducer.

        Raises
        ------
        WorkerError
            When no answer came; the reducer repeats what is still due.
        """
        raise NotImplementedError

    async def report(self):
        """Return a `WorkerReport`.

        Raises
        ------
        WorkerError
            When no answer came.
        """
        raise NotImplementedError


def get_worker_class(name):
    """Return the class of the edge with this name.

    Raises
    ------
    WorkerError
        When there is none.
    """
    if name not in _classes_by_name:
        raise WorkerError(f"no worker edge {name!r}")
    module_name, class_name = _classes_by_name[name]
    module = importlib.import_module(f".workers.{module_name}", __package__)
    return getattr(module, class_name)
