"""Events that an agent's request handling takes, and the effects that it returns."""

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
    "RunFinished",
    "RunRequested",
    "SendAnswer",
    "SendPending",
    "StartRun",
]


@dataclass(slots=True, frozen=True)
class RunRequested(Event):
    """An entry sends a request to be run."""

    request_id: str
    #: Incarnation of the agent that the entry means.
    incarnation: int
    service_name: str
    kind: str
    urgency: int
    #: Seconds on this process's monotonic clock when the answer is due.
    deadline_s: float
    #: What the daemon hands to the backend server.
    request: object = None
    idempotent: bool = True
    #: Where the daemon sends the answer.
    waiter: object = None


@dataclass(slots=True, frozen=True)
class RunFinished(Event):
    """The backend server has ended a request, and its slot is free."""

    request_id: str
    outcome: Outcome


@dataclass(slots=True, frozen=True)
class AnswerRequested(Event):
    """An entry asks how a request ended, without having it run."""

    request_id: str
    incarnation: int
    #: Whether a request not seen so far shall be refused from now on.
    fence: bool
    waiter: object = None


@dataclass(slots=True, frozen=True)
class DrainRequested(Event):
    """The instance shall take no new work and finish what it has."""


@dataclass(slots=True, frozen=True)
class AgentConfigured(Event):
    """A new configuration of the instance's service is in force."""

    service: ServiceConfig


@dataclass(slots=True, frozen=True)
class AgentTick(Tick):
    """Time has passed for the agent."""


@dataclass(slots=True, frozen=True)
class StartRun(Effect):
    """Hand a request to the backend server; a slot is taken until it ends."""

    request_id: str
    request: object
    deadline_s: float


@dataclass(slots=True, frozen=True)
class SendAnswer(Effect):
    """Send the outcome of a request to all who wait for it."""

    request_id: str
    outcome: Outcome
    waiters: tuple


@dataclass(slots=True, frozen=True)
class SendPending(Effect):
    """Tell who asked that there is no answer yet.

    When ``is_known`` holds, the waiter also stays noted for the answer, so the daemon
    may hold the reply back for as long as the asker allows.
    """

    request_id: str
    waiter: object
    is_known: bool


@dataclass(slots=True, frozen=True)
class DrainCompleted(Effect):
    """A draining instance has no requests left."""
