"""Controllers that limit the batch tasks running beside a service on one instance.

A controller decides how many cores each batch program may use, and which task to evict
when throttling does not suffice. Settings name the controller, and `get_controller`
returns its class.
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
    """There is no controller with the given name."""


@dataclass(slots=True, frozen=True)
class UsageReported(Event):
    """Usage of the service on this instance was reported for a past interval."""

    sample: UsageSample


@dataclass(slots=True, frozen=True)
class SetBatchShare(Effect):
    """Throttle batch work on this instance."""

    #: Fraction of the cores wanted by batch tasks that they may use, 0 to 1.
    share: float
    #: The same fraction for each program.
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
        Cores that the task would use without throttling.
    unsaved_s : float
        Seconds of work since its last checkpoint.
    """

    task_id: str
    program: str
    cores: float
    unsaved_s: float = 0.0


@dataclass(slots=True, frozen=True)
class BatchDecision:
    """Limits on batch tasks until the next decision.

    Parameters
    ----------
    share : float
        Fraction of the cores wanted by all batch tasks, 0 to 1.
    share_by_program : dict of str to float
        The same fraction for each program.
    evicted : tuple of str
        Ids of the tasks to checkpoint and release.
    reason : str
        Explanation for operators.
    """

    share: float
    share_by_program: dict[str, float]
    evicted: tuple[str, ...] = ()
    reason: str = ""

    def effects(self):
        """Return the decision as reducer effects."""
        evictions = [EvictTask(task_id, self.reason) for task_id in self.evicted]
        return [SetBatchShare(self.share, self.share_by_program), *evictions]


class Controller:
    """Base class of controllers; each instance has one object.

    Parameters
    ----------
    target_s : float
        Target for the service's tail latency (p99).
    objectives : ObjectiveConfig
    """

    #: Name by which settings select the controller.
    name = ""

    def __init__(self, target_s, objectives):
        self.target_s = target_s
        self.objectives = objectives

    @classmethod
    def from_config(cls, service, configuration):
        """Return a controller for a service of a configuration."""
        return cls(service.target_p99_s, configuration.objectives)

    def report(self, sample):
        """Process a usage report.

        Parameters
        ----------
        sample : UsageSample
        """

    def decide(self, now_s, load, tasks):
        """Return the `BatchDecision` that holds until the next call.

        Parameters
        ----------
        now_s : float
        load : float
            Fraction of the service's slots in use now.
        tasks : list of BatchTask
            Batch tasks that run on the instance.
        """
        raise NotImplementedError


def get_controller(name):
    """Return the controller class with a name.

    Raises
    ------
    ControllerError
        If there is none.
    """
    try:
        module, attribute = CONTROLLERS_BY_NAME[name]
    except KeyError:
        known = ", ".join(sorted(CONTROLLERS_BY_NAME))
        raise ControllerError(f"no controller {name!r}; known: {known}") from None
    return getattr(import_module(module, __package__), attribute)


def cores_by_program(tasks):
    """Return the total cores that the tasks of each program want."""
    wanted = {}
    for task in tasks:
        wanted[task.program] = wanted.get(task.program, 0.0) + task.cores
    return wanted


def cheapest_victim(tasks):
    """Return the task with the least unsaved work, or among equals the most cores."""
    return min(
        tasks,
        key=lambda task: (task.unsaved_s, -task.cores, task.task_id),
        default=None,
    )


@reduce.register
def _(event: UsageReported, state):
    state.controller.report(event.sample)
    return []
