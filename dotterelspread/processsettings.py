"""What a process of a fleet is told when it starts.

The platform's folder reads its own form of the settings into these types.
"""

from dataclasses import dataclass, field

__all__ = [
    "FleetBounds",
    "FleetRole",
    "ProcessSettings",
    "ProcessSettingsError",
    "StoreSettings",
]


class ProcessSettingsError(Exception):
    """The settings of a process cannot be used; the text names the field."""


class FleetRole:
    """Names of the roles that a process of a fleet may have."""

    ENTRY = "entry"
    AGENT = "agent"


@dataclass(slots=True)
class FleetBounds:
    """Times that the platform and the operators hold the processes to."""

    #: Longest lease that a worker grants.
    max_lease_ms: int = 6000
    #: Time that a worker takes to stop a task, at most.
    stop_timeout_ms: int = 400
    #: Time that the members of a gang wait for each other on workers.
    gang_timeout_ms: int = 3000
    #: Time between the signal to stop and the kill of a process.
    grace_s: float = 6.0
    #: Time that a finished job's state is kept for callers.
    status_s: float = 120.0
    #: Factor on a task's run time away from its preferred rack.
    remote_factor: float = 1.5
    #: Time for which a served tail latency may exceed its target.
    impact_ms: int = 4000


@dataclass(slots=True)
class StoreSettings:
    """Where the platform's log store is and what it takes."""

    address: str
    max_record_bytes: int = 262_144
    max_request_bytes: int = 2_097_152
    min_member_ttl_ms: int = 1000


@dataclass(slots=True)
class ProcessSettings:
    """Settings of an entry or an agent on the platform's instances."""

    instance_id: str
    role: str
    host: str
    data_centre: str
    region: str
    #: First and last port that are free for calls between processes.
    peer_ports: tuple[int, int]
    store: StoreSettings
    #: Where callers are served; empty on agents.
    caller_address: str = ""
    #: Where the balancer asks whether callers may be sent here.
    readiness_address: str = ""
    #: Where the worker of this instance announces itself; empty on entries.
    control_address: str = ""
    #: Where the worker of this instance takes orders; empty on entries.
    worker_address: str = ""
    #: Where the policy service answers; empty where there is none.
    policy_address: str = ""
    #: Processors that the process may use.
    cores: float = 1.0
    bounds: FleetBounds = field(default_factory=FleetBounds)

    @property
    def peer_address(self):
        """Where other processes call this one.

        An entry and an agent on the same instance use different ports.
        """
        offset = 0 if self.role == FleetRole.ENTRY else 1
        return f"{self.host}:{self.peer_ports[0] + offset}"
