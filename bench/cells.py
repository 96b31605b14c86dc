"""Cost of a cell's state by its number of tasks, for capacity planning.

Half of the tasks run and half wait; then tasks end, start and are submitted. Prints the
costs for each reader: memory, size and time of a snapshot, processor time per record,
and the memory and snapshot size per additional task.

Run with ``python -m bench.cells``.
"""

import argparse
import time
import tracemalloc

from bench.fleet import announcement, job, spec
from dotterelspread.cell import CellState
from dotterelspread.configuration import Configuration
from dotterelspread.designation import DesignationTable
from dotterelspread.placement import PlacementView
from dotterelspread.record import Envelope, TaskClaimed, TaskEnded, encode_record
from dotterelspread.resources import Resources

MEMBER_COUNT = 30
TASK_SIZE = Resources(1000, 500)
RECORD_COUNT = 600


class Reader:
    """Applies records as an agent does, including designations."""

    def __init__(self):
        self.cell = CellState()
        self.table = DesignationTable()
        self.configuration = Configuration()
        self.bytes_read = 0

    def read(self, record, is_designating=True):
        offset = self.cell.next_offset
        envelope = Envelope(1_700_000_000_000, offset, record)
        self.bytes_read += len(encode_record([envelope]))
        self.cell.apply(offset, envelope)
        if is_designating:
            view = PlacementView.from_cell(self.cell, self.configuration)
            self.table.refresh(0.0, view)


def fill(reader, tasks):
    capacity = Resources(tasks // 2 // MEMBER_COUNT * 1000, 10**9)
    for number in range(MEMBER_COUNT):
        reader.read(announcement(number, capacity=capacity), is_designating=False)
    for number in range(tasks):
        task_id = f"job-{number:06d}/0"
        task = spec(task_id, TASK_SIZE.millicores, TASK_SIZE.memory_mb)
        reader.read(job(f"job-{number:06d}", task), is_designating=False)
        if number < tasks // 2 // MEMBER_COUNT * MEMBER_COUNT:
            owner_id = f"i{number % MEMBER_COUNT:02d}"
            reader.read(
                TaskClaimed(task_id, owner_id, 1, TASK_SIZE), is_designating=False
            )


def replace_tasks(reader):
    """Repeatedly end a task, claim a waiting one and submit a new one."""
    members = list(reader.cell.members_by_id.values())
    for number in range(RECORD_COUNT // 3):
        member = members[number % len(members)]
        task = reader.cell.tasks_by_id[member.task_ids[0]]
        reader.read(TaskEnded(task.task_id, task.epoch, "completed"))
        waiting = next(reader.cell.pending_tasks())
        reader.read(TaskClaimed(waiting.task_id, member.instance_id, 1, TASK_SIZE))
        new = spec(f"new-{number:06d}/0", TASK_SIZE.millicores, TASK_SIZE.memory_mb)
        reader.read(job(f"new-{number:06d}", new))


def measure(tasks):
    """Return the costs of a cell with ``tasks`` tasks.

    Returns
    -------
    tuple
        Bytes of memory, bytes of a snapshot, seconds to write it, to load it and per
        record, and bytes of log records per task.
    """
    tracemalloc.start()
    reader = Reader()
    fill(reader, tasks)
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    started_s = time.perf_counter()
    snapshot = reader.cell.to_snapshot()
    made_s = time.perf_counter()
    CellState.from_snapshot(snapshot)
    loaded_s = time.perf_counter()
    bytes_before = reader.bytes_read
    replace_tasks(reader)
    turned_s = time.perf_counter()
    return (
        memory,
        len(snapshot.state),
        made_s - started_s,
        loaded_s - made_s,
        (turned_s - loaded_s) / RECORD_COUNT,
        3 * (reader.bytes_read - bytes_before) / RECORD_COUNT,
    )


def main(args=None):
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--tasks", type=int, nargs="+", default=[1000, 5000, 20_000])
    options = parser.parse_args(args)
    print(
        "tasks   memory MB  snapshot kB  make ms  load ms  us/record  B a task's life"
    )
    rows = []
    for tasks in options.tasks:
        row = measure(tasks)
        rows.append(row)
        memory, size, made_s, loaded_s, record_s, task_bytes = row
        print(
            f"{tasks:6d}  {memory / 1e6:9.2f}  {size / 1e3:11.1f}  {made_s * 1e3:7.1f}"
            f"  {loaded_s * 1e3:7.1f}  {record_s * 1e6:9.1f}  {task_bytes:15.0f}"
        )
    spread = options.tasks[-1] - options.tasks[0]
    memory, size = (rows[-1][n] - rows[0][n] for n in (0, 1))
    print(f"per task: {memory / spread:.0f} B memory, {size / spread:.0f} B snapshot")


if __name__ == "__main__":
    main()
