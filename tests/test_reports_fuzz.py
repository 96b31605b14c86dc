"""Any report of an agent leaves the reducer able to handle the next event.

An error in the reducer ends the term. A worker that keeps listing what caused it would
end the terms of all leaders in turn.
"""

from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from dotterelspread.jobs.agentreport import EndedRun, RunEnd, RunningTask
from dotterelspread.jobs.cell import (
    AgentLost,
    Cancelled,
    CellTick,
    StartRun,
    StopRun,
)
from dotterelspread.jobs.handlers import reduce
from dotterelspread.jobs.spec import task_id_of
from dotterelspread.resources import Resources
from tests.builders_cell import (
    make_cell,
    make_report,
    make_worker,
    settle_order,
    submit,
)
from tests.builders_fleet import make_job, make_step

WORKERS = 2
STEPS = (
    make_step(count=2),
    make_step(count=2, is_gang=True, depends_on=(0,)),
    make_step(is_filler=True, is_checkpointing=True, image="f", estimate_ms=4000),
    make_step(is_service=True, target_ms=100, image="s"),
)
JOB_IDS = [make_job(number, STEPS).job_id for number in (1, 2)]
ANY_TEXT = st.text(max_size=12)

task_ids = st.one_of(
    st.builds(
        task_id_of,
        st.sampled_from([*JOB_IDS, "unknown"]),
        st.tuples(st.integers(0, 1), st.integers(0, 5), st.integers(0, 3)),
    ),
    st.sampled_from([f"{JOB_IDS[0]}.-1.0.0", f"{JOB_IDS[0]}.0.0", JOB_IDS[0], ""]),
    ANY_TEXT,
)
counts = st.one_of(st.integers(0, 4), st.sampled_from([99, 100, 101, 2**31 - 1]))
checkpoints = st.sampled_from(["", "c"])
running_tasks = st.builds(
    RunningTask, task_ids, counts, checkpoints, counts, counts, st.integers(-1, 101)
)
ended_runs = st.builds(
    EndedRun,
    counts,
    task_ids,
    counts,
    st.sampled_from([*list(vars(RunEnd).values())[2:8], "another"]),
    checkpoints,
)


@st.composite
def reports(draw):
    """Return the changes to a report, and the number of the worker."""
    running = draw(st.lists(running_tasks, max_size=6))
    return draw(st.integers(0, WORKERS)), {
        "running": tuple(running),
        "ended": tuple(draw(st.lists(ended_runs, max_size=4))),
        "born_ms": draw(st.integers(0, 3)),
        "is_reachable": draw(st.booleans()),
        "is_draining": draw(st.booleans()),
        "has_left": draw(st.booleans()),
        "is_gone": draw(st.booleans()),
        "listed_ms": draw(st.integers(0, 10**6)),
        "service": draw(st.sampled_from(["svc", "other", ""])),
        "capacity": Resources(*draw(st.tuples(counts, counts, counts))),
    }


def settle(cell, effects, result, now_s):
    for effect in effects:
        if isinstance(effect, StartRun | StopRun):
            settle_order(cell, effect, result, now_s, int(now_s * 1000))


@settings(max_examples=400, deadline=None, derandomize=True)
@given(
    st.lists(reports(), min_size=1, max_size=8),
    st.sampled_from(["confirmed", "refused", "unknown", "gone"]),
    st.booleans(),
)
def test_no_report_makes_the_reducer_fail(changes, result, is_cancelled):
    cell = make_cell(*map(make_worker, range(WORKERS)))
    for number in (1, 2):
        settle(cell, submit(cell, *STEPS, number=number), result, 0.0)
    now_s = 0.0
    for number, values in changes:
        now_s += 1.7
        event = make_report(number, now_s)
        event = replace(event, report=replace(event.report, **values))
        settle(cell, reduce(event, cell), result, now_s)
        settle(cell, reduce(CellTick(now_s, int(now_s * 1000)), cell), result, now_s)
    if is_cancelled:
        reduce(Cancelled(now_s, JOB_IDS[0], 0), cell)
    reduce(AgentLost(now_s, make_worker(0).agent_address), cell)
    reduce(CellTick(now_s + 100.0, 10**6), cell)
