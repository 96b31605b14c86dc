"""Bounds of an agent's reply to the leader, and what waits for later replies.

Running tasks are always listed, and their long checkpoints take turns. Ended runs go
out by number, and the next ones once the leader has acknowledged these.
"""

from ..counters import counters
from ..decisionlog import log_decision
from .checkpoints import is_inline

__all__ = ["CheckpointRotation", "log_oversized", "select_ends", "size_of"]

#: Largest total of the long checkpoints of running tasks in a reply, and of the ended
#: runs in it. A peer closes the connection at 8 MiB, and a reply has to cross the link
#: within the margin of the poll's timeout, which is 0.8 s.
MAX_CHECKPOINTS_BYTES = 1_048_576
MAX_ENDED_BYTES = 1_048_576
#: Longest checkpoint that is reported, and so the longest that an order carries.
MAX_CHECKPOINT_BYTES = 1_000_000
#: Largest size of the numbers and the names of fields in the row of an ended run.
ROW_OVERHEAD_BYTES = 64


def size_of(text):
    """Return the encoded size of a text."""
    return len(text) if text.isascii() else len(text.encode())


def log_oversized(row):
    """Count and log a run whose checkpoint is too long to be reported."""
    counters.add("oversized_checkpoints")
    log_decision(
        "checkpoint left out",
        task_id=row.task_id,
        run=row.run,
        size_bytes=size_of(row.checkpoint),
    )


def select_ends(by_number):
    """Return the first ended runs that fit in a reply, and one in any case."""
    selected = []
    remaining_bytes = MAX_ENDED_BYTES
    for number in sorted(by_number):
        end = by_number[number]
        remaining_bytes -= size_of(end.task_id) + size_of(end.checkpoint)
        remaining_bytes -= ROW_OVERHEAD_BYTES
        if selected and remaining_bytes < 0:
            break
        selected.append(end)
    return selected


class CheckpointRotation:
    """Selects whose checkpoints a reply carries, those not sent for longest first."""

    __slots__ = ("_oversized", "_turn", "_turn_by_run")

    def __init__(self):
        self._turn = 0
        #: Turn in which the long checkpoint of a run was last sent.
        self._turn_by_run = {}
        #: Runs whose checkpoints are too long.
        self._oversized = frozenset()

    def select(self, running):
        """Return the rows of long checkpoints for the next reply, by task and run."""
        rows_by_run = {
            (row.task_id, row.run): row
            for row in running
            if row.checkpoint and not is_inline(row.checkpoint)
        }
        self._leave_out_oversized(rows_by_run)
        self._turn += 1
        self._turn_by_run = {run: self._turn_by_run.get(run, 0) for run in rows_by_run}
        selected = _first_that_fit(rows_by_run, self._turn_by_run)
        self._turn_by_run.update(dict.fromkeys(selected, self._turn))
        return selected

    def _leave_out_oversized(self, rows_by_run):
        oversized = {
            run: row
            for run, row in rows_by_run.items()
            if size_of(row.checkpoint) > MAX_CHECKPOINT_BYTES
        }
        for run, row in oversized.items():
            del rows_by_run[run]
            if run not in self._oversized:
                log_oversized(row)
        self._oversized = frozenset(oversized)


def _first_that_fit(rows_by_run, turn_by_run):
    selected = {}
    remaining_bytes = MAX_CHECKPOINTS_BYTES
    for run in sorted(rows_by_run, key=turn_by_run.get):
        remaining_bytes -= size_of(rows_by_run[run].checkpoint)
        if remaining_bytes < 0:
            break
        selected[run] = rows_by_run[run]
    return selected
