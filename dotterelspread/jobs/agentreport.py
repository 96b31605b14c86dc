"""What an agent reports of its worker: its state, its runs and their ends."""

from dataclasses import dataclass

from ..resources import Resources

__all__ = [
    "MAX_LISTED_ENDS",
    "AgentReport",
    "EndedRun",
    "RunEnd",
    "RunningTask",
]

#: Largest number of ended runs in a listing. A listing of this size may be truncated.
MAX_LISTED_ENDS = 500


class RunEnd:
    """How a run on a worker ended."""

    COMPLETED = "completed"
    FAILED = "failed"
    STOPPED = "stopped"
    #: The worker's lease expired.
    LEASE_EXPIRED = "lapsed"
    #: Another member of the gang ended.
    GANG_MEMBER_ENDED = "broken"
    #: The other members of the gang did not start in time.
    GANG_TIMED_OUT = "alone"


@dataclass(slots=True, frozen=True)
class RunningTask:
    """An entry of a worker's list of running tasks."""

    task_id: str
    run: int
    checkpoint: str
    #: Progress of a batch task; level of activity of a serving task.
    percent: int
    #: Tail latency in milliseconds of a serving task; millicores in use of other tasks.
    figure: int
    #: Pace that was ordered for the run, in percent of its full speed.
    pace: int = 100


@dataclass(slots=True, frozen=True)
class EndedRun:
    """An entry of a worker's list of ended runs."""

    #: Sequence number of the end within this incarnation of the worker.
    number: int
    task_id: str
    run: int
    #: One of `RunEnd`.
    how: str
    checkpoint: str


@dataclass(slots=True, frozen=True)
class AgentReport:
    """State of a worker as reported by its agent."""

    agent_address: str
    worker_id: str
    #: Start of the worker's current incarnation, in milliseconds since 1970.
    born_ms: int
    service: str
    data_centre: str
    labels: frozenset[str]
    rack: str
    capacity: Resources
    is_reachable: bool
    is_draining: bool
    #: Whether this incarnation of the worker has shut down.
    has_left: bool
    #: Whether its process is not there any more, after a shutdown or a crash.
    is_gone: bool
    #: Agent's clock just before it requested the two lists from the worker.
    listed_ms: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedRun, ...]
    #: For how long the worker stays slow after a start; 0 if it is not.
    cold_ms: int = 0
    #: Whether runs have ended that are not in `ended`.
    has_more_ends: bool = False
