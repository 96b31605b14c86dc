"""The worker beside an agent, as the agent uses it; the edge to it is a subclass."""

import enum
from dataclasses import dataclass

from ..resources import Resources
from .worker import EndedRun, RunningTask

__all__ = [
    "Announcement",
    "Listing",
    "StartAnswer",
    "WorkerAdapter",
    "WorkerReplyError",
]


class WorkerReplyError(Exception):
    """The worker gave no answer, or one that makes no sense."""


class StartAnswer(enum.Enum):
    """What a worker answers to the order to start a run."""

    RUNNING = enum.auto()
    #: A higher fencing token was used on the worker.
    FENCED = enum.auto()
    #: The run ended or was stopped there, or a later one did.
    OUTDATED = enum.auto()
    #: The lease that came with the order has expired.
    EXPIRED = enum.auto()
    #: Nothing was done.
    REFUSED = enum.auto()
    #: Another incarnation of the worker answered.
    OTHER_INCARNATION = enum.auto()


@dataclass(slots=True, frozen=True)
class Announcement:
    """What a worker says of itself in a heartbeat."""

    worker_id: str
    #: Start of this incarnation in milliseconds since 1970.
    born_ms: int
    #: Rises with each heartbeat of an incarnation.
    sequence: int
    service: str
    address: str
    data_centre: str
    labels: frozenset[str]
    rack: str
    capacity: Resources
    is_draining: bool


@dataclass(slots=True, frozen=True)
class Listing:
    """What a worker runs, and which runs have ended and are not acknowledged."""

    born_ms: int
    #: The worker's clock as it answered.
    clock_ms: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedRun, ...]


class WorkerAdapter:
    """Base of the edges to a worker; all times are on the worker's clock."""

    async def start(self, worker_id, order, until_ms):
        """Order a run and return ``(StartAnswer, clock_ms)``.

        Raises
        ------
        WorkerSilentError
            The order may be carried out, now or later.
        """
        raise NotImplementedError

    async def stop(self, worker_id, order):
        """Order the end of a run and return ``(StartAnswer, clock_ms)``."""
        raise NotImplementedError

    async def hold(self, worker_id, epoch, seen, until_ms, wait_ms):
        """Extend the lease of all runs and return a `Listing`.

        Parameters
        ----------
        worker_id : str
            Life that is meant; empty for any.
        epoch : int
            Fencing token.
        seen : int
            Number up to which the worker may forget ends; not sent on a connection
            that may reach another incarnation of the worker.
        until_ms : int
            End of the lease; 0 leaves it as it is.
        wait_ms : int
            How long the worker may wait for an end before it answers.
        """
        raise NotImplementedError

    async def pace(self, worker_id, epoch, task_id, run, percent):
        """Let a run work at a share of its speed, in percent."""
        raise NotImplementedError
