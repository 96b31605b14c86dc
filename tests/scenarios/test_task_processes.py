"""Steps of `task_processes.feature`, which runs real processes."""

import json
import signal
import time
import urllib.error
import urllib.request
from collections import defaultdict

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from standins.demo import AGENTS, KUMASI, read_example
from standins.site import get, open_site, post

scenarios("task_processes.feature")

WORKER_CORES = 32
#: A stop and a start from the same clock reading of a worker do not overlap.
CLOCK_TOLERANCE_S = 1e-6
JOB_START_TIMEOUT_S = 30.0


@pytest.fixture
def site():
    with open_site() as site:
        yield site


@given("one cell of 3 agents with 32 cores and a batch lease of 5 s")
def _(site):
    site.start_entry("entry-1", KUMASI, ["cell.0"])
    for name in AGENTS:
        site.start_agent(name, KUMASI)
    site.wait_for("entry-1", "/healthz")
    text = read_example().replace("batch: 2m", "batch: 5s")
    document = {"base_version": -1, "author": "test", "text": text}
    published = post(site.url("entry-1") + "/v1/operator/configuration", document)
    assert published["result"] == "accepted"
    site.wait_ready("entry-1", *AGENTS)
    site.wait_for_agents("entry-1", AGENTS)


def job_tasks(site, job_id):
    try:
        return get(f"{site.url('entry-1')}/v1/jobs/{job_id}")["tasks"]
    except OSError:
        return []


def wait_for_states(site, job_id, state, seconds):
    deadline_s = time.monotonic() + seconds
    while True:
        tasks = job_tasks(site, job_id)
        if tasks and all(task["state"] == state for task in tasks):
            return
        assert time.monotonic() < deadline_s, tasks
        time.sleep(0.2)


def runs_by_task(site, job_id, agents=AGENTS):
    """Return the runs of each task as (worker, run), ordered by start time."""
    runs = defaultdict(list)
    for name in agents:
        for run in get(site.url(f"{name}.worker") + "/v1/history"):
            if run["task_id"].startswith(job_id):
                runs[run["task_id"]].append((name, run))
    for task_runs in runs.values():
        task_runs.sort(key=lambda worker_run: worker_run[1]["started_s"])
    return runs


def end_s(run):
    return float("inf") if run["stopped_s"] is None else run["stopped_s"]


@when(
    "a job of 9 tasks with 8 cores and 8 s each is submitted", target_fixture="job_id"
)
def _(site):
    task = {"program": "sleep", "arguments": ["8"], "cores": 8, "memory": "1GiB"}
    task |= {"run_time": "8s", "count": 9}
    job = {"team": "pump-analysis", "tasks": [task]}
    return post(site.url("entry-1") + "/v1/jobs", job)["job_id"]


@when("all its tasks run")
def _(site, job_id):
    wait_for_states(site, job_id, "owned", JOB_START_TIMEOUT_S)
    time.sleep(2)


@when("agent-1 is killed")
def _(site):
    site.kill("agent-1")


@when("agent-1 is frozen for 12 s")
def _(site):
    site.signal("agent-1", signal.SIGSTOP)
    time.sleep(12)
    site.signal("agent-1", signal.SIGCONT)


@when("agent-1 is drained by an operator")
def _(site):
    post(site.url("entry-1") + "/v1/operator/instances/agent-1/drain", {})


@when("the log is down for 12 s")
def _(site):
    post(site.url("log") + "/control", {"down": True})
    time.sleep(12)
    post(site.url("log") + "/control", {"down": False})


@when("the log loses the replies to 10 appends")
def _(site):
    post(site.url("log") + "/control", {"lose_replies": 10})


@when("the job is cancelled")
def _(site, job_id):
    url = f"{site.url('entry-1')}/v1/jobs/{job_id}"
    with urllib.request.urlopen(urllib.request.Request(url, method="DELETE")) as reply:
        assert reply.status == 202


@then(parsers.parse("the job's tasks are all {state} within {seconds:d} s"))
def _(site, job_id, state, seconds):
    wait_for_states(site, job_id, state, seconds)


@then("no task ran twice at the same time")
def _(site, job_id):
    for task_id, task_runs in runs_by_task(site, job_id).items():
        for (_, run), (_, later) in zip(task_runs, task_runs[1:], strict=False):
            overlap_s = end_s(run) - later["started_s"]
            assert overlap_s <= CLOCK_TOLERANCE_S, (task_id, task_runs)


@then("no worker ran more than 32 cores")
def _(site, job_id):
    changes_by_worker = defaultdict(list)
    for task_runs in runs_by_task(site, job_id).values():
        for name, run in task_runs:
            cores = run["declared"][0] / 1000
            changes_by_worker[name].append((run["started_s"], cores))
            changes_by_worker[name].append((end_s(run) - CLOCK_TOLERANCE_S, -cores))
    for name, changes in changes_by_worker.items():
        used = 0.0
        for _, cores in sorted(changes):
            used += cores
            assert used <= WORKER_CORES, name


@then("each task was resumed from where it was stopped")
def _(site, job_id):
    runs = runs_by_task(site, job_id)
    assert len(runs) == 9
    for task_id, task_runs in runs.items():
        done_s = 0.0
        for _, run in task_runs:
            assert run["done_from_s"] <= done_s + 0.01, (task_id, task_runs)
            done_s = run["done_from_s"] + end_s(run) - run["started_s"]
        assert done_s == pytest.approx(8, abs=0.05), (task_id, task_runs)


@then("no task of the job is running")
def _(site, job_id):
    for task_runs in runs_by_task(site, job_id).values():
        assert all(run["stopped_s"] is not None for _, run in task_runs)


def change_centre(site, action, **fields):
    """Evacuate or restore the data centre of all agents."""
    (row,) = get(site.url("entry-1") + "/v1/operator/status")["status"]
    body = {"base_version": row["evacuation_version"], "author": "ama", **fields}
    path = f"/v1/operator/data-centres/{KUMASI.data_centre}/{action}"
    result = post(site.url("entry-1") + path, body)
    assert result["result"] == "accepted"


@when("the data centre is evacuated")
def _(site):
    change_centre(site, "evacuate", allow_last=True)


@when("the data centre is restored")
def _(site):
    change_centre(site, "restore")


@when(parsers.parse("{seconds:d} s pass"))
def _(seconds):
    time.sleep(seconds)


@when("agent-1 is killed and restarted")
def _(site):
    site.kill("agent-1")
    site.restart("agent-1")
    site.wait_ready("agent-1")


@when("a job of one task is submitted", target_fixture="waiting_id")
def _(site):
    task = {"program": "sleep", "arguments": ["1"], "cores": 1, "memory": "1GiB"}
    job = {"team": "contracts", "tasks": [task | {"run_time": "1s"}]}
    return post(site.url("entry-1") + "/v1/jobs", job)["job_id"]


@then("the first job's tasks are all completed, and none was released")
def _(site, job_id):
    wait_for_states(site, job_id, "completed", 30)
    assert all(len(runs) == 1 for runs in runs_by_task(site, job_id).values())


@then("the second job waits since its data centre is evacuated")
def _(site, waiting_id):
    time.sleep(3)
    (task,) = job_tasks(site, waiting_id)
    assert task["state"] == "pending"
    assert "data centre kumasi was evacuated by ama" in task["explanation"]
    assert runs_by_task(site, waiting_id) == {}


@then(parsers.parse("the second job's task is completed within {seconds:d} s"))
def _(site, waiting_id, seconds):
    wait_for_states(site, waiting_id, "completed", seconds)


@when("a job of one task with 99 cores is submitted", target_fixture="problem")
def _(site):
    task = {"program": "sleep", "cores": 99, "memory": "1GiB", "run_time": "8s"}
    with pytest.raises(urllib.error.HTTPError) as refused:
        post(site.url("entry-1") + "/v1/jobs", {"team": "contracts", "tasks": [task]})
    return refused.value.code, json.load(refused.value)


@then("it is refused with status 422 and reason never-fits, and is not run")
def _(problem):
    status, document = problem
    assert (status, document["reason"]) == (422, "never-fits")
    assert document["executed"] == "no"


@when("a service of 3 replicas is submitted", target_fixture="job_id")
def _(site):
    task = {"program": "sleep", "cores": 4, "memory": "1GiB", "count": 3}
    job = {"team": "contracts", "is_service": True, "tasks": [task]}
    return post(site.url("entry-1") + "/v1/jobs", job)["job_id"]


def running_workers(site, job_id, agents):
    """Return the worker of each run of the job that has not stopped."""
    return [
        name
        for task_runs in runs_by_task(site, job_id, agents).values()
        for name, run in task_runs
        if run["stopped_s"] is None
    ]


@then(parsers.parse("3 replicas run on the other agents within {seconds:d} s"))
def _(site, job_id, seconds):
    deadline_s = time.monotonic() + seconds
    while True:
        owners = [t["owner"] for t in job_tasks(site, job_id) if t["state"] == "owned"]
        are_owned = len(owners) >= 3 and owners.count("agent-1") == len(owners) - 3
        # An owner starts its task only after reading its claim back from the log.
        running = running_workers(site, job_id, AGENTS[1:])
        assert len(running) <= 3, running
        if are_owned and len(running) == 3:
            break
        assert time.monotonic() < deadline_s, (job_tasks(site, job_id), running)
        time.sleep(0.2)
