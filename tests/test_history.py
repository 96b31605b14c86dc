"""The history checker reports each kind of violation, and none in a valid history."""

import pytest

from bench.history import History, Run, SeenOutcome, SentRequest
from dotterelspread.outcome import Completed, RefusalReason, Refused, Unknown

SHED_REFUSAL = Refused(RefusalReason.SHED)
STORE_REFUSAL = Refused(RefusalReason.STORE_UNAVAILABLE)


def make_history(**changes):
    history = History(slots_by_id={"i1": 1, "i2": 1})
    history.sent_by_id = {
        "r1": SentRequest("r1", 1.0, "k", b"k"),
        "r2": SentRequest("r2", 5.0, "k", b"k"),
        "r3": SentRequest("r3", 5.0, None, b"r3"),
    }
    history.seen = [
        SeenOutcome("r1", 3.0, Completed(200, (), b"k")),
        SeenOutcome("r2", 5.1, Completed(200, (), b"k")),
        SeenOutcome("r3", 5.2, SHED_REFUSAL),
    ]
    history.runs = [Run("r1", "i1", 1, 1.5, 2.0)]
    for name, value in changes.items():
        setattr(history, name, value)
    return history


def test_a_valid_history_has_no_violations():
    assert make_history().find_violations(is_complete=True) == []


CHANGES_BY_VIOLATION = {
    "key run twice": {
        "runs": [Run("r1", "i1", 1, 1.5, 2.0), Run("r2", "i2", 1, 5.05, 5.08)]
    },
    "id run twice": {
        "runs": [Run("r1", "i1", 1, 1.5, 2.0), Run("r1", "i1", 2, 2.5, 2.6)]
    },
    "refused and run": {
        "runs": [Run("r1", "i1", 1, 1.5, 2.0), Run("r3", "i1", 1, 9.0, 9.1)]
    },
    "repeat refused": {
        "seen": [
            SeenOutcome("r1", 3.0, Unknown()),
            SeenOutcome("r2", 5.1, SHED_REFUSAL),
            SeenOutcome("r3", 5.2, SHED_REFUSAL),
        ]
    },
    "another's answer": {
        "seen": [
            SeenOutcome("r1", 3.0, Completed(200, (), b"k")),
            SeenOutcome("r2", 5.1, Completed(200, (), b"k")),
            SeenOutcome("r3", 5.2, Completed(200, (), b"k")),
        ]
    },
    "truncated answer": {
        "seen": [
            SeenOutcome("r1", 3.0, Completed(200, (), b"")),
            SeenOutcome("r2", 5.1, STORE_REFUSAL),
            SeenOutcome("r3", 5.2, SHED_REFUSAL),
        ]
    },
    "slots exceeded": {
        "runs": [Run("r1", "i1", 1, 1.5, 2.0), Run("x", "i1", 1, 1.9, 2.2)],
        "sent_by_id": make_history().sent_by_id
        | {"x": SentRequest("x", 1.0, None, b"x")},
        "seen": make_history().seen + [SeenOutcome("x", 2.2, Unknown())],
    },
    "run after drain": {"drained_s_by_id": {"i1": 0.5}},
    "two outcomes": {
        "seen": make_history().seen + [SeenOutcome("r3", 5.3, SHED_REFUSAL)]
    },
    "no outcome": {"seen": make_history().seen[:2]},
}


@pytest.mark.parametrize("name", CHANGES_BY_VIOLATION)
def test_each_kind_of_violation_is_reported(name):
    violations = make_history(**CHANGES_BY_VIOLATION[name]).find_violations(
        is_complete=True
    )
    assert len(violations) == (2 if name == "id run twice" else 1), violations


def test_a_disconnected_caller_needs_no_outcome():
    history = make_history(seen=make_history().seen[:2], disconnected_ids={"r3"})
    assert history.find_violations(is_complete=True) == []


def test_a_refusal_without_reading_claims_allows_an_earlier_run():
    seen = [
        SeenOutcome("r1", 3.0, Unknown()),
        SeenOutcome("r2", 5.1, STORE_REFUSAL),
        SeenOutcome("r3", 5.2, SHED_REFUSAL),
    ]
    assert make_history(seen=seen).find_violations(is_complete=True) == []
