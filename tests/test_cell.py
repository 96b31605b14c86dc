import random

from hypothesis import given, settings
from hypothesis import strategies as st

from bench.fleet import announcement, job, spec
from dotterelspread.cell import MAX_ENDED_JOBS, CellState
from dotterelspread.celltask import NO_EPOCH, TaskPhase
from dotterelspread.record import (
    Envelope,
    InstanceDraining,
    InstanceLeft,
    JobCancelled,
    OwnerRenewed,
    TaskClaimed,
    TaskEnded,
    TaskLapsed,
    TaskReleased,
)
from dotterelspread.resources import Resources

CAPACITY = Resources(4000, 4000, 1)
members = st.integers(0, 2)
incarnations = st.sampled_from([1, 1, 1, 1, 2])
task_ids = st.sampled_from([f"{job_id}/{n}" for job_id in "abs" for n in (0, 1)])
offsets = st.integers(-1, 60)
cores = st.sampled_from([1, 2, 3, 5])
sizes = cores.map(lambda count: Resources(count * 1000, 1000))
outcomes = st.sampled_from(["completed", "failed", "refused"])


def owner_id(number):
    return f"i{number:02d}"


owners = members.map(owner_id)
announced = st.builds(announcement, members, incarnations, st.just(CAPACITY))
submitted = st.builds(
    lambda job_id, millicores: job(
        job_id,
        *(spec(f"{job_id}/{n}", millicores * 1000) for n in (0, 1)),
        is_service=job_id == "s",
    ),
    st.sampled_from("abs"),
    cores,
)
claimed = st.builds(TaskClaimed, task_ids, owners, incarnations, sizes)
records = st.one_of(
    announced,
    submitted,
    claimed,
    claimed,
    st.builds(InstanceDraining, owners, incarnations),
    st.builds(InstanceLeft, owners, incarnations),
    st.builds(JobCancelled, st.sampled_from("abs")),
    st.builds(
        OwnerRenewed, owners, incarnations, st.dictionaries(task_ids, sizes, max_size=1)
    ),
    st.builds(TaskEnded, task_ids, offsets, outcomes),
    st.builds(TaskReleased, task_ids, offsets, st.text("ab", max_size=2)),
    st.builds(TaskLapsed, task_ids, offsets, offsets),
)


def with_current_epoch(record, cell, rng):
    """Set the current epoch and renewal in most records about an existing task."""
    if not isinstance(record, TaskEnded | TaskReleased | TaskLapsed):
        return record
    task = cell.tasks_by_id.get(record.task_id)
    if task is None or rng.random() < 0.2:
        return record
    if isinstance(record, TaskEnded):
        return TaskEnded(record.task_id, task.epoch, record.outcome)
    if isinstance(record, TaskReleased):
        return TaskReleased(record.task_id, task.epoch, record.checkpoint)
    renewal = cell.renewal_of(task) if task.phase is TaskPhase.OWNED else NO_EPOCH
    return TaskLapsed(record.task_id, task.epoch, renewal)


def check_invariants(cell, ended_by_id):
    for member in cell.members_by_id.values():
        tasks = [cell.tasks_by_id[task_id] for task_id in member.task_ids]
        assert all(task.owner_id == member.instance_id for task in tasks)
        assert member.reserved == sum((t.reserved for t in tasks), Resources())
        assert member.reserved.fits_in(CAPACITY)
    owned = [t for t in cell.tasks_by_id.values() if t.phase is TaskPhase.OWNED]
    held = [task_id for m in cell.members_by_id.values() for task_id in m.task_ids]
    assert sorted(held) == sorted(task.task_id for task in owned)
    pending = [
        t.order for t in cell.tasks_by_id.values() if t.phase is TaskPhase.PENDING
    ]
    assert cell.pending == sorted(pending)
    for task in cell.tasks_by_id.values():
        if task.task_id in ended_by_id:
            ended = (task.phase, task.outcome)
            assert ended == (TaskPhase.ENDED, ended_by_id[task.task_id])
        elif task.phase is TaskPhase.ENDED:
            ended_by_id[task.task_id] = task.outcome
    for a_job in cell.jobs_by_id.values():
        phases = [cell.tasks_by_id[task_id].phase for task_id in a_job.task_ids]
        assert a_job.open_tasks == sum(p is not TaskPhase.ENDED for p in phases)


@settings(max_examples=150, derandomize=True, deadline=None)
@given(
    st.lists(submitted, min_size=2, max_size=3),
    st.lists(records, min_size=20, max_size=60),
    st.integers(0, 60),
    st.integers(0, 1000),
)
def test_any_records_preserve_invariants_and_a_snapshot_resumes(
    first, then, snapshot_at, seed
):
    rng, cell, resumed, ended_by_id = random.Random(seed), CellState(), None, {}
    start = [announcement(number, capacity=CAPACITY) for number in (0, 1)]
    for offset, record in enumerate(start + first + then):
        if offset == snapshot_at:
            resumed = CellState.from_snapshot(cell.to_snapshot())
        envelope = Envelope(1, offset, with_current_epoch(record, cell, rng))
        is_valid = cell.apply(offset, envelope)
        if resumed is not None:
            assert resumed.apply(offset, envelope) == is_valid
        check_invariants(cell, ended_by_id)
    if resumed is not None:
        assert resumed.to_snapshot() == cell.to_snapshot()


def test_a_cancellation_and_an_end_take_effect_in_log_order():
    for is_first in (True, False):
        cell = CellState()
        end, cancel = TaskEnded("a/0", 2, "completed"), JobCancelled("a")
        claim = TaskClaimed("a/0", "i00", 1, Resources(1000, 1000))
        start = [announcement(0, capacity=CAPACITY), job("a", spec("a/0")), claim]
        order = [cancel, end] if is_first else [end, cancel]
        for offset, record in enumerate(start + order):
            cell.apply(offset, Envelope(1, offset, record))
        expected = "cancelled" if is_first else "completed"
        assert cell.tasks_by_id["a/0"].outcome == expected


def test_archived_jobs_are_found():
    cell = CellState()
    for number in range(MAX_ENDED_JOBS + 2):
        cell.apply(2 * number, Envelope(1, 0, job(f"j{number}")))
        cell.apply(2 * number + 1, Envelope(1, 1, JobCancelled(f"j{number}")))
    assert "j0" not in cell.jobs_by_id
    for job_id in ("j0", f"j{MAX_ENDED_JOBS}"):
        found, (task,) = cell.find_job(job_id)
        assert (found.job_id, task.outcome) == (job_id, "cancelled")
    assert cell.find_job("x") is None
