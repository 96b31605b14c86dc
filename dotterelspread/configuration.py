"""The configuration that operators publish: labels, selectors, quotas and objectives.

These classes hold a validated configuration. Its version is the offset of its record
in the ``configuration`` stream.
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
    """Priority of work; higher values get spare capacity first."""

    LOW = 0
    NORMAL = 1
    HIGH = 2
    URGENT = 3


@dataclass(slots=True, frozen=True)
class KindConfig:
    """A kind of request that a service accepts."""

    name: str
    urgency: Urgency = Urgency.NORMAL
    #: Fraction of each instance's slots that is reserved for the kind, 0 to 1.
    share: float = 0.0
    #: Default deadline in seconds of requests that set none.
    deadline_s: float = 10.0
    #: False when a request must not run twice; it then needs an idempotency key.
    idempotent: bool = True
    #: False when the kind is refused only if no capacity is left at all.
    refusable: bool = True


@dataclass(slots=True, frozen=True)
class ServiceConfig:
    """A service that runs on backend servers, with its kinds of request."""

    name: str
    kinds_by_name: dict[str, KindConfig]
    #: Kind of requests that specify none.
    default_kind: str
    labels: dict[str, str] = field(default_factory=dict)
    #: Target for the 99th percentile of the service's latency, in seconds.
    target_p99_s: float = 0.25


@dataclass(slots=True, frozen=True)
class SelectorConfig:
    """Restricts work with certain labels to instances with certain labels."""

    name: str
    #: Labels that work must have for the selector to apply to it.
    work: dict[str, str]
    #: Labels that an instance must have to run such work.
    instances: dict[str, str]
    #: Urgency of such work; None keeps the urgency that it requests.
    urgency: Urgency | None = None
    refusable: bool = True


@dataclass(slots=True, frozen=True)
class TeamConfig:
    """A team and the total resources that its tasks may use."""

    name: str
    quota: Resources
    #: Weight of the team in fair sharing of capacity.
    weight: float = 1.0


@dataclass(slots=True, frozen=True)
class ObjectiveConfig:
    """Relative weights of service latency and batch throughput; they add up to 1."""

    latency_weight: float = 0.5
    batch_weight: float = 0.5


@dataclass(slots=True, frozen=True)
class LeaseConfig:
    """Lease durations: a task whose owner does not renew in time is reassigned."""

    batch_s: float = 120.0
    service_s: float = 3600.0


@dataclass(slots=True, frozen=True)
class Configuration:
    """A complete, immutable configuration; a later version replaces it as a whole."""

    services_by_name: dict[str, ServiceConfig] = field(default_factory=dict)
    selectors_by_name: dict[str, SelectorConfig] = field(default_factory=dict)
    teams_by_name: dict[str, TeamConfig] = field(default_factory=dict)
    #: Labels that operators assign to instances, by instance id.
    instance_labels_by_id: dict[str, dict[str, str]] = field(default_factory=dict)
    objectives: ObjectiveConfig = ObjectiveConfig()
    leases: LeaseConfig = LeaseConfig()
