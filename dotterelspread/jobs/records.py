"""Encoding of a cell's state as keyed records of its journal stream."""

import math
from typing import Annotated

import msgspec

from .checkpoints import read_checkpoints, removed_checkpoint_records
from .job import Job, JobRecord
from .journal import KeyedRecord
from .paircost import CostEstimate, PairCosts
from .spec import JobSpec, check_spec
from .unreadable import UNREADABLE_ERRORS, log_unreadable

__all__ = [
    "CELL_STREAM",
    "LEADER_KEY",
    "TASKS_PER_RECORD",
    "LeaderRecord",
    "Suspension",
    "costs_record",
    "decode_spec",
    "drop_records",
    "encode_spec",
    "job_records",
    "leader_record",
    "read_agent_addresses",
    "read_costs",
    "read_jobs",
    "read_leader",
    "read_residual_lease_workers",
    "read_suspended_workers",
    "read_waived_addresses",
    "residual_lease_record",
    "spec_record",
    "suspension_record",
    "waiver_record",
    "worker_record",
]

#: Stream of the only cell.
CELL_STREAM = "cell.0"
LEADER_KEY = "leader"
COSTS_KEY = "costs"
#: Prefixes of the keys of a job's specification and of its progress.
SPEC_PREFIX = "s/"
PROGRESS_PREFIX = "p/"
#: Prefix of the keys that hold the agent address of a worker.
WORKER_PREFIX = "w/"
#: Prefix of the keys of workers to which no leases are granted.
SUSPENSION_PREFIX = "u/"
#: Prefix of the keys of workers that may hold a lease from an earlier incarnation.
RESIDUAL_LEASE_PREFIX = "r/"
#: Prefix of the keys of entries whose answers a leader may not need.
WAIVER_PREFIX = "v/"

_costs_decoder = msgspec.msgpack.Decoder(list[tuple[str, str, float, float]])
_spec_decoder = msgspec.msgpack.Decoder(JobSpec)
_progress_decoder = msgspec.msgpack.Decoder(JobRecord)
#: Number of tasks in one progress record.
TASKS_PER_RECORD = 1000
#: Largest size of the record of pair costs; it keeps the pairs that were updated last.
MAX_COSTS_BYTES = 131_072
#: Largest epoch that is read from a record.
MAX_EPOCH = 2**33 - 1


class LeaderRecord(msgspec.Struct, array_like=True, frozen=True):
    """Address, instance and epoch of the leader."""

    epoch: Annotated[int, msgspec.Meta(ge=0, le=MAX_EPOCH)]
    peer_address: str
    instance_id: str
    #: Peer addresses of earlier leaders that may still grant leases; None if unknown.
    earlier_addresses: list[str] | None = None
    #: Whether this and the earlier leaders need the answers of all entries that are not
    #: waived to grant leases in a store outage.
    need_answers: bool = False


class Suspension(msgspec.Struct, array_like=True, frozen=True):
    """Statement of the leader of an epoch that it grants a worker no leases."""

    epoch: int
    #: How long leases granted before may last on after the append; None if unknown.
    remaining_ms: Annotated[int, msgspec.Meta(ge=0)] | None = None


_suspension_decoder = msgspec.msgpack.Decoder(int | Suspension)
_leader_decoder = msgspec.msgpack.Decoder(LeaderRecord)


def encode_spec(spec):
    """Return the bytes of a `JobSpec`."""
    return msgspec.msgpack.encode(spec)


def decode_spec(data):
    """Return the `JobSpec` encoded by `encode_spec`."""
    return _spec_decoder.decode(data)


def leader_record(record):
    """Return a `LeaderRecord` as a keyed record."""
    return KeyedRecord(LEADER_KEY, msgspec.msgpack.encode(record))


def read_leader(records_by_key):
    """Return the `LeaderRecord` of a snapshot; None without one that can be read."""
    record = records_by_key.get(LEADER_KEY)
    if record is None:
        return None
    try:
        return _leader_decoder.decode(record.value)
    except UNREADABLE_ERRORS as error:
        log_unreadable(LEADER_KEY, error)
        return None


def spec_record(spec):
    """Return a `JobSpec` as a keyed record."""
    return KeyedRecord(SPEC_PREFIX + spec.job_id, encode_spec(spec))


def job_records(job, is_new):
    """Return the records of a job's progress, with its specification if it is new.

    The long checkpoints of its tasks have records of their own; see `checkpoints`.
    """
    records = []
    if is_new:
        records.append(spec_record(job.spec))
    # A task is always in the same record, since the records of a job may be written by
    # different appends.
    task_keys = list(job.tasks_by_key)
    for number, key in enumerate(_progress_keys(job)):
        first = number * TASKS_PER_RECORD
        part = job.to_record(task_keys[first : first + TASKS_PER_RECORD])
        if part.tasks or not number:
            records.append(KeyedRecord(key, msgspec.msgpack.encode(part)))
    return records


def drop_records(job):
    """Return the records that remove a job's keys."""
    keys = [SPEC_PREFIX + job.job_id, *_progress_keys(job)]
    checkpoints = removed_checkpoint_records(job, job.recorded_checkpoints)
    return [KeyedRecord(key, b"") for key in keys] + checkpoints


def _progress_keys(job):
    """Return the keys of a job's progress records, one per `TASKS_PER_RECORD` tasks."""
    first = PROGRESS_PREFIX + job.job_id
    parts = math.ceil(len(job.tasks_by_key) / TASKS_PER_RECORD)
    return [first, *(f"{first}/{number}" for number in range(1, parts))]


def worker_record(worker_id, agent_address):
    """Return the record of a worker's agent; an empty address removes the worker.

    A new leader uses it to detect workers that an agent has replaced by another one.
    """
    return KeyedRecord(WORKER_PREFIX + worker_id, agent_address.encode())


def read_agent_addresses(records_by_key):
    """Return the agent address of each worker by the worker's id."""
    return {
        key[len(WORKER_PREFIX) :]: record.value.decode("utf-8", "replace")
        for key, record in records_by_key.items()
        if key.startswith(WORKER_PREFIX) and record.value
    }


def suspension_record(worker_id, epoch, remaining_ms=None):
    """Return the record that the leader of an epoch grants a worker no leases.

    With 0 as epoch the record is removed.
    """
    value = msgspec.msgpack.encode(Suspension(epoch, remaining_ms)) if epoch else b""
    return KeyedRecord(SUSPENSION_PREFIX + worker_id, value)


def read_suspended_workers(records_by_key):
    """Return the latest `Suspension` of each worker by its id."""
    suspensions_by_id = {}
    for key, record in records_by_key.items():
        if not key.startswith(SUSPENSION_PREFIX) or not record.value:
            continue
        try:
            suspension = _suspension_decoder.decode(record.value)
        except UNREADABLE_ERRORS as error:
            log_unreadable(key, error)
            continue
        if isinstance(suspension, int):
            # Earlier versions recorded the epoch only.
            suspension = Suspension(suspension)
        suspensions_by_id[key[len(SUSPENSION_PREFIX) :]] = suspension
    return suspensions_by_id


def residual_lease_record(worker_id, may_hold):
    """Return the record that a worker may hold a residual lease, or its removal."""
    return KeyedRecord(RESIDUAL_LEASE_PREFIX + worker_id, b"1" if may_hold else b"")


def read_residual_lease_workers(records_by_key):
    """Return the ids of the workers that may hold a residual lease."""
    return _read_names(records_by_key, RESIDUAL_LEASE_PREFIX)


def waiver_record(address, is_waived):
    """Return the record that the answers of an entry may not be needed, or its removal.

    It has a key of its own, so that a successor also reads one that was appended after
    its first look at the leader's record.
    """
    return KeyedRecord(WAIVER_PREFIX + address, b"1" if is_waived else b"")


def read_waived_addresses(records_by_key):
    """Return the peer addresses of the entries whose answers may not be needed."""
    return _read_names(records_by_key, WAIVER_PREFIX)


def _read_names(records_by_key, prefix):
    """Return what follows the prefix in the keys of records that are not removed."""
    return frozenset(
        key[len(prefix) :]
        for key, record in records_by_key.items()
        if key.startswith(prefix) and record.value
    )


def costs_record(costs):
    """Return the learned `PairCosts` as a keyed record."""
    rows, size = [], 0
    for pair, estimate in reversed(costs.by_pair.items()):
        row = (*pair, estimate.per_core, estimate.deviation)
        size += len(msgspec.msgpack.encode(row))
        if size > MAX_COSTS_BYTES:
            break
        rows.append(row)
    return KeyedRecord(COSTS_KEY, msgspec.msgpack.encode(rows[::-1]))


def read_costs(records_by_key):
    """Return the `PairCosts` of a snapshot; empty if there are none."""
    costs = PairCosts()
    record = records_by_key.get(COSTS_KEY)
    if record is None or not record.value:
        return costs
    try:
        rows = _costs_decoder.decode(record.value)
    except UNREADABLE_ERRORS as error:
        # They are learned anew.
        log_unreadable(COSTS_KEY, error)
        return costs
    for serving, filler, per_core, deviation in rows:
        costs.by_pair[serving, filler] = CostEstimate(per_core, deviation)
    return costs


def read_jobs(records_by_key, now_s):
    """Yield each `Job` of a snapshot of a cell's stream.

    A job with a record that cannot be read is left out, since its tasks may be running
    and must not be started again; its records stay in the stream.
    """
    checkpoints_by_job_id = read_checkpoints(records_by_key)
    for key, record in records_by_key.items():
        if not key.startswith(SPEC_PREFIX) or not record.value:
            continue
        try:
            job = _read_job(record, records_by_key, now_s)
            job.restore_checkpoints(checkpoints_by_job_id.get(job.job_id, {}))
            yield job
        except (*UNREADABLE_ERRORS, KeyError) as error:
            log_unreadable(key, error)


def _read_job(record, records_by_key, now_s):
    spec = _spec_decoder.decode(record.value)
    if SPEC_PREFIX + spec.job_id != record.key:
        raise ValueError("job_id: not that of the key")
    check_spec(spec)
    job = Job.from_spec(spec, now_s)
    for progress_key in _progress_keys(job):
        progress = records_by_key.get(progress_key)
        if progress is not None and progress.value:
            job.apply_record(_progress_decoder.decode(progress.value))
    if not job.is_open:
        # Earlier versions kept the checkpoints of ended jobs.
        job.drop_checkpoints()
    return job
