"""Settings of a fleet process.

`dotterelspread.platform.settings` reads the platform's settings file into these types.
"""

from dataclasses import dataclass, field

from .jobs.placementpolicy import PlacementPolicy

__all__ = [
    "FleetBounds",
    "FleetRole",
    "ProcessSettings",
    "ProcessSettingsError",
    "StoreSettings",
]


#: Longest lease that is granted. The tasks of a lost instance stand still until it has
#: expired, and those of one that is lost with its leader for some seconds more.
MAX_GRANTED_LEASE_MS = 6000


class ProcessSettingsError(Exception):
    """The settings of a process are invalid; the message names the field."""


class FleetRole:
    """Roles of a fleet process."""

    ENTRY = "entry"
    AGENT = "agent"


@dataclass(slots=True)
class FleetBounds:
    """Time limits and factors that the platform and the operators set."""

    #: Maximum duration of a lease that a worker accepts.
    max_lease_ms: int = 6000
    #: Maximum time that a worker takes to stop a task.
    stop_timeout_ms: int = 400
    #: Maximum time that started gang members wait for the rest of the gang.
    gang_timeout_ms: int = 3000
    #: Grace period of a process between SIGTERM and SIGKILL.
    grace_s: float = 6.0
    #: Retention time of a finished job's state.
    status_s: float = 120.0
    #: Factor by which a task runs longer outside its preferred rack.
    remote_factor: float = 1.5
    #: Maximum time that a service's tail latency may exceed its target.
    impact_ms: int = 4000
    #: Maximum time for which tasks may still start in a data centre after operators
    #: have evacuated it; 0 if the platform states none.
    evacuate_ms: int = 0

    @property
    def lease_ms(self):
        """Duration of the leases that a leader grants."""
        return min(self.max_lease_ms, MAX_GRANTED_LEASE_MS)


@dataclass(slots=True)
class StoreSettings:
    """Address and limits of the platform's log store."""

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
    #: First and last port of the range for calls between processes.
    peer_ports: tuple[int, int]
    store: StoreSettings
    #: Listen address for callers; empty on agents.
    caller_address: str = ""
    #: Listen address for the readiness check of the load balancer.
    readiness_address: str = ""
    #: Listen address of the registry for the worker on this instance; empty on entries.
    control_address: str = ""
    #: Address of the API of the worker on this instance; empty on entries.
    worker_address: str = ""
    #: Address of the policy service; empty if there is none.
    policy_address: str = ""
    #: Number of cores that the process may use.
    cores: float = 1.0
    #: Memory of the instance and file descriptors of the process; 0 if not stated.
    memory_mb: float = 0
    max_fds: int = 0
    bounds: FleetBounds = field(default_factory=FleetBounds)
    #: How placement provides for waiting work, where this process leads.
    placement_policy: PlacementPolicy = PlacementPolicy()

    @property
    def peer_address(self):
        """Address at which other processes reach this one.

        An entry and an agent on the same instance use different ports.
        """
        offset = 0 if self.role == FleetRole.ENTRY else 1
        return f"{self.host}:{self.peer_ports[0] + offset}"
