"""Placement excludes a worker that fails distinct jobs until its probes complete."""

from bench.fleet import announcement, job, spec
from dotterelspread.cell import CellState
from dotterelspread.configuration import Configuration
from dotterelspread.placement import PlacementView, rank_members
from dotterelspread.quarantine import PROBES_TO_LIFT
from dotterelspread.record import Envelope, TaskClaimed, TaskEnded, TaskReleased
from dotterelspread.resources import Resources

MEMBERS = 10
FAILING_ID = "i00"
HEALTHY_ID = "i01"
SIZE = Resources(1000, 1000)
#: Number of offsets after which the next probe of a quarantined worker is due.
PROBE_GAP = 900


class Records:
    """Applies records to a cell at increasing offsets."""

    def __init__(self):
        self.cell = CellState()
        self.offset = -1
        for number in range(MEMBERS):
            self.put(announcement(number))

    def put(self, record):
        self.offset += 1
        assert self.cell.apply(self.offset, Envelope(1, self.offset, record))

    def run(self, task_id, worker_id, ending):
        """Claim a task for a worker and end or release it."""
        self.put(TaskClaimed(task_id, worker_id, 1, SIZE))
        epoch = self.offset
        if ending == "completed":
            self.put(TaskEnded(task_id, epoch, "completed"))
        else:
            self.put(TaskReleased(task_id, epoch, "", ending))

    def ranked_ids(self, task_id):
        view = PlacementView.from_cell(self.cell, Configuration())
        return rank_members(self.cell.tasks_by_id[task_id], view)


def records_with_failing_worker():
    records = Records()
    for number in range(8):
        name = f"job{number}"
        records.put(job(name, spec(f"{name}/0")))
        records.run(f"{name}/0", FAILING_ID, "failed")
        records.run(f"{name}/0", HEALTHY_ID, "completed")
    records.put(job("next", spec("next/0")))
    return records


def test_a_worker_that_fails_distinct_jobs_is_excluded():
    ranked_ids = records_with_failing_worker().ranked_ids("next/0")
    assert FAILING_ID not in ranked_ids
    assert len(ranked_ids) == MEMBERS - 1


def test_evictions_do_not_quarantine_a_worker():
    records = Records()
    for number in range(8):
        name = f"job{number}"
        records.put(job(name, spec(f"{name}/0")))
        records.run(f"{name}/0", FAILING_ID, "eviction")
        records.run(f"{name}/0", HEALTHY_ID, "completed")
    records.put(job("next", spec("next/0")))
    assert FAILING_ID in records.ranked_ids("next/0")


def test_completed_probes_lift_the_quarantine():
    records = records_with_failing_worker()
    for number in range(PROBES_TO_LIFT):
        records.offset += PROBE_GAP
        name = f"probe{number}"
        records.put(job(name, spec(f"{name}/0"), spec(f"{name}/1")))
        assert FAILING_ID in records.ranked_ids(f"{name}/0")
        records.put(TaskClaimed(f"{name}/1", FAILING_ID, 1, SIZE))
        epoch = records.offset
        assert FAILING_ID not in records.ranked_ids(f"{name}/0")
        records.put(TaskEnded(f"{name}/1", epoch, "completed"))
    assert FAILING_ID in records.ranked_ids("next/0")
    records.put(TaskClaimed("next/0", FAILING_ID, 1, SIZE))
    records.put(job("last", spec("last/0")))
    assert FAILING_ID in records.ranked_ids("last/0")
