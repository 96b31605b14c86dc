import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from bench.fleet import Fleet, job, spec
from bench.fleetchecks import overlaps, overloads
from bench.fleetfaults import FAULTS
from dotterelspread.celltask import TaskPhase
from dotterelspread.record import JobCancelled
from dotterelspread.taskevent import DrainRequested

scenarios("tasks.feature")


@given(parsers.parse("a cell of {size:d} agents"), target_fixture="fleet")
def cell_of_agents(size):
    fleet = Fleet(size, seed=1)
    for number, agent in enumerate(fleet.agents):
        agent.rate = (1.005, 0.995)[number % 2]
    fleet.run(3)
    fleet.send_members()
    return fleet


@pytest.fixture
def task_id():
    return "j/0"


@given(parsers.parse("a running task of {length_s:d} s"))
def running_task(fleet, task_id, length_s):
    fleet.submit(job("j", spec(task_id, 8000, run_time_s=float(length_s))))
    fleet.run(2)
    assert len(fleet.running(task_id)) == 1


@given(parsers.parse("a running noisy task of {millicores:d} millicores"))
def noisy_task(fleet, millicores):
    fleet.submit(job("n", spec("n/0", millicores, 100, 900.0, program="noisy")))
    fleet.run(2)
    assert len(fleet.running("n/0")) == 1


@given(parsers.parse("its owner reads the log {lag_s:d} s late"))
def delay_owner_reads(fleet, task_id, lag_s):
    (owner,) = fleet.running(task_id)
    owner.lag_s = lag_s


@given(parsers.parse("a running service of {count:d} replicas"))
def running_service(fleet, count):
    replicas = [spec(f"s/{n}", run_time_s=0.0) for n in range(count)]
    fleet.submit(job("s", *replicas, is_service=True))
    fleet.run(5)
    assert len(replica_runs(fleet)) == count


@given(parsers.parse("the cell is full of work of urgency {urgency:d}"))
def fill_cell(fleet, urgency):
    for number in range(4 * len(fleet.agents)):
        fill = spec(f"f{number}/0", 8000, run_time_s=900.0)
        fleet.submit(job(f"f{number}", fill, urgency=urgency))
    fleet.run(10)
    assert all(a.state.member.room.millicores == 0 for a in fleet.agents)


@when(parsers.parse("its owner is {fault} for {outage_s:d} s"))
def inject_owner_fault(fleet, task_id, fault, outage_s):
    (owner,) = fleet.running(task_id)
    FAULTS[fault](fleet, owner, True)
    fleet.run(outage_s)
    FAULTS[fault](fleet, owner, False)


@when(parsers.parse("the store is down for {outage_s:d} s"))
def take_store_down(fleet, outage_s):
    fleet.log.is_up = False
    fleet.run(outage_s)
    fleet.log.is_up = True


@when("the instance of a replica is lost")
def lose_replica(fleet):
    fleet.kill(replica_runs(fleet)[0][0], with_worker=True)
    fleet.send_members()


@given(parsers.parse("{count:d} tasks of urgency {urgency:d} are queued"))
def queue_tasks(fleet, count, urgency):
    for number in range(count):
        fleet.submit(job(f"w{number}", spec(f"w{number}/0", 8000), urgency=urgency))
    fleet.run(2)


@when(parsers.parse("{count:d} urgent tasks are submitted"))
def submit_urgent_tasks(fleet, count):
    for number in range(count):
        fleet.submit(job(f"u{number}", spec(f"u{number}/0", 16000), urgency=3))


@then(parsers.parse("{count:d} urgent tasks run"))
def urgent_tasks_run(fleet, count):
    assert [len(fleet.running(f"u{n}/0")) for n in range(count)] == [1] * count


@then(parsers.parse("at most {count:d} tasks were evicted"))
def check_evicted_count(fleet, count):
    tasks = fleet.agents[0].state.cell.tasks_by_id.values()
    assert sum(task.releases for task in tasks) <= count


@when("an urgent task is submitted")
def submit_urgent(fleet):
    fleet.submit(job("u", spec("u/0", 16000), urgency=3))


@when("its job is cancelled")
def cancel_job(fleet):
    fleet.submit(JobCancelled("j"))


@when(parsers.parse("a task of {millicores:d} millicores is submitted"))
def submit_task(fleet, task_id, millicores):
    fleet.submit(job("j", spec(task_id, millicores)))


@when("its owner drains")
def drain_owner(fleet, task_id):
    (owner,) = fleet.running(task_id)
    fleet.send(owner, DrainRequested)


@when(parsers.parse("{duration_s:d} s pass"))
def pass_time(fleet, duration_s):
    fleet.run(duration_s)


def task_of(fleet, task_id):
    return fleet.agents[-1].state.cell.tasks_by_id[task_id]


def runs_of(fleet, task_id):
    return [row for row in fleet.runs() if row[1].task_id == task_id]


def replica_runs(fleet):
    return [
        row
        for row in fleet.runs()
        if row[1].task_id.startswith("s/") and row[1].stopped_s is None
    ]


@then("the task completed")
def check_completed(fleet, task_id):
    assert task_of(fleet, task_id).outcome == "completed"


@then(parsers.parse("the task ended as {outcome:w}"))
def check_outcome(fleet, task_id, outcome):
    assert task_of(fleet, task_id).phase is TaskPhase.ENDED
    assert task_of(fleet, task_id).outcome == outcome


@then(parsers.parse('the task ended as {outcome:w} with "{words}"'))
def check_outcome_detail(fleet, task_id, outcome, words):
    check_outcome(fleet, task_id, outcome)
    assert words in task_of(fleet, task_id).detail


@then("no task ran twice at the same time")
def check_no_overlaps(fleet):
    assert overlaps(fleet.runs()) == []


@then("no instance was overloaded")
def check_no_overloads(fleet):
    assert overloads(fleet.runs(), fleet.capacity) == []


@then(parsers.parse("the task was moved {moves:d} times"))
def check_moves(fleet, task_id, moves):
    assert len(runs_of(fleet, task_id)) == 1 + moves


@then(parsers.parse("at most {lost_s:d} s of work was lost"))
def check_lost_work(fleet, task_id, lost_s):
    spent_s = sum(stop_s - start_s for _, _, start_s, stop_s in runs_of(fleet, task_id))
    assert spent_s <= 400 * 1.005 + lost_s


@then(parsers.parse("{count:d} replicas ran throughout"))
def check_uninterrupted(fleet, count):
    runs = [row for row in fleet.runs() if row[1].task_id.startswith("s/")]
    assert [row[1].stopped_s for row in runs] == [None] * count


@then(parsers.parse("{count:d} replicas run in different racks"))
def check_replica_racks(fleet, count):
    racks = [row[0].state.announcement.rack for row in replica_runs(fleet)]
    assert len(set(racks)) == len(racks) == count


@then("the urgent task runs")
def urgent_runs(fleet):
    assert len(fleet.running("u/0")) == 1


@then("every evicted task was checkpointed")
def check_evicted_checkpointed(fleet):
    evicted = [
        task
        for task in fleet.agents[0].state.cell.tasks_by_id.values()
        if task.releases
    ]
    assert evicted
    assert all(float(task.checkpoint) > 5 for task in evicted)


@then("the noisy task is throttled")
def noisy_throttled(fleet):
    (owner,) = fleet.running("n/0")
    assert owner.worker.running_by_id["n/0"].share < 1.0


@then("no task is running")
def nothing_runs(fleet):
    assert all(row[1].stopped_s is not None for row in fleet.runs())
