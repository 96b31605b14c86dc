"""Encoding of jobs as journal records."""

import msgspec

from dotterelspread.jobs.job import Job, Phase, TaskProgress
from dotterelspread.jobs.journal import KeyedRecord
from dotterelspread.jobs.paircost import MAX_PAIRS, CostEstimate, PairCosts
from dotterelspread.jobs.records import (
    costs_record,
    drop_records,
    job_records,
    read_costs,
    read_jobs,
)
from tests.builders_fleet import make_job, make_step, run_scenario

MAX_RECORD_BYTES = 262_144


def make_large_job(count):
    job = Job.from_spec(make_job(1, (make_step(count=count),)), 0.0)
    worker_id, checkpoint = "i-0123456789", "c" * 40
    for number, key in enumerate(job.tasks_by_key):
        phase = Phase.ASSIGNED if number % 2 else Phase.COMPLETED
        state = TaskProgress(
            phase, 300, worker_id, 2**41, 3, checkpoint, worker_id, 5, 4
        )
        job.tasks_by_key[key] = state
    return job


def test_a_large_job_round_trips_through_records_of_bounded_size():
    job = make_large_job(20_000)
    records = job_records(job, is_new=True)
    assert max(len(r.value) + len(r.key) for r in records) < MAX_RECORD_BYTES
    (restored,) = read_jobs({record.key: record for record in records}, 0.0)
    assert restored.tasks_by_key == job.tasks_by_key
    assert restored.incomplete_by_step == {(0, 0): 10_000}
    assert restored.pending_by_step == {(0, 0): 0}


def test_a_task_keeps_its_record_when_earlier_tasks_start():
    job = Job.from_spec(make_job(1, (make_step(count=2500),)), 0.0)
    job.tasks_by_key[0, 0, 1500] = TaskProgress(Phase.ASSIGNED, 1, "i-1", 1)
    before = {r.key: r for r in job_records(job, is_new=True)}
    for index in range(1400):
        job.tasks_by_key[0, 0, index] = TaskProgress(Phase.ASSIGNED, 1, "i-1", 1)
    after = {r.key: r for r in job_records(job, is_new=False)}
    first = "p/" + job.job_id
    (restored,) = read_jobs(before | {first: after[first]}, 0.0)
    assert restored.tasks_by_key[0, 0, 1500].run == 1
    assert restored.pending_by_step == {(0, 0): 1499}


def test_drop_records_remove_all_keys_of_a_job():
    job = make_large_job(2500)
    kept = {record.key for record in job_records(job, is_new=True)}
    dropped = drop_records(job)
    assert {record.key for record in dropped} == kept
    assert not any(record.value for record in dropped)


def test_a_large_job_survives_failover():
    async def scenario(fleet):
        job = make_job(1, (make_step(count=2500),))
        fleet.durations[job.job_id] = 0.2
        await fleet.submit(job)
        await fleet.settle(1)
        next(e for e in fleet.entries if e.candidate.leader).kill()
        await fleet.settle(60)
        assert (await fleet.state(job.job_id, 0)).state or (
            await fleet.state(job.job_id, 1)
        ).state
        assert fleet.checker.runs > 1500

    run_scenario(scenario)


def test_a_record_from_before_crashes_were_counted_is_read():
    job = Job.from_spec(make_job(1), 0.0)
    earlier_fields = [Phase.ASSIGNED, 2, "i-1", 7, 1, "c", "i-0"]
    value = msgspec.msgpack.encode([False, False, 0, [(0, 0, 0, earlier_fields)]])
    records = {record.key: record for record in job_records(job, is_new=True)}
    key = "p/" + job.job_id
    (restored,) = read_jobs(records | {key: KeyedRecord(key, value)}, 0.0)
    task = restored.tasks_by_key[0, 0, 0]
    assert task == TaskProgress(Phase.ASSIGNED, 2, "i-1", 7, 1, "c", "i-0", 0, 0)


def test_the_records_of_a_job_fit_whatever_the_ids_of_its_workers_are():
    job = make_large_job(1000)
    for task in job.tasks_by_key.values():
        task.run = task.failures = task.crashes = task.early_crashes = 2**31
        task.worker_id = task.avoided_worker_id = "i" * 128
    records = job_records(job, is_new=True)
    assert max(len(r.value) + len(r.key) for r in records) < MAX_RECORD_BYTES
    (restored,) = read_jobs({record.key: record for record in records}, 0.0)
    assert restored.tasks_by_key[0, 0, 999].worker_id == "i" * 128


def test_the_record_of_pair_costs_keeps_the_latest_pairs_that_fit():
    pairs = [("serving" * 30, f"filler {n} " * 20) for n in range(MAX_PAIRS)]
    costs = PairCosts({pair: CostEstimate() for pair in pairs})
    record = costs_record(costs)
    assert MAX_RECORD_BYTES / 3 < record.stored_bytes < MAX_RECORD_BYTES
    kept = list(read_costs({record.key: record}).by_pair)
    assert kept == pairs[-len(kept) :]
