"""What callers and operators read about jobs, instances, requests and refusals.

Each class is one row, and becomes one JSON object.
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
    """A task as an agent of its cell knows it."""

    task_id: str
    #: ``pending``, ``owned``, or how it ended.
    state: str
    owner: str
    epoch: int
    explanation: str

    @classmethod
    def from_message(cls, status):
        """Return the view in a Thrift `TaskStatus`."""
        return cls(
            status.task_id,
            status.state,
            status.owner_id or "",
            status.epoch,
            status.explanation or "",
        )


@dataclass(slots=True, frozen=True)
class JobView:
    """A job with its tasks."""

    job_id: str
    team: str
    tasks: tuple[TaskView, ...]

    @classmethod
    def from_message(cls, reply):
        """Return the view in a Thrift `JobReply`."""
        tasks = tuple(TaskView.from_message(status) for status in reply.tasks or ())
        return cls(reply.job_id, reply.team, tasks)


@dataclass(slots=True, frozen=True)
class InstanceView:
    """A process of the system as an entry knows it."""

    instance_id: str
    role: str
    data_centre: str
    region: str
    address: str
    services: tuple[str, ...]
    cell: str
    #: ``live``, ``suspect`` or ``gone``, by heartbeats.
    status: str
    draining: bool

    @classmethod
    def from_member(cls, member, status):
        """Return the view of a `Member` with a `PeerStatus`."""
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
        """Return the view of a `Request`."""
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
    """A refusal that an entry gave."""

    request_id: str
    service: str
    kind: str
    reason: str
    detail: str


@dataclass(slots=True, frozen=True)
class StatusView:
    """An entry by itself."""

    instance_id: str
    role: str
    ready: bool
    configuration_version: int
    instances: int
    requests_in_progress: int
