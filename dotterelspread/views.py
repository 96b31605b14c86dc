"""Rows about jobs, instances, requests and refusals for callers and operators.

Each row is serialised as a JSON object.
"""

from dataclasses import dataclass

from .evacuations import format_time

__all__ = [
    "EvacuationView",
    "InstanceView",
    "JobView",
    "RefusalView",
    "RequestView",
    "StatusView",
    "TaskView",
]


@dataclass(slots=True, frozen=True)
class TaskView:
    """State of a task according to an agent of its cell."""

    task_id: str
    #: ``pending``, ``owned``, or how it ended.
    state: str
    owner: str
    epoch: int
    explanation: str

    @classmethod
    def from_message(cls, status):
        """Convert a Thrift `TaskStatus`."""
        return cls(
            status.task_id,
            status.state,
            status.owner_id or "",
            status.epoch,
            status.explanation or "",
        )


@dataclass(slots=True, frozen=True)
class JobView:
    """A job and its tasks."""

    job_id: str
    team: str
    tasks: tuple[TaskView, ...]

    @classmethod
    def from_message(cls, reply):
        """Convert a Thrift `JobReply`."""
        tasks = tuple(TaskView.from_message(status) for status in reply.tasks or ())
        return cls(reply.job_id, reply.team, tasks)


@dataclass(slots=True, frozen=True)
class InstanceView:
    """State of an entry or agent process according to an entry."""

    instance_id: str
    role: str
    data_centre: str
    region: str
    address: str
    services: tuple[str, ...]
    cell: str
    #: ``live``, ``suspect`` or ``gone``, according to heartbeats.
    status: str
    draining: bool
    #: Whether its data centre is evacuated.
    evacuated: bool

    @classmethod
    def from_member(cls, member, status, evacuated_names):
        """Convert a `Member` and its `PeerStatus`."""
        announced = member.announced
        return cls(
            announced.instance_id,
            announced.role,
            announced.data_centre,
            announced.region,
            announced.peer_address,
            announced.services,
            announced.cell,
            status.value,
            member.is_draining,
            announced.data_centre in evacuated_names,
        )


@dataclass(slots=True, frozen=True)
class EvacuationView:
    """An evacuated data centre."""

    data_centre: str
    author: str
    #: Time of the evacuation, UTC.
    since: str
    version: int
    #: Number of agents in the data centre that the entry knows.
    agents: int

    @classmethod
    def from_centre(cls, centre, agents):
        """Convert a `CentreState`."""
        since = format_time(centre.changed_at)
        return cls(centre.data_centre, centre.author, since, centre.version, agents)


@dataclass(slots=True, frozen=True)
class RequestView:
    """A request in progress at an entry."""

    request_id: str
    service: str
    kind: str
    attempts: int
    instances: tuple[str, ...]
    remaining_s: float

    @classmethod
    def from_request(cls, request, now_s):
        """Convert a `Request`."""
        return cls(
            request.request_id,
            request.service_name,
            request.kind.name,
            len(request.attempts),
            tuple(sorted(request.tried_ids)),
            round(request.deadline_s - now_s, 3),
        )


@dataclass(slots=True, frozen=True)
class RefusalView:
    """A request that an entry refused."""

    request_id: str
    service: str
    kind: str
    reason: str
    detail: str


@dataclass(slots=True, frozen=True)
class StatusView:
    """State of an entry according to itself."""

    instance_id: str
    role: str
    ready: bool
    configuration_version: int
    instances: int
    requests_in_progress: int
    #: Names of the evacuated data centres.
    evacuated: tuple[str, ...]
    #: Version of the evacuations; -1 if there was none.
    evacuation_version: int
