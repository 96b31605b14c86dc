"""Decoding of the configuration that operators write to the log store."""

import math

import msgspec

from ..h1server import H1Limits
from ..jobs.queues import FleetConfiguration, PermitTiming, Queue
from .decoding import Amount, Count, DecodingError, Instant, decode_json

__all__ = [
    "CONFIGURATION_KEY",
    "CONFIGURATION_STREAM",
    "ConfigurationFormatError",
    "read_configuration",
]

#: Stream and key of the newest configuration version.
CONFIGURATION_STREAM = "op"
CONFIGURATION_KEY = "config"


class ConfigurationFormatError(Exception):
    """A record is not a valid configuration."""


class _Advice(msgspec.Struct):
    decide_ms: Amount = msgspec.field(name="DecideMs", default=0)
    period_ms: Amount = msgspec.field(name="PeriodMs", default=0)
    valid_ms: Amount = msgspec.field(name="ValidMs", default=0)


class _Route(msgspec.Struct):
    name: str = msgspec.field(name="Name")
    host: str = msgspec.field(name="Host")
    path_prefix: str = msgspec.field(name="PathPrefix")
    service: str = msgspec.field(name="Service")
    priority: Count = msgspec.field(name="Priority", default=0)
    max_attempts: Count = msgspec.field(name="MaxAttempts", default=1)
    slack_factor: Amount = msgspec.field(name="SlackFactor", default=1.0)
    target_latency_ms: Amount = msgspec.field(name="TargetLatencyMs", default=0)
    # Timing of the queue's policy; a time above 0 means that starts need permits of the
    # policy service.
    advice: _Advice | None = msgspec.field(name="Advice", default=None)


class _Service(msgspec.Struct):
    name: str = msgspec.field(name="Name")
    rejects_overload: bool = msgspec.field(name="RejectsOverload", default=False)


class _Limits(msgspec.Struct):
    max_header_bytes: Count = msgspec.field(name="MaxHeaderBytes", default=16_384)
    max_body_bytes: Count = msgspec.field(name="MaxBodyBytes", default=262_144)
    header_timeout_ms: Count = msgspec.field(name="HeaderTimeoutMs", default=3000)
    idle_timeout_ms: Count = msgspec.field(name="IdleTimeoutMs", default=15_000)
    min_body_bytes_per_s: Count = msgspec.field(name="MinBodyBytesPerS", default=4096)
    # 0 for no limit.
    max_connections_per_address: Count = msgspec.field(
        name="MaxConnectionsPerAddress", default=0
    )


class _Document(msgspec.Struct):
    version: Instant = msgspec.field(name="Version")
    routes: list[_Route] = msgspec.field(name="Routes", default_factory=list)
    services: list[_Service] = msgspec.field(name="Services", default_factory=list)
    limits: _Limits = msgspec.field(name="Limits", default_factory=_Limits)


def read_configuration(value):
    """Return the `FleetConfiguration` in a record's value.

    Raises
    ------
    ConfigurationFormatError
        When the value is not a valid configuration document.
    """
    try:
        document = decode_json(value, _Document, strict=False)
    except DecodingError as error:
        raise ConfigurationFormatError(str(error)) from error
    queues = [_make_queue(route) for route in document.routes]
    limits = document.limits
    return FleetConfiguration(
        version=document.version,
        queues_by_name={queue.name: queue for queue in queues},
        limits=H1Limits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms / 1000,
            limits.idle_timeout_ms / 1000,
            limits.min_body_bytes_per_s,
            limits.max_connections_per_address,
        ),
        overload_rejecting_services=frozenset(
            service.name for service in document.services if service.rejects_overload
        ),
    )


def _make_queue(route):
    timing = _make_permit_timing(route.advice or _Advice())
    return Queue(
        name=route.name,
        host=route.host,
        path_prefix=route.path_prefix,
        service=route.service,
        priority=route.priority,
        max_attempts=route.max_attempts,
        slack_factor=route.slack_factor,
        objective_ms=int(route.target_latency_ms),
        needs_permits=timing != PermitTiming(),
        permit_timing=timing,
    )


def _make_permit_timing(advice):
    return PermitTiming(
        decide_ms=math.ceil(advice.decide_ms),
        per_worker_ms=math.ceil(advice.period_ms),
        valid_ms=int(advice.valid_ms),
    )
