"""The configuration that operators publish: labels, selectors, quotas and objectives.

The classes here hold a configuration that has been checked in full. Its version is the
offset of its record in the ``configuration`` stream.
"""

import enum
from dataclasses import dataclass, field

from .resources import Resources

__all__ = [
    "Configuration",
    "KindConfig",
    "LeaseConfig",
    "ObjectiveConfig",
    "SelectorConfig",
    "ServiceConfig",
    "TeamConfig",
    "Urgency",
]


class Urgency(enum.IntEnum):
    """How urgent work is; a larger value goes first for spare capacity."""

    LOW = 0
    NORMAL = 1
    HIGH = 2
    URGENT = 3


@dataclass(slots=True, frozen=True)
class KindConfig:
    """One kind of request that a service takes."""

    name: str
    urgency: Urgency = Urgency.NORMAL
    #: Part of every instance's slots guaranteed to the kind, 0 to 1.
    share: float = 0.0
    #: Seconds within which a request must be answered when its caller names none.
    deadline_s: float = 10.0
    #: False when running a request twice does harm; such requests need a key.
    idempotent: bool = True
    #: False when the kind is only refused for want of any capacity.
    refusable: bool = True


@dataclass(slots=True, frozen=True)
class ServiceConfig:
    """A service that backend servers offer, with its kinds of request."""

    name: str
    kinds_by_name: dict[str, KindConfig]
    #: Name of the kind of a request that names none.
    default_kind: str
    labels: dict[str, str] = field(default_factory=dict)
    #: Tail latency (p99) that the service should keep, in seconds.
    target_p99_s: float = 0.25


@dataclass(slots=True, frozen=True)
class SelectorConfig:
    """Says on which instances the work with some labels may run."""

    name: str
    #: Labels that work must have for the selector to apply to it.
    work: dict[str, str]
    #: Labels that an instance must have to run such work.
    instances: dict[str, str]
    #: Urgency of such work; None leaves what the work asks for.
    urgency: Urgency | None = None
    refusable: bool = True


@dataclass(slots=True, frozen=True)
class TeamConfig:
    """A team and the resources that its tasks may hold together."""

    name: str
    quota: Resources
    #: Weight of the team when capacity is shared.
    weight: float = 1.0


@dataclass(slots=True, frozen=True)
class ObjectiveConfig:
    """How much service latency and batch work count against each other; sum is 1."""

    latency_weight: float = 0.5
    batch_weight: float = 0.5


@dataclass(slots=True, frozen=True)
class LeaseConfig:
    """How long a task's owner may go without a renewal before the task moves."""

    batch_s: float = 120.0
    service_s: float = 3600.0


@dataclass(slots=True, frozen=True)
class Configuration:
    """One whole configuration; never changed, only replaced by a later version."""

    services_by_name: dict[str, ServiceConfig] = field(default_factory=dict)
    selectors_by_name: dict[str, SelectorConfig] = field(default_factory=dict)
    teams_by_name: dict[str, TeamConfig] = field(default_factory=dict)
    #: Labels that operators put on instances, by instance id.
    instance_labels_by_id: dict[str, dict[str, str]] = field(default_factory=dict)
    objectives: ObjectiveConfig = ObjectiveConfig()
    leases: LeaseConfig = LeaseConfig()
