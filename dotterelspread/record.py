"""The records that processes append to the platform's log, and their encoding.

A log record is a MessagePack array of `Envelope`, so that one append can carry several.
"""

import msgspec

from .evacuationrecord import EvacuationRequested, EvacuationSnapshot
from .recordbase import Struct
from .resources import Resources

__all__ = [
    "CellSnapshot",
    "CellSummary",
    "ClaimState",
    "ClaimsSnapshot",
    "ConfigurationPublished",
    "ConfigurationSnapshot",
    "Envelope",
    "InstanceAnnounced",
    "InstanceDraining",
    "InstanceLeft",
    "JobCancelled",
    "JobSubmitted",
    "MembershipSnapshot",
    "OwnerRenewed",
    "Record",
    "RecordError",
    "RequestClaimed",
    "RequestSettled",
    "TaskClaimed",
    "TaskEnded",
    "TaskLapsed",
    "TaskReleased",
    "TaskSpec",
    "TeamUse",
    "decode_record",
    "encode_record",
]


class RecordError(Exception):
    """A log record cannot be read."""


class ConfigurationPublished(Struct, tag=1):
    """An operator's whole configuration, based on the one at ``base_offset``."""

    #: Offset of the configuration that the operator had read; -1 for none.
    base_offset: int
    author: str
    #: The configuration as YAML text.
    text: str


class InstanceAnnounced(Struct, tag=2):
    """A process of the system announces itself."""

    instance_id: str
    #: Larger for each start of the process.
    incarnation: int
    role: str
    #: ``host:port`` of the process for its peers.
    peer_address: str
    data_centre: str
    region: str
    rack: str = ""
    services: tuple[str, ...] = ()
    slots: int = 0
    capacity: Resources = Resources()
    labels: dict[str, str] = {}
    #: Name of the cell that an agent belongs to.
    cell: str = ""


class InstanceDraining(Struct, tag=3):
    """An instance is leaving and takes no new work."""

    instance_id: str
    incarnation: int


class InstanceLeft(Struct, tag=4):
    """An instance has left; its running work has ended."""

    instance_id: str
    incarnation: int


class MembershipSnapshot(Struct, tag=5):
    """All members as of an offset, appended before their records expire."""

    as_of: int
    announced: tuple[InstanceAnnounced, ...]
    draining_ids: tuple[str, ...]
    #: Number of snapshots since each of ``announced`` last announced itself.
    ages: tuple[int, ...] = ()
    #: Offset of the snapshot that last increased the ages; -1 for none.
    aged_at: int = -1
    #: Highest sequence of each writer.
    sequences: tuple[tuple[int, int], ...] = ()


class RequestClaimed(Struct, tag=6):
    """An entry will send the request with this key to one instance, once."""

    service: str
    key: str
    request_id: str
    #: Instance that the request may be sent to, and the incarnation it must have.
    instance_id: str
    incarnation: int
    #: Digest of method, path and body, to detect a reused key.
    fingerprint: bytes
    #: 0 for the first claim of a key; incremented once the last is proved not executed.
    attempt: int = 0
    #: Unix time of the claim in seconds.
    claimed_at: int = 0


class RequestSettled(Struct, tag=7):
    """How a key's request ended; ``outcome`` is completed, failed or refused."""

    service: str
    key: str
    request_id: str
    outcome: str
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    detail: str = ""
    #: Attempt of the claim that is settled.
    attempt: int = 0
    #: Whether the body is too large for the log and is stored by the instance.
    body_at_instance: bool = False


class ClaimState(Struct):
    """The claim in force for a key, and its outcome once it is settled."""

    claim: RequestClaimed
    settled: RequestSettled | None = None


class ClaimsSnapshot(Struct, tag=17):
    """All claims of a stream as of an offset, appended before their records expire."""

    as_of: int
    #: Unix time of the stream's claims in seconds.
    clock_s: int
    #: Times of the latest claims, of which the clock is the median.
    times: tuple[int, ...]
    claims: tuple[ClaimState, ...]


class ConfigurationSnapshot(Struct, tag=18):
    """The configuration in force as of an offset, kept before its record expires."""

    as_of: int
    #: Offset at which the configuration was published; -1 for none.
    version: int
    author: str
    text: str
    #: Highest sequence of each writer.
    sequences: tuple[tuple[int, int], ...] = ()


class TaskSpec(Struct):
    """One task of a job as its submitter declared it."""

    task_id: str
    #: Name of the program that the platform's worker runs.
    program: str
    declared: Resources
    #: Expected run time in seconds; 0 for a service replica, which has no end.
    run_time_s: float
    arguments: tuple[str, ...] = ()


class JobSubmitted(Struct, tag=8):
    """A job's tasks, accepted once this record is read back."""

    job_id: str
    team: str
    urgency: int
    labels: dict[str, str]
    tasks: tuple[TaskSpec, ...]
    is_service: bool = False


class JobCancelled(Struct, tag=9):
    """A job was cancelled; its tasks that have not ended end as cancelled."""

    job_id: str


class TaskClaimed(Struct, tag=10):
    """A member claims a task; the record's offset is the task's epoch."""

    task_id: str
    owner_id: str
    incarnation: int
    #: Amount reserved on the owner's instance.
    reserved: Resources
    #: Duration of the task's lease in seconds, the same for owner and other claimants.
    lease_s: int = 120


class TaskEnded(Struct, tag=11):
    """A task ended; ``outcome`` is completed, failed, cancelled or refused."""

    task_id: str
    epoch: int
    outcome: str
    detail: str = ""


class TaskReleased(Struct, tag=12):
    """The owner stopped a task, keeping a checkpoint, so that another may resume it."""

    task_id: str
    epoch: int
    checkpoint: str = ""
    #: Why: eviction, drain, preemption, decline.
    reason: str = ""


class TaskLapsed(Struct, tag=13):
    """A task's owner has been silent for longer than its lease."""

    task_id: str
    epoch: int
    #: Offset of the last renewal seen; the record is void if a newer one precedes it.
    renewal_offset: int


class OwnerRenewed(Struct, tag=14):
    """A member renews its leases on all tasks it owns in the cell."""

    owner_id: str
    incarnation: int
    #: Amounts measured for running tasks that exceed their declared size.
    learned: dict[str, Resources] = {}
    #: Checkpoints made since the last renewal, by task.
    checkpoints: dict[str, str] = {}


class CellSnapshot(Struct, tag=15):
    """State of a cell as of an offset, encoded by the cell module."""

    as_of: int
    state: bytes


class TeamUse(Struct):
    """Resources that one team uses and has queued in a cell."""

    team: str
    used: Resources
    waiting: Resources


class CellSummary(Struct, tag=16):
    """Use and backlog of one cell by team, for quotas."""

    cell: str
    as_of: int
    capacity: Resources
    teams: tuple[TeamUse, ...]


Record = (
    ConfigurationPublished
    | InstanceAnnounced
    | InstanceDraining
    | InstanceLeft
    | MembershipSnapshot
    | RequestClaimed
    | RequestSettled
    | JobSubmitted
    | JobCancelled
    | TaskClaimed
    | TaskEnded
    | TaskReleased
    | TaskLapsed
    | OwnerRenewed
    | CellSnapshot
    | CellSummary
    | ClaimsSnapshot
    | ConfigurationSnapshot
    | EvacuationRequested
    | EvacuationSnapshot
)


class Envelope(Struct):
    """A record with its writer and sequence, to detect repeated appends."""

    #: Incarnation of the writing process.
    writer: int
    #: Larger for each record of the writer.
    sequence: int
    record: Record


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(tuple[Envelope, ...])


def encode_record(envelopes):
    """Return the bytes of one log record that carries ``envelopes``."""
    return _encoder.encode(tuple(envelopes))


def decode_record(data):
    """Return the envelopes in one log record.

    Raises
    ------
    RecordError
        When the bytes are not such a record.
    """
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise RecordError(f"malformed log record: {error}") from error
