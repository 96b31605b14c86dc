"""Ended runs of an agent's worker that its leader has not acknowledged."""

import pytest

from dotterelspread.jobs.agentreport import EndedRun, RunEnd
from dotterelspread.jobs.endedruns import EndedRuns


def make_ends(*numbers):
    return tuple(EndedRun(n, f"task {n}", 1, RunEnd.COMPLETED, "") for n in numbers)


def make_ended(*numbers, acknowledged=0):
    ended = EndedRuns()
    ended.add(make_ends(*numbers))
    ended.acknowledge(acknowledged)
    return ended


@pytest.mark.parametrize(
    ("listed", "is_new", "kept"),
    [((1, 2), False, [2]), ((2,), False, [2]), ((2, 3), True, [2, 3])],
)
def test_a_run_that_is_listed_again_is_not_reported_again(listed, is_new, kept):
    ended = make_ended(1, 2, acknowledged=1)
    assert ended.add(make_ends(*listed)) is is_new
    assert sorted(ended.by_number) == kept


def test_a_late_acknowledgement_does_not_bring_runs_back():
    ended = make_ended(1, 2, 3, acknowledged=2)
    ended.acknowledge(1)
    assert not ended.add(make_ends(1, 2))
    assert ended.acknowledged == 2


def test_the_first_runs_of_the_next_incarnation_are_new():
    ended = make_ended(1, 2, acknowledged=2)
    ended.clear()
    assert ended.add(make_ends(1))
