"""Records of long checkpoints: what is written, removed and read by a successor."""

import msgspec
import pytest

from dotterelspread.jobs.checkpoints import MAX_INLINE_BYTES, take_checkpoint_records
from dotterelspread.jobs.job import (
    MAX_TASK_RECORD_BYTES,
    Job,
    JobRecord,
    Phase,
    TaskProgress,
)
from dotterelspread.jobs.journal import KeyedRecord
from dotterelspread.jobs.lifecycle import end_job, requeue
from dotterelspread.jobs.records import drop_records, job_records, read_jobs
from tests.builders_cell import make_cell
from tests.builders_fleet import make_job, make_step

KEY = (0, 0, 0)
OTHER_KEY = (0, 0, 1)
SHORT = "s" * MAX_INLINE_BYTES
LONG = "c" * (MAX_INLINE_BYTES + 1)
LATER = "d" * 4000


def make_started_job(*checkpoints):
    """Return a job with a task that has started for each of the checkpoints."""
    job = Job.from_spec(make_job(1, (make_step(count=len(checkpoints)),)), 0.0)
    for key, checkpoint in zip(job.tasks_by_key, checkpoints, strict=True):
        job.tasks_by_key[key].run = 1
        job.keep_checkpoint(key, checkpoint)
    return job


def all_records(job):
    written, removed = take_checkpoint_records(job)
    records = [*written, *job_records(job, is_new=True), *removed]
    return {record.key: record for record in records}


def read_job(records_by_key):
    (job,) = read_jobs(records_by_key, 0.0)
    return job


@pytest.mark.parametrize("checkpoint", ["", SHORT, LONG, "é" * 30, LATER])
def test_a_successor_has_each_checkpoint(checkpoint):
    job = make_started_job(checkpoint, LONG)
    restored = read_job(all_records(job))
    assert restored.tasks_by_key == job.tasks_by_key
    assert take_checkpoint_records(restored) == ([], [])


def test_only_changed_checkpoints_are_written_again():
    job = make_started_job(LONG, LONG)
    take_checkpoint_records(job)
    assert take_checkpoint_records(job) == ([], [])
    job.keep_checkpoint(KEY, LATER)
    (written,), removed = take_checkpoint_records(job)
    assert (written.value, removed) == (LATER.encode(), [])


def test_a_short_checkpoint_after_a_long_one_removes_the_record():
    job = make_started_job(LONG, LONG)
    before = all_records(job)
    job.keep_checkpoint(KEY, SHORT)
    written, (removed,) = take_checkpoint_records(job)
    assert (written, removed.value) == ([], b"")
    # The record of the progress is appended before the removal.
    progress = {record.key: record for record in job_records(job, is_new=False)}
    restored = read_job(before | progress)
    assert restored.tasks_by_key[KEY].checkpoint == SHORT


def test_an_ended_job_and_a_completed_task_keep_no_checkpoints():
    job = make_started_job(LONG, LONG)
    take_checkpoint_records(job)
    job.complete(KEY)
    _, removed = take_checkpoint_records(job)
    assert [record.key for record in removed] == [f"c/{job.task_id(KEY)}"]
    cell = make_cell()
    job.is_cancelled = True
    end_job(cell, job, 1)
    requeue(cell, job, OTHER_KEY, LATER)
    written, removed = take_checkpoint_records(job)
    assert (written, len(removed)) == ([], 1)
    assert not any(task.checkpoint for task in job.tasks_by_key.values())


def test_a_dropped_job_leaves_no_checkpoints_in_the_store():
    job = make_started_job(SHORT, LONG)
    written = all_records(job).keys()
    assert {record.key for record in drop_records(job)} == written


def earlier_records(job, is_cancelled=False):
    """Return the records of an earlier version, which held all checkpoints."""
    rows = [(*key, task) for key, task in job.tasks_by_key.items()]
    value = msgspec.msgpack.encode(JobRecord(is_cancelled, False, 0, rows))
    records = all_records(make_started_job(*[""] * len(rows)))
    return records | {f"p/{job.job_id}": KeyedRecord(f"p/{job.job_id}", value)}


def test_checkpoints_in_the_records_of_an_earlier_version_are_read():
    job = make_started_job(LATER, LONG)
    restored = read_job(earlier_records(job))
    assert restored.tasks_by_key == job.tasks_by_key
    written, _ = take_checkpoint_records(restored)
    assert [record.value for record in written] == [LATER.encode(), LONG.encode()]


def test_checkpoints_of_a_job_that_an_earlier_version_ended_are_dropped():
    job = make_started_job(LATER, LONG)
    restored = read_job(earlier_records(job, is_cancelled=True))
    assert take_checkpoint_records(restored) == ([], [])


@pytest.mark.parametrize(
    "key, value",
    [
        (f"c/{make_job(1).job_id}.0.0.1", b"\xff"),
        (f"c/{make_job(1).job_id}.0.0.9", b"task that the job does not have"),
        (f"c/{make_job(9).job_id}.0.0.0", b"job that was dropped"),
        ("c/x", b"no task"),
    ],
)
def test_an_invalid_checkpoint_record_keeps_no_job_from_its_successor(key, value):
    job = make_started_job(LONG, "")
    restored = read_job(all_records(job) | {key: KeyedRecord(key, value)})
    assert restored.tasks_by_key == job.tasks_by_key


def test_the_longest_task_of_a_progress_record_has_the_stated_size():
    task = TaskProgress(
        Phase.COMPLETED,
        *[2**31, "i" * 128, 2**41, 2**31],
        SHORT,
        "i" * 40,
        2**31,
        2**31,
    )
    row = (100_000, 100_000, 100_000, task)
    assert len(msgspec.msgpack.encode(row)) == MAX_TASK_RECORD_BYTES
