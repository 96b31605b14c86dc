from bench.fleet import Fleet, job, spec
from bench.fleetchecks import overlaps, overloads
from dotterelspread.celltask import TaskPhase


def outcomes(agent):
    tasks = agent.state.cell.tasks_by_id.values()
    return {task.task_id: (task.phase, task.outcome) for task in tasks}


def test_every_task_is_claimed_started_and_ended():
    fleet = Fleet(3)
    fleet.run(3)
    for number in range(20):
        fleet.submit(job(f"j{number}", spec(f"j{number}/0", 8000, run_time_s=5)))
    fleet.run(60)
    expected = {f"j{n}/0": (TaskPhase.ENDED, "completed") for n in range(20)}
    assert all(outcomes(agent) == expected for agent in fleet.agents)
    rows = fleet.runs()
    assert len(rows) == 20
    assert not overlaps(rows)
    assert not overloads(rows, fleet.capacity)
