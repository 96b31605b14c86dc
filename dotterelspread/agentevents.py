"""Events and effects of an agent's request handling."""

from dataclasses import dataclass

from .configuration import ServiceConfig
from .outcome import Outcome
from .reducer import Effect, Event, Tick

__all__ = [
    "AgentConfigured",
    "AgentTick",
    "AnswerRequested",
    "DrainCompleted",
    "DrainRequested",
    "EvacuationChanged",
    "RunFinished",
    "RunRequested",
    "SendAnswer",
    "SendPending",
    "StartRun",
]


@dataclass(slots=True, frozen=True)
class RunRequested(Event):
    """An entry sent a request to be executed."""

    request_id: str
    #: Incarnation of the agent that the entry addressed.
    incarnation: int
    service_name: str
    kind: str
    urgency: int
    #: Deadline of the answer, in seconds on this process's monotonic clock.
    deadline_s: float
    #: Payload that the daemon passes to the backend server.
    request: object = None
    idempotent: bool = True
    #: Handle through which the daemon returns the answer.
    waiter: object = None


@dataclass(slots=True, frozen=True)
class RunFinished(Event):
    """The backend server finished a request, which frees its slot."""

    request_id: str
    outcome: Outcome


@dataclass(slots=True, frozen=True)
class AnswerRequested(Event):
    """An entry queried a request's outcome without running the request."""

    request_id: str
    incarnation: int
    #: Whether to refuse the request from now on if it has not been seen.
    fence: bool
    waiter: object = None


@dataclass(slots=True, frozen=True)
class DrainRequested(Event):
    """The instance is to refuse new work and finish its pending requests."""


@dataclass(slots=True, frozen=True)
class EvacuationChanged(Event):
    """The instance's data centre was evacuated or restored."""

    #: Why nothing is started; empty once the data centre is restored.
    reason: str


@dataclass(slots=True, frozen=True)
class AgentConfigured(Event):
    """A new configuration of the instance's service takes effect."""

    service: ServiceConfig


@dataclass(slots=True, frozen=True)
class AgentTick(Tick):
    """Periodic timer event of an agent."""


@dataclass(slots=True, frozen=True)
class StartRun(Effect):
    """Pass a request to the backend server; it occupies a slot until it finishes."""

    request_id: str
    request: object
    deadline_s: float


@dataclass(slots=True, frozen=True)
class SendAnswer(Effect):
    """Send the outcome of a request to all its waiters."""

    request_id: str
    outcome: Outcome
    waiters: tuple


@dataclass(slots=True, frozen=True)
class SendPending(Effect):
    """Reply to a query that there is no answer yet.

    If ``is_known`` is true, the waiter stays registered for the answer, so the daemon
    may delay the reply for as long as the query allows.
    """

    request_id: str
    waiter: object
    is_known: bool


@dataclass(slots=True, frozen=True)
class DrainCompleted(Effect):
    """A draining instance has no pending requests left."""
