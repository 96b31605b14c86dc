"""Interface between an agent and its worker; adapters subclass `WorkerAdapter`."""

import enum
from dataclasses import dataclass

from ..resources import Resources
from .agentreport import EndedRun, RunningTask

__all__ = [
    "Announcement",
    "Listing",
    "StartAnswer",
    "WorkerAdapter",
    "WorkerFencedError",
    "WorkerGoneError",
    "WorkerReplyError",
    "WorkerUnsentError",
]


class WorkerReplyError(Exception):
    """The worker did not reply, or its reply is invalid."""


class WorkerUnsentError(WorkerReplyError):
    """The call did not reach the worker; it was not executed."""


class WorkerGoneError(WorkerUnsentError):
    """Nothing or another incarnation runs at the worker's address."""


class WorkerFencedError(WorkerReplyError):
    """The worker has seen a higher fencing token; the call changed nothing."""


class StartAnswer(enum.Enum):
    """Reply of a worker to an order to start or stop a run."""

    RUNNING = enum.auto()
    #: The worker has seen a higher fencing token.
    FENCED = enum.auto()
    #: The run, or a later run of its task, has already ended or been stopped.
    OUTDATED = enum.auto()
    #: The lease that came with the order has expired.
    EXPIRED = enum.auto()
    #: The order was not executed, for reasons of the worker.
    REFUSED = enum.auto()
    #: The worker has no room for the task.
    NO_ROOM = enum.auto()
    #: The step may not run on the worker, or its permit has expired.
    NOT_PERMITTED = enum.auto()
    #: The worker cannot read the order.
    INVALID = enum.auto()
    #: Another incarnation of the worker answered.
    OTHER_INCARNATION = enum.auto()


@dataclass(slots=True, frozen=True)
class Announcement:
    """Heartbeat of a worker."""

    worker_id: str
    #: Start time of this incarnation in milliseconds since 1970.
    born_ms: int
    #: Increases with each heartbeat of an incarnation.
    sequence: int
    service: str
    address: str
    data_centre: str
    labels: frozenset[str]
    rack: str
    capacity: Resources
    is_draining: bool
    #: For how long the worker stays slow after a start; 0 if it is not.
    cold_ms: int = 0


@dataclass(slots=True, frozen=True)
class Listing:
    """Running tasks of a worker, and ended runs that are not acknowledged yet."""

    born_ms: int
    #: The worker's clock at its reply.
    clock_ms: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedRun, ...]


class WorkerAdapter:
    """Base class of worker adapters; all times are on the worker's clock."""

    async def start(self, worker_id, token, order, until_ms):
        """Order a run to start and return ``(StartAnswer, clock_ms)``.

        Raises
        ------
        WorkerReplyError
            The outcome is unknown; the order may still be executed.
        """
        raise NotImplementedError

    async def stop(self, worker_id, token, order):
        """Order a run to stop and return ``(StartAnswer, clock_ms)``."""
        raise NotImplementedError

    async def hold(self, worker_id, token, seen, until_ms, wait_ms):
        """Extend the lease of all runs and return a `Listing`.

        Parameters
        ----------
        worker_id : str
            Expected worker; empty for any.
        token : int
            Fencing token.
        seen : int
            Number up to which the worker may discard ended runs. Not sent on a
            connection that may reach another incarnation of the worker.
        until_ms : int
            End of the lease; 0 leaves it as it is. Not sent on such a connection
            either.
        wait_ms : int
            Longest time that the worker waits for the end of a run before it replies;
            0 on such a connection.
        """
        raise NotImplementedError

    async def pace(self, worker_id, token, task_id, run, percent):
        """Limit a run to a percentage of its full speed."""
        raise NotImplementedError
