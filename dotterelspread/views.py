"""Rows about jobs, instances, requests and refusals for callers and operators.

Each row is serialised as a JSON object.
"""

from dataclasses import dataclass

__all__ = [
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

    @classmethod
    def from_member(cls, member, status):
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
        )


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
