"""Controllers of batch work beside a service on one instance.

A controller says how many cores each batch program may use, and which task to evict
when throttling doesn't suffice. Settings name the controller; `get_controller` finds
it.
"""

from dataclasses import dataclass
from importlib import import_module

from .interference import UsageSample
from .reducer import Effect, Event, reduce

__all__ = [
    "BatchDecision",
    "BatchTask",
    "Controller",
    "ControllerError",
    "EvictTask",
    "SetBatchShare",
    "UsageReported",
    "get_controller",
]

#: Module and class of each controller, by the name that settings use.
CONTROLLERS_BY_NAME = {
    "feedback": (".controllers.feedback", "FeedbackController"),
    "fixed": (".controllers.fixed", "FixedController"),
    "none": (".controllers.none", "NoController"),
}


class ControllerError(Exception):
    """No controller has the name that was asked for."""


@dataclass(slots=True, frozen=True)
class UsageReported(Event):
    """The platform reported usage of a service on this instance, late."""

    sample: UsageSample


@dataclass(slots=True, frozen=True)
class SetBatchShare(Effect):
    """Throttle batch work on this instance."""

    #: Part of the cores that batch tasks want which they may use, 0 to 1.
    share: float
    share_by_program: dict[str, float]


@dataclass(slots=True, frozen=True)
class EvictTask(Effect):
    """Checkpoint a batch task and release it."""

    task_id: str
    reason: str


@dataclass(slots=True, frozen=True)
class BatchTask:
    """A batch task that runs on the instance.

    Parameters
    ----------
    task_id, program : str
    cores : float
        Cores that it would use if it were not throttled.
    unsaved_s : float
        Seconds of work since its last checkpoint.
    """

    task_id: str
    program: str
    cores: float
    unsaved_s: float = 0.0


@dataclass(slots=True, frozen=True)
class BatchDecision:
    """What batch work may use from now on.

    Parameters
    ----------
    share : float
        Part of the wanted cores of all batch tasks, 0 to 1.
    share_by_program : dict of str to float
        The same for each program.
    evicted : tuple of str
        Tasks to checkpoint and release.
    reason : str
        Why, in words for operators.
    """

    share: float
    share_by_program: dict[str, float]
    evicted: tuple[str, ...] = ()
    reason: str = ""

    def effects(self):
        """Return the decision as effects of the reducer."""
        evictions = [EvictTask(task_id, self.reason) for task_id in self.evicted]
        return [SetBatchShare(self.share, self.share_by_program), *evictions]


class Controller:
    """Base of all controllers; one object for each instance.

    Parameters
    ----------
    target_s : float
        Tail latency (p99) that the service should keep.
    objectives : ObjectiveConfig
    """

    #: Name that settings use.
    name = ""

    def __init__(self, target_s, objectives):
        self.target_s = target_s
        self.objectives = objectives

    @classmethod
    def from_config(cls, service, configuration):
        """Return a controller for a service of a configuration."""
        return cls(service.target_p99_s, configuration.objectives)

    def report(self, sample):
        """Take a usage report.

        Parameters
        ----------
        sample : UsageSample
        """

    def decide(self, now_s, load, tasks):
        """Return the `BatchDecision` for the next seconds.

        Parameters
        ----------
        now_s : float
        load : float
            Part of the service's slots in use now.
        tasks : list of BatchTask
            Batch tasks that run on the instance.
        """
        raise NotImplementedError


def get_controller(name):
    """Return the controller class with a name.

    Raises
    ------
    ControllerError
        When there is none.
    """
    try:
        module, attribute = CONTROLLERS_BY_NAME[name]
    except KeyError:
        known = ", ".join(sorted(CONTROLLERS_BY_NAME))
        raise ControllerError(f"no controller {name!r}; known: {known}") from None
    return getattr(import_module(module, __package__), attribute)


def cores_by_program(tasks):
    """Return the cores that the tasks of each program want together."""
    wanted = {}
    for task in tasks:
        wanted[task.program] = wanted.get(task.program, 0.0) + task.cores
    return wanted


def cheapest_victim(tasks):
    """Return the task with the least lost work per core freed."""
    return min(
        tasks,
        key=lambda task: (task.unsaved_s, -task.cores, task.task_id),
        default=None,
    )


@reduce.register
def _(event: UsageReported, state):
    state.controller.report(event.sample)
    return []
