"""Jobs whose orders have an outcome that nobody knows."""

from dataclasses import replace

import msgspec
import pytest

from dotterelspread.jobs.agentreport import EndedRun, RunEnd, RunningTask
from dotterelspread.jobs.cell import CellTick, StartRun, StopRun
from dotterelspread.jobs.handlers import reduce
from dotterelspread.jobs.incarnations import remove_worker
from dotterelspread.jobs.job import Job, JobRecord, JobState, TaskProgress
from dotterelspread.resources import Resources
from tests.builders_cell import (
    make_cell,
    make_report,
    make_worker,
    settle_order,
    submit,
)
from tests.builders_fleet import make_job, make_step

JOB_ID = make_job(1).job_id


def make_started_cell():
    """Return a cell with a job of one task, its state and the order of its start."""
    cell = make_cell(make_worker(0))
    (start,) = submit(cell, make_step())
    return cell, cell.jobs_by_id[JOB_ID], start


def lose_worker(cell, now_s=5.0):
    """Give the worker up, as it is silent and its lease is over."""
    remove_worker(cell, cell.workers_by_id["i-0"], now_s)


@pytest.mark.parametrize("result", ["unknown", "gone", "refused", "unsent"])
def test_a_job_whose_start_is_not_confirmed_is_still_pending(result):
    # Guards against waiting jobs that are missing from the pending ones, and are shown
    # as running, since a start of theirs got no answer from a worker that was cut off.
    cell, job, start = make_started_cell()
    settle_order(cell, start, result)
    assert (job.has_begun, job.state) == (False, JobState.QUEUED)
    if start.task_id in cell.workers_by_id["i-0"].runs_by_task:
        lose_worker(cell)
    assert (job.has_begun, job.state) == (False, JobState.QUEUED)


def test_a_stop_that_rules_out_a_start_does_not_begin_a_job():
    cell, job, start = make_started_cell()
    settle_order(cell, start, "unknown")
    cell.workers_by_id["i-0"].set_capacity(Resources())
    (stop,) = [e for e in reduce(CellTick(1.0, 0), cell) if isinstance(e, StopRun)]
    settle_order(cell, stop, "confirmed", 1.1, 1100)
    assert (job.has_begun, job.state) == (False, JobState.QUEUED)


def test_a_start_that_is_confirmed_as_it_is_withdrawn_does_not_begin_a_job():
    # A worker answers so to a run that it has neither started nor will.
    cell, job, start = make_started_cell()
    start.run.stop_reason = "unsuitable"
    settle_order(cell, start, "confirmed")
    assert not job.has_begun


def test_a_start_that_the_agent_has_ruled_out_does_not_begin_a_job():
    # Guards against jobs that are missing from the pending ones, since the worker
    # refused a repeated start and the stop of the earlier attempt was confirmed.
    cell, job, start = make_started_cell()
    settle_order(cell, start, "confirmed", has_begun=False)
    assert (job.has_begun, job.state) == (False, JobState.QUEUED)
    assert not start.run.confirmed_ms


@pytest.mark.parametrize("is_listed", [False, True])
def test_a_job_whose_task_began_on_a_lost_worker_is_not_pending(is_listed):
    cell, job, start = make_started_cell()
    if is_listed:
        row = RunningTask(start.task_id, 1, "", 10, 0)
        reduce(make_report(0, 0.5, row), cell)
    else:
        settle_order(cell, start, "confirmed")
    lose_worker(cell)
    assert (job.has_begun, job.state) == (True, JobState.RUNNING)


@pytest.mark.parametrize("run", [1, 2])
@pytest.mark.parametrize("how", [RunEnd.LEASE_EXPIRED, RunEnd.STOPPED])
def test_an_end_shows_that_a_job_has_begun(run, how):
    # The start got no answer, and the worker was cut off until its lease was over.
    cell, job, start = make_started_cell()
    settle_order(cell, start, "unknown")
    if run == 2:
        lose_worker(cell)
    event = make_report(0, 9.0)
    end = EndedRun(1, start.task_id, 1, how, "")
    reduce(replace(event, report=replace(event.report, ended=(end,))), cell)
    assert (job.has_begun, job.state) == (True, JobState.RUNNING)


def test_a_run_that_is_listed_late_shows_that_a_job_has_begun():
    # The worker has carried out a start after the run was given up.
    cell, job, start = make_started_cell()
    settle_order(cell, start, "unknown")
    lose_worker(cell)
    effects = reduce(make_report(1, 5.5), cell)
    assert StartRun in [type(effect) for effect in effects]
    reduce(make_report(0, 6.0, RunningTask(start.task_id, 1, "", 0, 0)), cell)
    assert (job.has_begun, job.state) == (True, JobState.RUNNING)


class JobRecordBefore(msgspec.Struct, array_like=True):
    """Record of a job's progress as the version before reads and writes it."""

    is_cancelled: bool
    has_failed: bool
    ended_ms: int
    tasks: list[tuple[int, int, int, TaskProgress]]


def succeed(job, record_type=JobRecord):
    """Return a job as a successor reads it, from a record of a version."""
    record = msgspec.msgpack.encode(job.to_record(job.tasks_by_key))
    record = msgspec.msgpack.encode(msgspec.msgpack.decode(record, type=record_type))
    successor = Job.from_spec(job.spec, 0.0)
    successor.apply_record(msgspec.msgpack.decode(record, type=JobRecord))
    return successor


@pytest.mark.parametrize("result", ["unknown", "refused"])
def test_a_job_that_waits_is_still_pending_after_a_hand_over(result):
    # Guards against a successor that takes each job that was ever assigned for begun.
    cell, job, start = make_started_cell()
    settle_order(cell, start, result)
    if result == "unknown":
        lose_worker(cell)
    assert succeed(job).state == JobState.QUEUED


def test_a_job_that_has_begun_is_not_pending_after_a_hand_over():
    cell, job, start = make_started_cell()
    settle_order(cell, start, "confirmed")
    lose_worker(cell)
    assert succeed(job).state == JobState.RUNNING


@pytest.mark.parametrize("result", ["refused", "confirmed"])
def test_a_job_in_a_record_of_the_version_before_counts_as_begun(result):
    cell, job, start = make_started_cell()
    settle_order(cell, start, result)
    assert succeed(job, JobRecordBefore).state == JobState.RUNNING


def test_the_next_append_tells_that_a_job_has_begun():
    cell, _, start = make_started_cell()
    cell.dirty_job_ids.clear()
    settle_order(cell, start, "confirmed")
    assert not cell.dirty_job_ids
    assert cell.begun_job_ids == {JOB_ID}
