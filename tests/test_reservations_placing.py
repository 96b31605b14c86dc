"""Reservations for waiting work: capacity, holder and duration."""

from dataclasses import replace

import pytest

from dotterelspread.jobs.agentreport import EndedRun, RunEnd
from dotterelspread.jobs.cell import (
    CellTick,
    OrderSettled,
    StartRun,
    Submitted,
)
from dotterelspread.jobs.handlers import reduce
from dotterelspread.jobs.placementpolicy import (
    MAX_RESERVED_JOBS,
    PlacementPolicy,
    PlacementPolicyError,
)
from dotterelspread.jobs.queues import Queue
from dotterelspread.jobs.reportedeffects import ReservationsMade
from dotterelspread.resources import Resources
from tests.builders_cell import make_cell, make_report, make_worker
from tests.builders_fleet import QUEUE, make_job, make_step

LARGE_QUEUE = Queue("large", "host", "/large/", "svc", 0, 3, 2.0, 500)
RELAXED_QUEUE = Queue("relaxed", "host", "/relaxed/", "svc", 0, 3, 5.0, 500)
TIGHT_QUEUE = Queue("tight", "host", "/tight/", "svc", 0, 3, 1.0, 100)
QUEUES = (QUEUE, LARGE_QUEUE, RELAXED_QUEUE, TIGHT_QUEUE)
#: Leader's clock at the start; 0 would stand for runs whose start is not known.
BEGIN_S = 100.0
HEAD_ONLY = PlacementPolicy(reserved_jobs=1)


class TimedCell:
    """A cell of which every event is applied at a given time."""

    def __init__(self, workers=1, policy=HEAD_ONLY, **changes):
        made = [make_worker(number, **changes) for number in range(workers)]
        self.cell = make_cell(*made, queues=QUEUES)
        self.cell.placement_policy = policy
        self.submitted = 0
        self.ends = 0

    def submit(self, now_s, step, queue=QUEUE):
        """Submit a job of one step; return the starts."""
        self.submitted += 1
        spec = make_job(self.submitted, (step,), queue=queue)
        return starts_of(self.apply(Submitted, now_s, spec, 0))

    def apply(self, event_type, now_s, *values):
        return reduce(event_type(BEGIN_S + now_s, *values), self.cell)

    def tick(self, now_s):
        return starts_of(self.apply(CellTick, now_s, 0))

    def end(self, now_s, start):
        """Report that a run on the first worker has completed."""
        self.apply(OrderSettled, now_s, "i-0", 1, start.task_id, 1, "confirmed", 1)
        self.ends += 1
        end = EndedRun(self.ends, start.task_id, start.run.run, RunEnd.COMPLETED, "")
        event = make_report(0, BEGIN_S + now_s)
        event = replace(event, report=replace(event.report, ended=(end,)))
        return starts_of(reduce(event, self.cell))


def starts_of(effects):
    return [effect for effect in effects if isinstance(effect, StartRun)]


def batch(millicores, run_s, count=1, **changes):
    return make_step(
        count=count,
        demand=Resources(millicores, 10),
        estimate_ms=int(1000 * run_s),
        **changes,
    )


def start_running_and_waiting(timed_cell, **changes):
    """Fill 6 of 8 cores for 1.2 s and let a step of 7 cores wait; return the run."""
    [running] = timed_cell.submit(0.0, batch(6000, 1.2))
    assert timed_cell.submit(0.1, batch(7000, 2.0, **changes), LARGE_QUEUE) == []
    return running


def test_without_the_policy_small_work_takes_the_room():
    timed_cell = TimedCell(policy=PlacementPolicy())
    start_running_and_waiting(timed_cell)
    assert len(timed_cell.submit(0.5, batch(1500, 10.0))) == 1


def test_longer_work_does_not_delay_the_waiting_job():
    # Guards against a large job that never finds its processors free at once.
    timed_cell = TimedCell()
    running = start_running_and_waiting(timed_cell)
    assert timed_cell.submit(0.5, batch(1500, 10.0)) == []
    [start] = timed_cell.end(1.2, running)
    assert start.run.millicores == 7000


def test_work_that_ends_before_uses_the_room():
    timed_cell = TimedCell()
    start_running_and_waiting(timed_cell)
    assert len(timed_cell.submit(0.5, batch(1500, 0.3))) == 1


def test_work_that_would_end_before_only_without_a_margin_waits():
    timed_cell = TimedCell()
    start_running_and_waiting(timed_cell)
    # 0.7 s until the room is needed; one run in six takes over 1.6 times as long.
    assert timed_cell.submit(0.5, batch(1500, 0.6), RELAXED_QUEUE) == []
    assert len(timed_cell.submit(0.5, batch(1500, 0.4), RELAXED_QUEUE)) == 1


def test_long_work_uses_room_beside_the_reserved_task():
    timed_cell = TimedCell()
    start_running_and_waiting(timed_cell)
    assert len(timed_cell.submit(0.5, batch(900, 10.0))) == 1


def test_other_workers_are_free_for_all():
    timed_cell = TimedCell(2)
    timed_cell.submit(0.0, batch(6000, 1.2, 2))
    timed_cell.submit(0.1, batch(7000, 2.0), LARGE_QUEUE)
    assert len(timed_cell.submit(0.5, batch(1500, 10.0))) == 1
    assert timed_cell.submit(0.6, batch(1500, 10.0)) == []


def test_new_short_jobs_of_other_queues_yield_while_they_have_slack():
    # Guards against a burst of short jobs that are always ahead in the order.
    timed_cell = TimedCell()
    running = start_running_and_waiting(timed_cell)
    assert timed_cell.submit(0.6, batch(1500, 3.0, 5)) == []
    [start] = timed_cell.end(1.2, running)
    assert start.run.millicores == 7000


def test_short_jobs_without_slack_do_not_yield():
    # Guards against short jobs that become late for the sake of a large one.
    timed_cell = TimedCell()
    start_running_and_waiting(timed_cell)
    assert len(timed_cell.submit(0.6, batch(1500, 3.0), TIGHT_QUEUE)) == 1


def test_the_order_within_a_queue_is_kept():
    timed_cell = TimedCell()
    [running] = timed_cell.submit(0.0, batch(6000, 1.2))
    assert timed_cell.submit(0.1, batch(7000, 2.0)) == []
    # Less work, so it is first in the order.
    assert len(timed_cell.submit(1.0, batch(1500, 3.0))) == 1
    assert running.run.millicores == 6000


def test_a_better_lateness_class_is_not_delayed():
    timed_cell = TimedCell()
    start_running_and_waiting(timed_cell)
    # The large job is late by now, the new one is not.
    assert len(timed_cell.submit(4.0, batch(1500, 3.0))) == 1


def test_a_job_that_waits_for_three_times_its_length_loses_its_reservation():
    # Guards against room that is kept idle for a start that never comes.
    timed_cell = TimedCell()
    timed_cell.submit(0.0, batch(6000, 1.5))
    timed_cell.submit(0.1, batch(7000, 0.2), RELAXED_QUEUE)
    assert timed_cell.submit(0.6, batch(1500, 20.0)) == []
    assert len(timed_cell.tick(0.8)) == 1


def test_reservations_vanish_with_the_job_and_the_worker():
    timed_cell = TimedCell()
    start_running_and_waiting(timed_cell)
    assert timed_cell.submit(0.5, batch(1500, 10.0)) == []
    timed_cell.cell.workers_by_id["i-1"] = make_worker(1)
    [large, small] = timed_cell.tick(0.6)
    assert (large.worker.worker_id, large.run.millicores) == ("i-1", 7000)
    assert (small.worker.worker_id, small.run.millicores) == ("i-0", 1500)


def test_no_reservation_on_workers_that_take_no_tasks():
    timed_cell = TimedCell()
    start_running_and_waiting(timed_cell)
    worker = timed_cell.cell.workers_by_id["i-0"]
    worker.cooldown_until_s = BEGIN_S + 100.0
    timed_cell.cell.workers_by_id["i-1"] = make_worker(1, capacity=Resources(2000, 100))
    assert len(timed_cell.submit(0.5, batch(1500, 10.0))) == 1
    worker.cooldown_until_s = 0.0
    worker.is_draining = True
    effects = timed_cell.apply(CellTick, 0.6, 600)
    assert not any(isinstance(effect, ReservationsMade) for effect in effects)


def test_no_reservation_where_a_step_has_as_many_tasks_as_it_may():
    # Guards against workers that are kept for tasks that cannot start there.
    timed_cell = TimedCell(2)
    spread = batch(1000, 30.0, 3, max_per_worker=1)
    assert len(timed_cell.submit(0.0, spread, LARGE_QUEUE)) == 2
    assert len(timed_cell.submit(0.6, batch(7000, 30.0, 2))) == 2


def test_a_gang_gets_room_for_all_members_or_none():
    timed_cell = TimedCell(2)
    [first, second] = timed_cell.submit(0.0, batch(6000, 1.2, 2, max_per_worker=1))
    timed_cell.submit(0.1, batch(7000, 3.0, 2, is_gang=True), LARGE_QUEUE)
    assert timed_cell.submit(0.5, batch(2000, 10.0, 2)) == []
    assert {first.worker.worker_id, second.worker.worker_id} == {"i-0", "i-1"}


def test_a_gang_that_fits_nowhere_reserves_nothing():
    timed_cell = TimedCell(2)
    timed_cell.submit(0.0, batch(6000, 1.2, 2, max_per_worker=1))
    timed_cell.submit(0.1, batch(7000, 3.0, 3, is_gang=True), LARGE_QUEUE)
    assert len(timed_cell.submit(0.5, batch(2000, 10.0, 2))) == 2


def test_fillers_wait_for_idle_processors_which_others_leave():
    timed_cell = TimedCell()
    timed_cell.submit(0.0, batch(4000, 1.2))
    timed_cell.submit(0.0, batch(2000, 20.0))
    waiting = batch(7000, 2.0, is_filler=True, image="f")
    # 2 of the 4.9 cores for 0.7 of full speed are idle, 6 will be.
    assert timed_cell.submit(0.1, waiting, LARGE_QUEUE) == []
    assert timed_cell.submit(0.5, batch(1500, 10.0)) == []
    assert len(timed_cell.submit(0.6, batch(1000, 10.0))) == 1


@pytest.mark.parametrize(("millicores", "starts"), [(2000, 1), (2500, 0)])
def test_a_filler_that_runs_slowly_ends_later(millicores, starts):
    # Guards against backfill by fillers that outlast it below their full speed.
    timed_cell = TimedCell()
    timed_cell.submit(0.0, batch(4000, 1.2))
    timed_cell.submit(0.0, batch(2000, 20.0))
    waiting = batch(7000, 2.0, is_filler=True, image="f")
    assert timed_cell.submit(0.1, waiting, LARGE_QUEUE) == []
    # 0.7 s until the room is needed, and 2 cores idle: full speed or 0.8 of it.
    small = batch(millicores, 0.4, is_filler=True, image="f")
    assert len(timed_cell.submit(0.5, small, RELAXED_QUEUE)) == starts


def test_fillers_need_no_reserved_processors():
    # Guards against fillers that wait for processors which others only reserve.
    timed_cell = TimedCell()
    service = batch(8000, 0, is_service=True, target_ms=20, image="s")
    timed_cell.submit(0.0, service)
    timed_cell.cell.workers_by_id["i-0"].baseline_tail_by_image = {"s": 0.3}
    starts = timed_cell.submit(0.1, batch(1000, 2.0, is_filler=True, image="f"))
    assert len(starts) == 1


def test_services_start_at_once():
    timed_cell = TimedCell()
    start_running_and_waiting(timed_cell)
    service = batch(1500, 0, is_service=True, target_ms=20, image="s")
    assert len(timed_cell.submit(0.5, service)) == 1


def test_small_tasks_leave_gaps_for_large_ones():
    # Guards against small tasks on the one worker where the large one will fit.
    timed_cell = TimedCell(2, PlacementPolicy(keeps_gaps=True))
    timed_cell.cell.workers_by_id["i-1"].capacity = Resources(6000, 16_000)
    timed_cell.cell.workers_by_id["i-1"].available = Resources(6000, 16_000)
    timed_cell.cell.is_append_under_way = True
    timed_cell.submit(0.0, batch(1500, 10.0))
    timed_cell.submit(0.0, batch(7000, 10.0), LARGE_QUEUE)
    timed_cell.cell.is_append_under_way = False
    starts = timed_cell.tick(0.1)
    chosen = {start.run.millicores: start.worker.worker_id for start in starts}
    assert chosen == {1500: "i-1", 7000: "i-0"}


def test_each_reservation_is_reported_once():
    timed_cell = TimedCell()
    timed_cell.submit(0.0, batch(6000, 1.0))
    spec = make_job(7, (batch(7000, 2.0),), queue=LARGE_QUEUE)
    [made] = timed_cell.apply(Submitted, 0.1, spec, 0)
    assert made == ReservationsMade((("0000000000000007", (0, 0), 0.9),), 0)
    assert timed_cell.apply(CellTick, 0.2, 0) == []
    effects = timed_cell.apply(Submitted, 0.5, make_job(8, (batch(900, 9.0),)), 0)
    assert ReservationsMade((), 1) in effects


@pytest.mark.parametrize("value", [-1, MAX_RESERVED_JOBS + 1])
def test_an_invalid_policy_is_refused_with_its_field(value):
    with pytest.raises(PlacementPolicyError, match="reserved_jobs"):
        PlacementPolicy(reserved_jobs=value)
