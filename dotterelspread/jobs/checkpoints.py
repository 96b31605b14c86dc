"""Journal records of checkpoints that are too long for a job's progress records.

A progress record holds many tasks, so each such checkpoint has a record of its own.
"""

from .journal import KeyedRecord
from .spec import parse_task_id
from .unreadable import UNREADABLE_ERRORS, log_unreadable

__all__ = [
    "is_inline",
    "read_checkpoints",
    "removed_checkpoint_records",
    "take_checkpoint_records",
]

#: Prefix of the keys of checkpoints; the task's id follows.
CHECKPOINT_PREFIX = "c/"
#: Longest checkpoint that a progress record holds.
MAX_INLINE_BYTES = 40


def is_inline(checkpoint):
    """Tell whether the progress record of a task holds its checkpoint."""
    return len(checkpoint.encode()) <= MAX_INLINE_BYTES


def take_checkpoint_records(job):
    """Return the records of long checkpoints that have changed, and the removals.

    They are not due again. The former have to be appended before the records of the
    job's progress, and the latter after them, so that a successor that reads only some
    of them has each checkpoint with which a recorded run was started.
    """
    recorded = job.recorded_checkpoints
    if not (job.has_long_checkpoints or recorded):
        return [], []
    current = _long_checkpoints(job)
    changed = [key for key in current if recorded.get(key) != current[key]]
    removed = removed_checkpoint_records(job, recorded.keys() - current.keys())
    job.recorded_checkpoints = current
    return [_checkpoint_record(job, key, current[key]) for key in changed], removed


def removed_checkpoint_records(job, keys):
    """Return the records that remove the checkpoints of tasks."""
    return [_checkpoint_record(job, key, "") for key in sorted(keys)]


def _long_checkpoints(job):
    return {
        key: task.checkpoint
        for key, task in job.tasks_by_key.items()
        if task.checkpoint and not is_inline(task.checkpoint)
    }


def _checkpoint_record(job, key, checkpoint):
    return KeyedRecord(CHECKPOINT_PREFIX + job.task_id(key), checkpoint.encode())


def read_checkpoints(records_by_key):
    """Return the checkpoints of a snapshot by job id, and of a job by `TaskKey`.

    One that cannot be read is left out; its task resumes from its start.
    """
    checkpoints_by_job_id = {}
    for key, record in records_by_key.items():
        if not key.startswith(CHECKPOINT_PREFIX) or not record.value:
            continue
        parsed = parse_task_id(key[len(CHECKPOINT_PREFIX) :])
        if parsed is None:
            continue
        job_id, task_key = parsed
        checkpoints = checkpoints_by_job_id.setdefault(job_id, {})
        checkpoints[task_key] = _decode(record)
    return checkpoints_by_job_id


def _decode(record):
    try:
        return record.value.decode()
    except UNREADABLE_ERRORS as error:
        log_unreadable(record.key, error)
        return ""
