"""The history checker reports each kind of violation, and only that one."""

import pytest

from bench.history import History, Run, Seen, Sent
from dotterelspread.outcome import Completed, RefusalReason, Refused, Unknown

SHED = Refused(RefusalReason.SHED)
STORE = Refused(RefusalReason.STORE_UNAVAILABLE)


def a_history(**changes):
    history = History(slots_by_id={"i1": 1, "i2": 1})
    history.sent_by_id = {
        "r1": Sent("r1", 1.0, "k", b"k"),
        "r2": Sent("r2", 5.0, "k", b"k"),
        "r3": Sent("r3", 5.0, None, b"r3"),
    }
    history.seen = [
        Seen("r1", 3.0, Completed(200, (), b"k")),
        Seen("r2", 5.1, Completed(200, (), b"k")),
        Seen("r3", 5.2, SHED),
    ]
    history.runs = [Run("r1", "i1", 1, 1.5, 2.0)]
    for name, value in changes.items():
        setattr(history, name, value)
    return history


def test_a_sound_history_has_no_faults():
    assert a_history().faults(is_complete=True) == []


BROKEN = {
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
            Seen("r1", 3.0, Unknown()),
            Seen("r2", 5.1, SHED),
            Seen("r3", 5.2, SHED),
        ]
    },
    "another's answer": {
        "seen": [
            Seen("r1", 3.0, Completed(200, (), b"k")),
            Seen("r2", 5.1, Completed(200, (), b"k")),
            Seen("r3", 5.2, Completed(200, (), b"k")),
        ]
    },
    "cut answer": {
        "seen": [
            Seen("r1", 3.0, Completed(200, (), b"")),
            Seen("r2", 5.1, STORE),
            Seen("r3", 5.2, SHED),
        ]
    },
    "slots exceeded": {
        "runs": [Run("r1", "i1", 1, 1.5, 2.0), Run("x", "i1", 1, 1.9, 2.2)],
        "sent_by_id": a_history().sent_by_id | {"x": Sent("x", 1.0, None, b"x")},
        "seen": a_history().seen + [Seen("x", 2.2, Unknown())],
    },
    "run while leaving": {"drained_s_by_id": {"i1": 0.5}},
    "two outcomes": {"seen": a_history().seen + [Seen("r3", 5.3, SHED)]},
    "no outcome": {"seen": a_history().seen[:2]},
}


@pytest.mark.parametrize("name", BROKEN)
def test_a_broken_history_has_one_fault(name):
    faults = a_history(**BROKEN[name]).faults(is_complete=True)
    assert len(faults) == (2 if name == "id run twice" else 1), faults


def test_a_caller_cut_off_needs_no_outcome():
    history = a_history(seen=a_history().seen[:2], cut_off_ids={"r3"})
    assert history.faults(is_complete=True) == []


def test_a_refusal_without_the_store_speaks_of_its_request_only():
    seen = [Seen("r1", 3.0, Unknown()), Seen("r2", 5.1, STORE), Seen("r3", 5.2, SHED)]
    assert a_history(seen=seen).faults(is_complete=True) == []
