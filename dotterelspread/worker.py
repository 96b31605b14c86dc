"""Interface to the platform's worker, which runs the tasks of one instance.

`dotterelspread.workers` has an implementation for each protocol.
"""

import importlib
from dataclasses import dataclass

from .taskevent import TaskStopped, TaskUsage

__all__ = ["Worker", "WorkerError", "WorkerReport", "get_worker_class"]

_classes_by_name = {"http": ("http", "HttpWorker")}


class WorkerError(Exception):
    """The worker did not answer or answered invalidly; it may have done the request."""


@dataclass(slots=True, frozen=True)
class WorkerReport:
    """The tasks running on the worker, and those stopped since the last report."""

    usages: tuple[TaskUsage, ...]
    stopped: tuple[TaskStopped, ...]


class Worker:
    """Base class of the clients of a platform's worker.

    Effects on the same task must be performed in order, one at a time.
    """

    async def perform(self, effect):
        """Perform a `StartTask` or another effect on a task.

        Returns
        -------
        list of Event
            Events for the reducer that follow from the answer.

        Raises
        ------
        WorkerError
            When there was no valid answer; the reducer retries what is still due.
        """
        raise NotImplementedError

    async def report(self):
        """Return a `WorkerReport`.

        Raises
        ------
        WorkerError
            When there was no valid answer.
        """
        raise NotImplementedError


def get_worker_class(name):
    """Return the class of the worker client with this name.

    Raises
    ------
    WorkerError
        When there is none.
    """
    if name not in _classes_by_name:
        raise WorkerError(f"unknown worker client {name!r}")
    module_name, class_name = _classes_by_name[name]
    module = importlib.import_module(f".workers.{module_name}", __package__)
    return getattr(module, class_name)
