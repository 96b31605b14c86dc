"""Effects of the cell's reducer that only report a decision; `effectlog` logs them."""

from dataclasses import dataclass

from ..reducer import Effect
from .worker import Worker

__all__ = [
    "ReservationsMade",
    "StartWithdrawn",
    "TaskGivenUp",
    "WorkerCrashed",
    "WorkerGivenUp",
    "WorkerReturned",
]


@dataclass(slots=True, frozen=True)
class WorkerGivenUp(Effect):
    """Report that a silent worker's lease is over and that its runs start elsewhere."""

    worker: Worker
    task_ids: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class WorkerReturned(Effect):
    """Log that a worker that had been given up has not crashed."""

    worker_id: str
    agent_address: str
    #: Number of runs for which no crash is counted.
    runs: int


@dataclass(slots=True, frozen=True)
class WorkerCrashed(Effect):
    """Log that a worker crashed under its runs."""

    worker_id: str
    agent_address: str
    #: Tasks that had just been started there, with their numbers of early crashes.
    suspects: tuple[tuple[str, int], ...]
    #: Number of other batch runs on the worker.
    others: int


@dataclass(slots=True, frozen=True)
class TaskGivenUp(Effect):
    """Log that a job fails since a task of it crashed too many workers."""

    task_id: str
    #: Worker that crashed last.
    worker_id: str
    early_crashes: int
    crashes: int


@dataclass(slots=True, frozen=True)
class StartWithdrawn(Effect):
    """Log that the end of a task waits until another run of it cannot start."""

    task_id: str
    run: int
    worker_id: str


@dataclass(slots=True, frozen=True)
class ReservationsMade(Effect):
    """Log and count new reservations and the use of reserved room by others."""

    #: Job id, step key and seconds until the start, of each new one.
    made: tuple[tuple[str, tuple[int, int], float], ...]
    #: Number of starts on workers with reservations of other jobs.
    backfills: int
