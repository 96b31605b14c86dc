"""Whether the records of a job fit in the log store, however the job proceeds."""

from .job import MAX_TASK_RECORD_BYTES
from .records import TASKS_PER_RECORD, spec_record

__all__ = ["find_oversized_record"]

#: Largest size of a progress record without its tasks.
PROGRESS_HEADER_BYTES = 64


def find_oversized_record(spec, max_record_bytes):
    """Return which record of a job may become too large; empty if none can.

    Parameters
    ----------
    spec : JobSpec
    max_record_bytes : int
        Limit of the store.
    """
    spec_bytes = spec_record(spec).stored_bytes
    if spec_bytes > max_record_bytes:
        return f"specification: {spec_bytes} bytes, at most {max_record_bytes} allowed"
    tasks = min(spec.task_count, TASKS_PER_RECORD)
    progress_bytes = PROGRESS_HEADER_BYTES + tasks * MAX_TASK_RECORD_BYTES
    if progress_bytes > max_record_bytes:
        return f"progress: {progress_bytes} bytes, at most {max_record_bytes} allowed"
    return ""
