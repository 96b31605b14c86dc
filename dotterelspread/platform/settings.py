"""Reader of the settings file that the platform provides to a process."""

import os
import tomllib
from typing import Annotated

import msgspec

from ..jobs.placementpolicy import MAX_RESERVED_JOBS, PlacementPolicy
from ..processsettings import (
    FleetBounds,
    FleetRole,
    ProcessSettings,
    ProcessSettingsError,
    StoreSettings,
)

__all__ = ["SETTINGS_VARIABLE", "read_settings"]

#: Environment variable with the path of the settings file.
SETTINGS_VARIABLE = "DOTTERELSPREAD_BOOT"

#: Amounts for which 0 means that the platform does not state them.
NotNegative = Annotated[float, msgspec.Meta(ge=0, le=1e9)]
NotNegativeCount = Annotated[int, msgspec.Meta(ge=0, le=1_000_000_000)]


class _Listen(msgspec.Struct, rename="pascal"):
    front: str = ""
    readiness: str = ""
    control: str = ""


class _Bounds(msgspec.Struct):
    hold_max_ms: int = msgspec.field(name="HoldMaxMs", default=6000)
    stop_timeout_ms: int = msgspec.field(name="StopTimeoutMs", default=400)
    gang_timeout_ms: int = msgspec.field(name="GangTimeoutMs", default=3000)
    grace_s: float = msgspec.field(name="GraceS", default=6.0)
    status_s: float = msgspec.field(name="status_s", default=120.0)
    remote_factor: float = msgspec.field(name="RemoteFactor", default=1.5)
    impact_ms: int = msgspec.field(name="ImpactMs", default=4000)
    evacuate_ms: int = msgspec.field(name="EvacuateMs", default=0)


class _Store(msgspec.Struct):
    address: str = msgspec.field(name="Address")
    record_bytes: int = msgspec.field(name="RecordBytes", default=262_144)
    request_bytes: int = msgspec.field(name="RequestBytes", default=2_097_152)
    # Minimum time to live of a group membership that is not renewed.
    ttl_min_ms: int = msgspec.field(name="TtlMinMs", default=1000)


class _Limits(msgspec.Struct):
    # Share of each core that the process may use.
    cpu_share: float = msgspec.field(name="CpuShare", default=1.0)
    cores: float = msgspec.field(name="Cores", default=1.0)
    memory_mb: NotNegative = msgspec.field(name="MemoryMb", default=0)
    max_fds: NotNegativeCount = msgspec.field(name="MaxFds", default=0)


class _Placement(msgspec.Struct, forbid_unknown_fields=True):
    # Number of waiting jobs of each queue for which capacity is reserved.
    reserved_jobs: Annotated[int, msgspec.Meta(ge=0, le=MAX_RESERVED_JOBS)] = (
        msgspec.field(name="ReservedJobs", default=0)
    )
    # Whether small tasks avoid workers on which a waiting large one could fit.
    keeps_gaps: bool = msgspec.field(name="KeepsGaps", default=False)


class _Settings(msgspec.Struct):
    node_name: str = msgspec.field(name="NodeName")
    ip: str = msgspec.field(name="Ip")
    zone: str = msgspec.field(name="Zone")
    region: str = msgspec.field(name="Region")
    internal_ports: tuple[int, int] = msgspec.field(name="InternalPorts")
    store: _Store = msgspec.field(name="platform")
    listen: _Listen = msgspec.field(name="ListenAddrs", default_factory=_Listen)
    bounds: _Bounds = msgspec.field(name="Bounds", default_factory=_Bounds)
    limits: _Limits = msgspec.field(name="Limits", default_factory=_Limits)
    placement: _Placement = msgspec.field(name="Placement", default_factory=_Placement)
    # Address of the API of the worker on this instance.
    app: str = ""
    # Address of the policy service.
    advice: str = msgspec.field(name="Advice", default="")


def read_settings(role, environment=os.environ):
    """Return the `ProcessSettings` of this process.

    Parameters
    ----------
    role : str
        One of `FleetRole`.
    environment : dict of str to str

    Raises
    ------
    ProcessSettingsError
        When the file cannot be read, or a field is missing or has the wrong type.
    """
    path = environment.get(SETTINGS_VARIABLE)
    if not path:
        raise ProcessSettingsError(f"{SETTINGS_VARIABLE}: not set")
    try:
        with open(path, "rb") as file:
            values = tomllib.load(file)
        settings = msgspec.convert(values, _Settings, strict=False)
    except (OSError, tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise ProcessSettingsError(f"{path}: {error}") from error
    return _translate(settings, role)


def _translate(settings, role):
    bounds = settings.bounds
    store = settings.store
    placement = settings.placement
    translated = ProcessSettings(
        instance_id=settings.node_name,
        role=role,
        host=settings.ip,
        data_centre=settings.zone,
        region=settings.region,
        peer_ports=settings.internal_ports,
        store=StoreSettings(
            store.address, store.record_bytes, store.request_bytes, store.ttl_min_ms
        ),
        caller_address=settings.listen.front,
        readiness_address=settings.listen.readiness,
        control_address=settings.listen.control,
        worker_address=settings.app,
        policy_address=settings.advice,
        cores=settings.limits.cpu_share * settings.limits.cores,
        memory_mb=settings.limits.memory_mb,
        max_fds=settings.limits.max_fds,
        bounds=FleetBounds(
            bounds.hold_max_ms,
            bounds.stop_timeout_ms,
            bounds.gang_timeout_ms,
            bounds.grace_s,
            bounds.status_s,
            bounds.remote_factor,
            bounds.impact_ms,
            bounds.evacuate_ms,
        ),
        placement_policy=PlacementPolicy(placement.reserved_jobs, placement.keeps_gaps),
    )
    _check_addresses(translated)
    return translated


def _check_addresses(settings):
    needed = {
        FleetRole.ENTRY: {
            "ListenAddrs.Front": settings.caller_address,
            "ListenAddrs.Readiness": settings.readiness_address,
        },
        FleetRole.AGENT: {
            "ListenAddrs.Control": settings.control_address,
            "app": settings.worker_address,
        },
    }
    for name, address in needed[settings.role].items():
        if not address:
            raise ProcessSettingsError(f"{name}: required for the role {settings.role}")
