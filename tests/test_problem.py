"""Problem documents report whether a request was run."""

import json

import pytest

from dotterelspread.document import Fault
from dotterelspread.outcome import Completed, Failed, RefusalReason, Refused, Unknown
from dotterelspread.problem import ProblemError, describe_outcome


@pytest.mark.parametrize("reason", RefusalReason)
def test_each_refusal_has_a_status_and_was_not_run(reason):
    problem = describe_outcome(Refused(reason, "why", retry_after_s=0.2), "r1")
    body = json.loads(problem.body)
    assert 400 <= problem.status == body["status"] <= 503
    assert (body["executed"], body["reason"]) == ("no", reason.value)
    assert (body["detail"], body["request_id"]) == ("why", "r1")
    assert ("Content-Type", "application/problem+json") in problem.headers
    assert ("Retry-After", "1") in problem.headers


def test_unknown_and_failed_are_not_reported_as_not_run():
    unknown = json.loads(describe_outcome(Unknown("lost")).body)
    failed = json.loads(describe_outcome(Failed("broke")).body)
    assert (unknown["executed"], unknown["status"]) == ("unknown", 504)
    assert (failed["executed"], failed["status"]) == ("yes", 502)


def test_faults_are_listed_by_field():
    fault = Fault("job", "tasks[0].cores", "-1", "a number")
    problem = describe_outcome(Refused(RefusalReason.BAD_REQUEST), faults=[fault])
    assert json.loads(problem.body)["errors"] == [
        {"field": "tasks[0].cores", "found": "-1", "allowed": "a number"}
    ]
    assert all(name != "Retry-After" for name, _ in problem.headers)


def test_a_completed_outcome_has_no_problem_document():
    with pytest.raises(ProblemError):
        describe_outcome(Completed(200))
