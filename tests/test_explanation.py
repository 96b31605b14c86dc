"""Operators read in words why a task waits, runs or has ended."""

from dotterelspread.cell import CellState
from dotterelspread.configreader import read_configuration
from dotterelspread.explanation import explain_task
from dotterelspread.placement import PlacementView, rank_members
from dotterelspread.record import (
    Envelope,
    InstanceDraining,
    TaskClaimed,
    TaskEnded,
)
from dotterelspread.resources import Resources

from .builders_tasks import announcement, job, spec

CONFIGURATION = read_configuration(
    """
selectors:
  here: {work: {data: local}, instances: {region: region-a}}
  there: {work: {data: far}, instances: {region: region-b}}
""",
    "f.yaml",
)
JOBS = [
    job("local", labels={"data": "local"}),
    job("far", labels={"data": "far"}),
    job("wide", spec("wide/0", millicores=40_000)),
    job("half", spec("half/0", millicores=16_000)),
]


def read(*records):
    cell = CellState()
    for offset, record in enumerate(records):
        assert cell.apply(offset, Envelope(1, offset, record))
    return cell


def explain(cell, task_id, **options):
    return explain_task(cell.tasks_by_id[task_id], cell, CONFIGURATION, **options)


def test_selectors_see_where_an_instance_is():
    cell = read(announcement(1), *JOBS)
    view = PlacementView.from_cell(cell, CONFIGURATION)
    placed = [
        task_id
        for task_id, task in cell.tasks_by_id.items()
        if rank_members(task, view)
    ]
    assert placed == ["local/0", "half/0"]
    assert explain(cell, "far/0")[1] == (
        "i01: selector there wants region=region-b; the instance has region=region-a"
    )


def test_each_state_is_told():
    members = [announcement(number) for number in range(6)]
    records = [*members, InstanceDraining("i05", 1), *JOBS]
    cell = read(*records, TaskClaimed("half/0", "i00", 1, Resources(16_000, 1000)))
    owned = (
        "owned by i00 since its claim at offset 11, with 16 cores, 1000 MiB reserved"
    )
    assert explain(cell, "half/0") == [owned]
    waits, *reasons = explain(cell, "wide/0", live_ids=frozenset({"i00", "i01"}))
    assert waits == "waits for 40 cores, 1000 MiB; 2 tasks are ahead of it"
    assert reasons == [
        "i00, i01: never fits, it has 32 cores, 128000 MiB, 2 accelerators in all",
        "i02, i03, i04: does not answer",
        "i05: is leaving",
    ]
    assert "i00, i01, i02 and 2 more: it fits" in "\n".join(explain(cell, "local/0"))
    cell.apply(12, Envelope(1, 12, TaskEnded("half/0", 11, "failed", "exit code 3")))
    assert explain(cell, "half/0") == ["ended as failed: exit code 3"]


def test_no_room_names_what_is_free():
    full = TaskClaimed("half/0", "i01", 1, Resources(31_500, 1000))
    cell = read(announcement(1), *JOBS, full)
    assert explain(cell, "local/0")[1] == (
        "i01: no room now, 0.5 cores, 127000 MiB, 2 accelerators are free"
    )
    assert explain(read(*JOBS), "local/0")[1] == "the cell has no instance"
