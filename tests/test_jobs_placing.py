"""Tests of placement: the choice of workers and the order of jobs."""

import pytest

from dotterelspread.jobs.agentreport import RunningTask
from dotterelspread.jobs.cell import AppendDone, Cancelled, CellTick, Submitted
from dotterelspread.jobs.handlers import reduce
from dotterelspread.jobs.job import Job, Phase
from dotterelspread.jobs.lifecycle import make_run
from dotterelspread.jobs.paircost import CostEstimate
from dotterelspread.jobs.placement import placing, workerchoice
from dotterelspread.jobs.placement.ordering import order_jobs
from dotterelspread.jobs.placement.placing import place
from dotterelspread.jobs.placement.scoring import FillerDemand, expected_speed
from dotterelspread.jobs.placement.workerchoice import IDLE_JOB_TIMEOUT_S
from dotterelspread.jobs.queues import Queue
from dotterelspread.jobs.records import costs_record, read_costs
from dotterelspread.jobs.submitting import add_job
from dotterelspread.jobs.taskrun import RunStopReason
from dotterelspread.resources import Resources
from tests.builders_cell import (
    CAPACITY,
    make_cell,
    make_report,
    make_worker,
    submit,
    workers_of,
)
from tests.builders_fleet import QUEUE, make_job, make_step


def test_no_worker_is_assigned_more_than_its_capacity():
    cell = make_cell(make_worker(0), make_worker(1))
    effects = submit(cell, make_step(count=20, demand=Resources(3000, 100)))
    assert sorted(workers_of(effects)) == ["i-0"] * 2 + ["i-1"] * 2
    for worker in cell.workers_by_id.values():
        assert worker.reserved.fits_in(CAPACITY)


def test_memory_and_accelerators_limit_placement_too():
    cell = make_cell(make_worker(0))
    step = make_step(count=5, demand=Resources(100, 100, 1))
    assert len(submit(cell, step)) == 1
    step = make_step(count=5, demand=Resources(100, 9000))
    assert len(submit(cell, step, number=2)) == 1


def test_a_draining_or_unreachable_worker_gets_nothing():
    cell = make_cell(make_worker(0, is_draining=True), make_worker(1))
    cell.workers_by_id["i-1"].is_reachable = False
    assert submit(cell, make_step()) == []


def test_a_worker_of_another_service_gets_nothing():
    assert submit(make_cell(make_worker(0, service="other")), make_step()) == []


def test_a_step_with_a_required_label_uses_only_workers_with_it():
    cell = make_cell(make_worker(0), make_worker(1, labels=frozenset({"special"})))
    effects = submit(cell, make_step(count=3, required_label="special"))
    assert set(workers_of(effects)) == {"i-1"}


def test_the_rack_with_the_data_is_preferred():
    cell = make_cell(*(make_worker(number) for number in range(4)))
    effects = submit(cell, make_step(count=2, preferred_rack="rack1"))
    assert set(workers_of(effects)) == {"i-1", "i-3"}


def test_no_more_tasks_of_a_step_on_one_worker_than_allowed():
    cell = make_cell(make_worker(0), make_worker(1))
    effects = submit(cell, make_step(count=5, max_per_worker=2))
    assert sorted(workers_of(effects)) == ["i-0"] * 2 + ["i-1"] * 2


def test_a_gang_starts_whole_or_not_at_all():
    cell = make_cell(make_worker(0))
    big = make_step(count=3, is_gang=True, demand=Resources(3000, 10))
    assert submit(cell, big) == []
    assert cell.workers_by_id["i-0"].reserved == Resources()
    effects = submit(
        cell, make_step(count=2, is_gang=True, demand=Resources(3000, 10)), number=2
    )
    assert {effect.run.run for effect in effects} == {1}
    assert len(effects) == 2


def test_a_gang_of_one_rack_goes_to_one_rack_where_it_fits():
    cell = make_cell(*(make_worker(number) for number in range(4)))
    step = make_step(count=4, is_gang=True, same_rack=True, demand=Resources(4000, 10))
    effects = submit(cell, step)
    assert len({effect.worker.rack for effect in effects}) == 1


def test_a_failed_task_prefers_another_worker():
    cell = make_cell(make_worker(0), make_worker(1))
    job = Job.from_spec(make_job(1), 0.0)
    job.tasks_by_key[0, 0, 0].avoided_worker_id = "i-1"
    add_job(cell, job, 0)
    assert workers_of(place(cell, 0.0)) == ["i-0"]


def submit_serving(cell, number, image):
    step = make_step(
        demand=Resources(2000, 100), is_service=True, target_ms=20, image=image
    )
    return workers_of(submit(cell, step, number=number))


def add_suspects(cell, number, count, **changes):
    job = Job.from_spec(make_job(number, (make_step(count=count, **changes),)), 0.0)
    for task in job.tasks_by_key.values():
        task.early_crashes = 1
    add_job(cell, job, 0)
    return workers_of(place(cell, 0.0))


def test_suspects_of_a_crash_start_apart_from_each_other_and_from_other_work():
    cell = make_cell(*(make_worker(number) for number in range(4)))
    (busy,) = workers_of(submit(cell, make_step(is_service=True, target_ms=20)))
    suspects = add_suspects(cell, 2, 3)
    assert sorted([busy, *suspects]) == ["i-0", "i-1", "i-2", "i-3"]
    assert workers_of(submit(cell, make_step(count=4), number=3)) == [busy] * 4


def test_a_suspect_starts_beside_other_suspects_when_there_is_no_other_room():
    cell = make_cell(make_worker(0))
    assert add_suspects(cell, 1, 3) == ["i-0"] * 3
    assert workers_of(submit(cell, make_step(), number=2)) == ["i-0"]


def test_a_run_that_lasts_clears_its_task_of_suspicion():
    cell = make_cell(make_worker(0))
    add_suspects(cell, 1, 1)
    task_id = f"{1:016x}.0.0.0"
    row = RunningTask(task_id, 1, "", 10, 0)
    for tenths in range(1, 8):
        reduce(make_report(0, tenths / 10, row), cell)
    (task,) = cell.jobs_by_id[f"{1:016x}"].tasks_by_key.values()
    assert task.early_crashes == 0
    assert cell.workers_by_id["i-0"].probation_count == 0


def test_serving_tasks_are_kept_on_few_workers():
    cell = make_cell(*(make_worker(number) for number in range(3)))
    for number, image in enumerate("xyxy"):
        submit_serving(cell, number, image)
    counts = [worker.serving_count for worker in cell.workers_by_id.values()]
    assert sorted(counts) == [0, 0, 4]


def test_serving_tasks_of_an_image_are_kept_together():
    cell = make_cell(make_worker(0), make_worker(1))
    (first,) = submit_serving(cell, 0, "x")
    cell.workers_by_id[first].is_draining = True
    (second,) = submit_serving(cell, 1, "y")
    (third,) = submit_serving(cell, 2, "y")
    cell.workers_by_id[first].is_draining = False
    # The other worker has fewer available resources and would win without the image.
    assert (second, third) != (first, first)
    assert submit_serving(cell, 3, "x") == [first]


def test_a_filler_avoids_serving_tasks_that_it_interferes_with():
    cell = make_cell(make_worker(0), make_worker(1))
    serving = make_step(is_service=True, target_ms=20, image="s")
    effects = submit(cell, serving, number=1)
    (busy,) = workers_of(effects)
    cell.workers_by_id[busy].baseline_tail_by_image = {"s": 0.6}
    cell.costs.by_pair["s", "heavy"] = CostEstimate(0.3, 0.0)
    cell.costs.by_pair["s", "light"] = CostEstimate(0.0, 0.0)
    heavy = make_step(is_filler=True, image="heavy", demand=Resources(3000, 10))
    light = make_step(is_filler=True, image="light", demand=Resources(3000, 10))
    assert workers_of(submit(cell, heavy, number=2)) != [busy]
    assert workers_of(submit(cell, light, number=3)) == [busy]


def test_expected_speed_falls_with_the_tail_increase_budget():
    cell = make_cell()
    worker = make_worker(0, baseline_tail_by_image={"s": 0.4})
    cell.costs.by_pair["s", "f"] = CostEstimate(0.5, 0.0)
    filler_demand = FillerDemand("f", 3000, 0.0)
    quiet = expected_speed(cell.costs, filler_demand, worker)
    worker.baseline_tail_by_image = {"s": 0.6}
    assert 0 < expected_speed(cell.costs, filler_demand, worker) < quiet < 1


def test_a_job_with_nothing_running_gets_a_filler_however_busy_the_workers_are():
    cell = make_cell(make_worker(0))
    step = make_step(count=8, is_filler=True, demand=Resources(8000, 10))
    assert len(submit(cell, step, number=1)) == 1
    assert submit(cell, step, number=2) == []
    cell.jobs_by_id[f"{1:016x}"].last_active_s = IDLE_JOB_TIMEOUT_S
    assert len(reduce(CellTick(IDLE_JOB_TIMEOUT_S + 0.1, 0), cell)) == 1


def test_the_urgent_queue_comes_first():
    urgent = Queue("u", "host", "/u/", "svc", 0, 3, 2.0, 500)
    later = Queue("l", "host", "/l/", "svc", 2, 3, 2.0, 500)
    cell = make_cell(queues=(urgent, later))
    submit(cell, make_step(), number=1, queue=later)
    submit(cell, make_step(), number=2, queue=urgent)
    first, second = order_jobs(cell, 0.0)
    assert (first.spec.queue.name, second.spec.queue.name) == ("u", "l")


def test_under_overload_more_jobs_meet_their_objective_than_in_order_of_arrival():
    """Runs ten jobs of unequal size, due at once, on one worker with eight slots."""

    def count_on_time(order):
        cell = make_cell(make_worker(0))
        sizes = [40, 40, 3, 3, 3, 3, 3, 3, 3, 3]
        jobs = []
        for number, size in enumerate(sizes):
            job = Job.from_spec(make_job(number, [make_step(count=size)]), 0.0)
            cell.jobs_by_id[job.job_id] = job
            for key in job.tasks_by_key:
                cell.set_ready(job, key)
            jobs.append(job)
        now_s = 0.0
        on_time = 0
        while cell.ready_by_job:
            free_slots = 8
            for job in order(cell, now_s):
                for key in list(cell.ready_by_job[job.job_id]):
                    if free_slots:
                        free_slots -= 1
                        job.complete(key)
                        cell.clear_ready(job, key)
            now_s += 0.5
            for job in [j for j in jobs if j.is_complete]:
                jobs.remove(job)
                on_time += now_s <= 1.5 + 2 * 0.5
        return on_time

    def by_arrival(cell, now_s):
        return [cell.jobs_by_id[job_id] for job_id in sorted(cell.ready_by_job)]

    assert count_on_time(order_jobs) > count_on_time(by_arrival)


def test_placement_counts_runs_that_are_not_yet_reported():
    cell = make_cell(make_worker(0))
    worker = cell.workers_by_id["i-0"]
    submit(cell, make_step(count=1, is_filler=True, demand=Resources(6000, 10)))
    assert worker.idle_millicores == 2000
    (run,) = worker.runs_by_task.values()
    run.used_millicores = 1000
    worker.invalidate_usage()
    assert worker.idle_millicores == 7000


def test_a_new_leader_waits_for_worker_reports_before_placing():
    first, second = make_worker(0), make_worker(1)
    cell = make_cell(first)
    cell.placing_start_s = 10.0
    assert submit(cell, make_step(count=8)) == []
    cell.workers_by_id["i-1"] = second
    effects = reduce(CellTick(10.0, 0), cell)
    assert sorted(workers_of(effects)) == ["i-0"] * 4 + ["i-1"] * 4


def test_an_assignment_updates_the_task_and_the_dirty_set():
    cell = make_cell(make_worker(0))
    (effect,) = submit(cell, make_step())
    job = cell.jobs_by_id[effect.run.job_id]
    task = job.tasks_by_key[effect.run.key]
    assert (task.phase, task.run, task.worker_id) == (Phase.ASSIGNED, 1, "i-0")
    assert cell.dirty_job_ids == {job.job_id}
    assert make_run(job, effect.run.key, 1).reserved == effect.run.reserved


def test_learned_costs_survive_a_failover():
    cell = make_cell()
    cell.costs.by_pair["s", "f"] = CostEstimate(0.25, 0.02)
    record = costs_record(cell.costs)
    assert read_costs({record.key: record}).of("s", "f") == CostEstimate(0.25, 0.02)
    assert read_costs({}).by_pair == {}


def test_a_job_whose_only_filler_stalls_gets_another_started():
    cell = make_cell(make_worker(0))
    step = make_step(count=2, is_filler=True, demand=Resources(8000, 10))
    (first,) = submit(cell, step)
    assert reduce(CellTick(1.0, 0), cell) == []
    job = cell.jobs_by_id[first.run.job_id]
    job.last_active_s = 10.0
    assert reduce(CellTick(10.0 + IDLE_JOB_TIMEOUT_S - 0.1, 0), cell) == []
    assert len(reduce(CellTick(10.0 + IDLE_JOB_TIMEOUT_S + 0.1, 0), cell)) == 1


def test_a_stop_order_carries_its_reason():
    cell = make_cell(make_worker(0))
    spec = make_job(1, (make_step(),))
    (start,) = reduce(Submitted(0.0, spec, 0), cell)
    start.run.is_start_in_flight = False
    (stop,) = reduce(Cancelled(0.1, spec.job_id, 0), cell)
    assert stop.run.stop_reason == RunStopReason.CANCELLED


def test_placement_is_deferred_until_the_append_in_progress_is_done():
    cell = make_cell(make_worker(0))
    cell.is_append_under_way = True
    assert submit(cell, make_step()) == []
    assert submit(cell, make_step(), number=2) == []
    cell.is_append_under_way = False
    assert len(reduce(AppendDone(0.1), cell)) == 2
    assert reduce(AppendDone(0.2), cell) == []


def test_a_backlog_of_similar_jobs_checks_each_full_worker_once(monkeypatch):
    cell = make_cell(*(make_worker(number) for number in range(20)))
    submit(cell, make_step(count=40, demand=Resources(4000, 10)))
    checked = []
    can_host = workerchoice.can_host

    def count_check(worker, step):
        checked.append(worker.worker_id)
        return can_host(worker, step)

    monkeypatch.setattr(placing, "can_host", count_check)
    monkeypatch.setattr(workerchoice, "can_host", count_check)
    for number in range(2, 50):
        spec = make_job(number, (make_step(count=10, demand=Resources(4000, 10)),))
        add_job(cell, Job.from_spec(spec, 0.0), 0)
    assert place(cell, 0.0) == []
    assert len(checked) <= 20


def test_a_smaller_job_is_placed_while_a_larger_one_does_not_fit():
    cell = make_cell(make_worker(0, capacity=Resources(3000, 16_000)))
    assert submit(cell, make_step(demand=Resources(4000, 10))) == []
    assert len(submit(cell, make_step(demand=Resources(3000, 10)), number=2)) == 1
    assert submit(cell, make_step(demand=Resources(3000, 10)), number=3) == []


def submit_wide_jobs(*queues, count, room):
    """Submit a job of many tasks to each queue at once; return cell and first starts.

    Parameters
    ----------
    queues : Queue
    count : int
        Number of tasks of each job.
    room : int
        Number of tasks that the ten workers of the cell have room for.
    """
    capacity = Resources(10 * room, 10 * room)
    workers = [make_worker(number, capacity=capacity) for number in range(10)]
    cell = make_cell(*workers, queues=queues)
    cell.is_append_under_way = True
    for number, queue in enumerate(queues, 1):
        step = make_step(count=count, demand=Resources(100, 100))
        assert submit(cell, step, number=number, queue=queue) == []
    cell.is_append_under_way = False
    return cell, reduce(AppendDone(0.1), cell)


def confirm_starts(cell):
    """Record that all runs have started."""
    for worker in cell.workers_by_id.values():
        for run in worker.runs_by_task.values():
            worker.confirm(run)


def test_a_pass_ends_after_a_number_of_starts_and_the_next_goes_on():
    # Guards against a leader that does nothing but place one wide step for seconds.
    count = 2 * placing.MAX_STARTS_PER_PASS + 30
    cell, starts = submit_wide_jobs(QUEUE, count=count, room=count)
    assert len(starts) == placing.MAX_STARTS_PER_PASS
    assert cell.is_placing_due
    confirm_starts(cell)
    assert len(reduce(AppendDone(0.2), cell)) == placing.MAX_STARTS_PER_PASS
    confirm_starts(cell)
    assert len(reduce(AppendDone(0.3), cell)) == 30
    assert not cell.is_placing_due
    assert reduce(AppendDone(0.4), cell) == []


def test_a_job_gets_its_room_before_later_ones_over_several_passes():
    # Guards against a later job that takes the room of one whose pass has ended.
    urgent = Queue("urgent", "host", "/u/", "svc", 0, 3, 2.0, 500)
    later = Queue("later", "host", "/l/", "svc", 1, 3, 2.0, 500)
    count = placing.MAX_STARTS_PER_PASS + 50
    cell, starts = submit_wide_jobs(later, urgent, count=count, room=count + 20)
    while cell.is_placing_due:
        confirm_starts(cell)
        starts += reduce(AppendDone(0.2), cell)
    started = [effect.run.job_id for effect in starts]
    first, second = (job.job_id for job in cell.jobs_by_id.values())
    assert started == [second] * count + [first] * 20


def test_a_step_that_fits_starts_behind_a_wide_one_that_does_not():
    # Guards against a bound by tasks that are tried instead of those that start.
    cell = make_cell(make_worker(0))
    wide = make_step(count=2 * placing.MAX_STARTS_PER_PASS, demand=Resources(9000, 10))
    [start] = submit(cell, wide, make_step())
    assert start.run.key == (0, 1, 0)


def test_many_steps_of_a_job_do_not_start_in_one_pass():
    cell = make_cell(*(make_worker(number) for number in range(10)))
    tiny = make_step(demand=Resources(10, 10))
    starts = submit(cell, *[tiny] * (placing.MAX_STARTS_PER_PASS + 1))
    assert len(starts) == placing.MAX_STARTS_PER_PASS
    confirm_starts(cell)
    assert len(reduce(AppendDone(0.1), cell)) == 1


@pytest.mark.parametrize("is_gang", [True, False])
def test_only_the_worker_that_has_changed_is_scored_again(is_gang, monkeypatch):
    # Guards against passes whose time grows with tasks times workers.
    cell = make_cell(*(make_worker(number) for number in range(20)))
    scored = []
    placement_score = workerchoice.placement_score

    def note_score(cell, step, worker, filler_demand):
        scored.append(worker.worker_id)
        return placement_score(cell, step, worker, filler_demand)

    monkeypatch.setattr(workerchoice, "placement_score", note_score)
    step = make_step(count=100, demand=Resources(100, 10), is_gang=is_gang)
    assert len(submit(cell, step)) == 100
    assert len(scored) <= 20 + 100


def test_members_that_avoid_a_worker_go_to_another_one():
    # Guards against scores kept for one task that are used for another.
    cell = make_cell(make_worker(0), make_worker(1))
    cell.is_append_under_way = True
    submit(cell, make_step(count=4, is_gang=True, demand=Resources(100, 10)))
    cell.is_append_under_way = False
    [job] = cell.jobs_by_id.values()
    for key in job.keys_of_step(0, 0):
        job.tasks_by_key[key].avoided_worker_id = f"i-{key[2] % 2}"
    starts = place(cell, 0.1)
    assert [effect.worker.worker_id for effect in starts] == ["i-1", "i-0"] * 2
