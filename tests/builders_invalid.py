"""Invalid input as another writer may leave it: too deep, out of range or malformed."""

import json

import msgspec

from dotterelspread.jobs.job import JobRecord, TaskProgress
from dotterelspread.jobs.journal import KeyedRecord
from dotterelspread.jobs.records import encode_spec
from tests.builders_fleet import make_job, make_step

__all__ = [
    "DEEP_JSON",
    "DEEP_MSGPACK",
    "HUGE_INTEGERS",
    "node_record",
    "invalid_jobs",
    "invalid_records",
    "with_deep_extra",
]

DEPTH = 100_000
#: Arrays nested in each other, as a value that may stand for any field.
DEEP_JSON = b"[" * DEPTH + b"]" * DEPTH
DEEP_MSGPACK = b"\x91" * DEPTH + b"\x00"
#: Integers that do not fit fields of 64 bits or numbers of other JSON implementations.
HUGE_INTEGERS = (2**53 + 1, 2**63, 2**64, 10**400)


def node_record(address, key=None, role="agent", cores=1.0):
    """Return the record of a node that may not exist."""
    row = [address, role, "invalid-1", "dc", "r", cores]
    return KeyedRecord(key or address, msgspec.msgpack.encode(row))


def with_deep_extra(record):
    """Return a record with a deeply nested element that no field names."""
    value = record.value
    return KeyedRecord(record.key, bytes([value[0] + 1]) + value[1:] + DEEP_MSGPACK)


def invalid_records():
    """Return node records by what is invalid about each."""
    return {
        "nested in an ignored field": with_deep_extra(node_record("invalid-1:7000")),
        "nested": KeyedRecord("invalid-2:7000", DEEP_MSGPACK),
        "port too large": node_record("10.0.0.1:70000"),
        "port negative": node_record("10.0.0.1:-1"),
        "port with thousands of digits": node_record("10.0.0.1:" + "9" * 5000, "k"),
        "no port": node_record("10.0.0.1"),
        "no address": node_record("", "none"),
        "address of another key": node_record("agent0:7000", "stolen"),
        "infinite cores": node_record(
            "invalid-3:7000", role="entry", cores=float("inf")
        ),
        "cores not a number": node_record(
            "invalid-4:7000", role="entry", cores=float("nan")
        ),
        "megabytes": KeyedRecord(
            "invalid-5:7000", b"\xc6\x00\x20\x00\x00" + b"x" * 2**21
        ),
        "invalid UTF-8": KeyedRecord("invalid-6:7000", b"\x95" + b"\xa1\xff" * 5),
        "not a list": KeyedRecord("invalid-7:7000", json.dumps({"a": 1}).encode()),
        "unknown role": node_record("invalid-8:7000", role="other"),
    }


def invalid_jobs():
    """Return the records of jobs by what is invalid about each."""
    return {
        "billions of tasks": [_job_record(make_step(count=2**40))],
        "billions of occurrences": [_job_record(make_step(), repeat_count=2**40)],
        "negative count": [_job_record(make_step(count=-1))],
        "unknown dependency": [_job_record(make_step(depends_on=(7,)))],
        "dependency on itself": [_job_record(make_step(depends_on=(0,)))],
        "key of another job": [KeyedRecord(f"s/{8:016x}", encode_spec(make_job(9)))],
        "progress of other tasks": [
            _job_record(make_step()),
            _progress_record((0, 3, 0), TaskProgress(1, 4, "i-0", 1000)),
        ],
        "progress of a task beyond the count": [
            _job_record(make_step()),
            _progress_record((0, 0, 9), TaskProgress(1, 4, "i-0", 1000)),
        ],
    }


def _job_record(step, **changes):
    spec = make_job(99, (step,), **changes)
    return KeyedRecord(f"s/{spec.job_id}", encode_spec(spec))


def _progress_record(key, progress):
    record = JobRecord(False, False, 0, [(*key, progress)])
    return KeyedRecord(f"p/{99:016x}", msgspec.msgpack.encode(record))
