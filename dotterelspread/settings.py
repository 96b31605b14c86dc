"""Settings of a daemon process, read from a YAML file at start."""

import enum
from dataclasses import dataclass

from .controller import CONTROLLERS_BY_NAME
from .document import MAX_DOCUMENT_BYTES, Fault, FaultsError
from .options import open_options
from .quantities import Address
from .resources import Resources

__all__ = [
    "AgentSettings",
    "DaemonSettings",
    "EntrySettings",
    "LimitSettings",
    "MetricsExport",
    "Role",
    "SettingsError",
    "TelemetrySettings",
]

MAX_SLOTS = 10_000
MAX_CONNECTIONS = 100_000
MIN_BODY_BYTES = 1 << 10
MAX_BODY_BYTES = 64 << 20
MIN_MEMORY_BYTES = 4_000_000
MAX_MEMORY_BYTES = 10**15
MIN_FDS = 64
MAX_FDS = 1_000_000
#: Least memory, in requests of the greatest size, so that one fits into the budget.
MIN_BODIES_IN_MEMORY = 4
MAX_TIMEOUT_S = 3600.0
MIN_RETENTION_S = 5.0
MAX_RETENTION_S = 365 * 86_400.0


class SettingsError(FaultsError):
    """A settings file is invalid or can't be read."""


class Role(enum.StrEnum):
    """Role of a daemon process."""

    ENTRY = "entry"
    AGENT = "agent"


class MetricsExport(enum.StrEnum):
    """How a daemon exports its metrics."""

    PROMETHEUS = "prometheus"
    NONE = "none"


@dataclass(slots=True, frozen=True)
class EntrySettings:
    """Settings specific to entries."""

    #: Cells of its region to which the entry submits jobs.
    cells: tuple[str, ...]

    @classmethod
    def from_options(cls, options):
        """Read the section ``entry``."""
        return cls(cells=options.names("cells"))


@dataclass(slots=True, frozen=True)
class AgentSettings:
    """Settings specific to agents: the instance and what runs on it."""

    service: str
    #: URL of the backend server on the agent's instance.
    backend_url: str
    #: URL of the platform's worker on the instance.
    worker_url: str
    #: Number of requests that the backend server runs concurrently.
    slots: int
    #: Maximum number of connections to the backend server.
    connections: int
    capacity: Resources
    #: Name of the cell to which the agent belongs.
    cell: str
    labels: dict[str, str]
    #: Name of the controller that throttles batch tasks to protect the service's
    #: latency; see `controller`.
    controller: str = "feedback"

    @classmethod
    def from_options(cls, options):
        """Read the section ``agent``."""
        return cls(
            service=options.name("service"),
            backend_url=options.url("backend_url"),
            worker_url=options.url("worker_url"),
            slots=options.integer("slots", 1, MAX_SLOTS),
            connections=options.integer("connections", 1, MAX_CONNECTIONS),
            capacity=options.resources("capacity"),
            cell=options.name("cell"),
            labels=options.labels("labels"),
            controller=options.choice("controller", CONTROLLERS_BY_NAME, "feedback"),
        )


@dataclass(slots=True, frozen=True)
class LimitSettings:
    """Limits on callers' requests and connections."""

    max_body: int = 1 << 20
    #: Number of open connections above which a new one takes the place of an idle one.
    max_connections: int = 2000
    #: Most connections from one address; 0 for no limit.
    max_connections_per_address: int = 0
    #: Number of requests in progress above which new ones are refused.
    max_requests: int = 1000
    #: Seconds within which the headers of a request must arrive.
    header_timeout_s: float = 5.0
    #: Seconds within which the body of a request must arrive.
    body_timeout_s: float = 10.0
    #: Seconds after which an idle connection is closed, and interval at which the data
    #: rate of a response is checked that the peer does not read at once.
    idle_timeout_s: float = 60.0
    #: Memory of the instance in bytes; part of it is the budget for callers.
    memory: int = 512_000_000
    #: File descriptors of the process; part of them is for callers' connections.
    max_fds: int = 4096

    @classmethod
    def from_options(cls, options):
        """Read the section ``limits``."""
        default = cls()

        def timeout(name, default_s):
            return options.duration(name, 0.1, MAX_TIMEOUT_S, default_s)

        max_body = options.size(
            "max_body", MIN_BODY_BYTES, MAX_BODY_BYTES, default.max_body
        )
        memory = options.size(
            "memory", MIN_MEMORY_BYTES, MAX_MEMORY_BYTES, default.memory
        )
        if memory < MIN_BODIES_IN_MEMORY * max_body:
            allowed = f"at least {MIN_BODIES_IN_MEMORY} times max_body"
            options.fault("memory", memory, allowed)
        return cls(
            max_body=max_body,
            max_connections=options.integer(
                "max_connections", 1, MAX_CONNECTIONS, default.max_connections
            ),
            max_connections_per_address=options.integer(
                "max_connections_per_address", 0, MAX_CONNECTIONS, 0
            ),
            max_requests=options.integer(
                "max_requests", 1, MAX_CONNECTIONS, default.max_requests
            ),
            header_timeout_s=timeout("header_timeout", default.header_timeout_s),
            body_timeout_s=timeout("body_timeout", default.body_timeout_s),
            idle_timeout_s=timeout("idle_timeout", default.idle_timeout_s),
            memory=memory,
            max_fds=options.integer("max_fds", MIN_FDS, MAX_FDS, default.max_fds),
        )


@dataclass(slots=True, frozen=True)
class TelemetrySettings:
    """Metrics and traces that a daemon exports."""

    metrics: MetricsExport = MetricsExport.PROMETHEUS
    #: ``none``, ``stderr``, or the path of a file that gets one JSON line per span.
    spans: str = "none"
    #: Fraction of the traces started here that is recorded, 0 to 1.
    sample_ratio: float = 1.0

    @classmethod
    def from_options(cls, options):
        """Read the section ``telemetry``."""
        metrics = options.choice("metrics", MetricsExport, MetricsExport.PROMETHEUS)
        return cls(
            metrics=MetricsExport(metrics),
            spans=options.text("spans", "none"),
            sample_ratio=options.number("sample_ratio", 0, 1, 1),
        )


@dataclass(slots=True, frozen=True)
class DaemonSettings:
    """All settings of a daemon process."""

    role: Role
    instance_id: str
    data_centre: str
    region: str
    rack: str
    #: Address that the process announces to its peers.
    peer_address: Address
    #: Address on which it listens for peers; differs from the announced one behind a
    #: forwarder.
    peer_listen_address: Address
    #: HTTP listen address; an agent serves only health checks and metrics there.
    http_address: Address
    #: URL of the platform's log service.
    log_url: str
    #: Minimum time for which the log keeps a record, in seconds.
    log_retention_s: float
    #: Load balancer's address for peers, used to find entries when the log is down.
    balancer_address: Address | None
    #: Time that shutdown waits for work in progress, in seconds.
    drain_timeout_s: float
    entry: EntrySettings | None
    agent: AgentSettings | None
    limits: LimitSettings = LimitSettings()
    telemetry: TelemetrySettings = TelemetrySettings()

    @classmethod
    def from_file(cls, path):
        """Read the settings from a file.

        Raises
        ------
        SettingsError
            If the settings are invalid or unreadable; lists every fault.
        """
        try:
            with open(path, encoding="utf-8") as file:
                text = file.read(MAX_DOCUMENT_BYTES + 1)
        except (OSError, UnicodeDecodeError) as error:
            fault = Fault(str(path), "", str(error), "a readable UTF-8 file")
            raise SettingsError([fault]) from error
        return cls.from_text(text, str(path))

    @classmethod
    def from_text(cls, text, file_name):
        """Read the settings from YAML text; raises as `from_file` does."""
        with open_options(text, file_name, SettingsError) as options:
            return cls.from_options(options)

    @classmethod
    def from_options(cls, options):
        """Read the settings from the `Options` of a document."""
        role = Role(options.choice("role", Role))
        is_agent = role is Role.AGENT
        peer_address = options.address("peer_address")
        http_address = options.address("http_address")
        if peer_address == http_address:
            options.fault(
                "http_address", http_address, "an address other than peer_address"
            )
        return cls(
            role=role,
            instance_id=options.name("instance_id"),
            data_centre=options.name("data_centre"),
            region=options.name("region"),
            rack=options.name("rack", ""),
            peer_address=peer_address,
            peer_listen_address=options.address("peer_listen_address", peer_address),
            http_address=http_address,
            log_url=options.url("log_url"),
            log_retention_s=options.duration(
                "log_retention", MIN_RETENTION_S, MAX_RETENTION_S, 86_400.0
            ),
            balancer_address=options.address("balancer_address", None),
            drain_timeout_s=options.duration("drain_timeout", 0, MAX_TIMEOUT_S, 30.0),
            entry=None if is_agent else _entry(options),
            agent=_agent(options) if is_agent else None,
            limits=LimitSettings.from_options(options.section("limits")),
            telemetry=TelemetrySettings.from_options(options.section("telemetry")),
        )


def _entry(options):
    return EntrySettings.from_options(options.section("entry"))


def _agent(options):
    return AgentSettings.from_options(options.section("agent"))
