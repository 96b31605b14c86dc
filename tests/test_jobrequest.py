"""Job documents are bounded in size, and an error lists every invalid field."""

import json

import pytest

from dotterelspread.callerrequest import CallerRequestError
from dotterelspread.jobrequest import MAX_JOB_BYTES, read_job
from dotterelspread.resources import Resources


def job_bytes(task=(), **changes):
    one = {"program": "p", "cores": 0.0011, "memory": "1500KB", "run_time": "5s"}
    document = {"team": "t", "tasks": [{**one, **dict(task)}], **changes}
    return json.dumps(document).encode()


def test_declared_sizes_are_rounded_up():
    job = read_job(job_bytes({"count": 3, "arguments": ["a", "a"]}))
    record = job.to_record("job-1")
    assert [task.task_id for task in record.tasks] == [
        "job-1.0",
        "job-1.1",
        "job-1.2",
    ]
    assert record.tasks[2].declared == Resources(2, 2, 0)
    assert record.tasks[2].arguments == ("a", "a")


def test_a_service_has_no_run_time():
    assert "tasks[0].run_time" in fault_paths(job_bytes(is_service=True))
    document = json.loads(job_bytes(is_service=True))
    del document["tasks"][0]["run_time"]
    job = read_job(json.dumps(document).encode())
    assert job.is_service and job.tasks[0].run_time_s == 0


def fault_paths(body):
    with pytest.raises(CallerRequestError) as caught:
        read_job(body)
    assert len(str(caught.value)) < 5000
    return {fault.path for fault in caught.value.faults}


REFUSED = {
    "no JSON": (b"{", {""}),
    "a list": (b"[]", {""}),
    "depth": (b"[" * 100_000, {""}),
    "size": (b" " * (MAX_JOB_BYTES + 1), {""}),
    "not a number": (job_bytes({"cores": float("nan")}), {""}),
    "nothing": (b"{}", {"team", "tasks"}),
    "no tasks": (job_bytes(tasks=[]), {"tasks"}),
    "many entries": (job_bytes(tasks=[{}] * 1001), {"tasks"}),
    "many tasks": (job_bytes({"count": 1001}), {"tasks[0].count"}),
    "long arguments": (
        job_bytes({"count": 1000, "arguments": ["a" * 200]}),
        {"tasks"},
    ),
    "fields": (
        job_bytes({"cores": 0, "memory": 5, "nice": 1}, urgency=3, labels=[]),
        {"tasks[0].cores", "tasks[0].memory", "tasks[0].nice", "urgency", "labels"},
    ),
}


@pytest.mark.parametrize(("body", "paths"), REFUSED.values(), ids=REFUSED.keys())
def test_invalid_documents_are_refused(body, paths):
    assert fault_paths(body) == paths
