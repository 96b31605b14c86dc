"""Keys and values of a cell's stream in the journal."""

import math

import msgspec

from .job import Job, JobRecord
from .journal import KeyedRecord
from .paircost import CostEstimate, PairCosts
from .spec import JobSpec

__all__ = [
    "CELL_STREAM",
    "LEADER_KEY",
    "LeaderRecord",
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
    "worker_record",
]

#: Stream of the only cell.
CELL_STREAM = "cell.0"
LEADER_KEY = "leader"
COSTS_KEY = "costs"
#: Prefixes of the keys of a job's specification and of its progress.
SPEC_PREFIX = "s/"
PROGRESS_PREFIX = "p/"
#: Prefix of the keys that say beside which agent a worker is.
WORKER_PREFIX = "w/"

_costs_decoder = msgspec.msgpack.Decoder(list[tuple[str, str, float, float]])
_spec_decoder = msgspec.msgpack.Decoder(JobSpec)
_progress_decoder = msgspec.msgpack.Decoder(JobRecord)
#: Tasks whose progress one record keeps. A task needs about 110 bytes at most, so that
#: a record stays far below the 256 KiB that the store takes.
TASKS_PER_RECORD = 1000


class LeaderRecord(msgspec.Struct, array_like=True, frozen=True):
    """Who leads, under which epoch."""

    epoch: int
    peer_address: str
    instance_id: str


_leader_decoder = msgspec.msgpack.Decoder(LeaderRecord)


def encode_spec(spec):
    """Return the bytes of a `JobSpec`."""
    return msgspec.msgpack.encode(spec)


def decode_spec(data):
    """Return the `JobSpec` in bytes that another process encoded."""
    return _spec_decoder.decode(data)


def leader_record(record):
    """Return the journal's record of a `LeaderRecord`."""
    return KeyedRecord(LEADER_KEY, msgspec.msgpack.encode(record))


def read_leader(records_by_key):
    """Return the `LeaderRecord` among records, or None."""
    record = records_by_key.get(LEADER_KEY)
    return _leader_decoder.decode(record.value) if record else None


def job_records(job, is_new):
    """Return the records that bring a job's keys up to date."""
    records = []
    if is_new:
        records.append(KeyedRecord(SPEC_PREFIX + job.job_id, encode_spec(job.spec)))
    # A task is always in the same part: the parts may come with different appends.
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
    return [KeyedRecord(key, b"") for key in keys]


def _progress_keys(job):
    """Return the keys of a job's progress, one for each part of its tasks."""
    first = PROGRESS_PREFIX + job.job_id
    parts = math.ceil(len(job.tasks_by_key) / TASKS_PER_RECORD)
    return [first, *(f"{first}/{number}" for number in range(1, parts))]


def worker_record(worker_id, agent_address):
    """Return the record that says where a worker is; without address, that it is gone.

    A successor knows by it which workers are gone once an agent reports another.
    """
    return KeyedRecord(WORKER_PREFIX + worker_id, agent_address.encode())


def read_agent_addresses(records_by_key):
    """Return the address of the agent beside each worker, by the worker's id."""
    return {
        key[len(WORKER_PREFIX) :]: record.value.decode()
        for key, record in records_by_key.items()
        if key.startswith(WORKER_PREFIX) and record.value
    }


def costs_record(costs):
    """Return the journal's record of what was learned in `PairCosts`."""
    rows = [
        (*pair, estimate.per_core, estimate.deviation)
        for pair, estimate in costs.by_pair.items()
    ]
    return KeyedRecord(COSTS_KEY, msgspec.msgpack.encode(rows))


def read_costs(records_by_key):
    """Return the `PairCosts` among records; empty if there are none."""
    costs = PairCosts()
    record = records_by_key.get(COSTS_KEY)
    if record is not None and record.value:
        for serving, filler, per_core, deviation in _costs_decoder.decode(record.value):
            costs.by_pair[serving, filler] = CostEstimate(per_core, deviation)
    return costs


def read_jobs(records_by_key, now_s):
    """Yield each `Job` among the records of a cell's stream."""
    for key, record in records_by_key.items():
        if not key.startswith(SPEC_PREFIX) or not record.value:
            continue
        spec = _spec_decoder.decode(record.value)
        job = Job.from_spec(spec, now_s)
        for progress_key in _progress_keys(job):
            progress = records_by_key.get(progress_key)
            if progress is not None and progress.value:
                job.apply_record(_progress_decoder.decode(progress.value))
        yield job
