"""Answers of entries to the notices of a leader."""

import pytest

from dotterelspread.jobs import clock
from dotterelspread.jobs.entryanswers import (
    ANSWER_LIFETIME_S,
    MAX_SILENCE_S,
    EntryAnswers,
)


@pytest.fixture
def now(monkeypatch):
    """Return a clock that a test sets."""
    times = {"s": 100.0}
    monkeypatch.setattr(clock, "elapsed_s", lambda: times["s"])
    return times


def test_answers_are_complete_while_each_entry_answers(now):
    answers = EntryAnswers()
    assert answers.are_complete(now["s"])
    answers.expect("first:1")
    answers.expect("second:1")
    now["s"] += ANSWER_LIFETIME_S
    assert not answers.are_complete(now["s"])
    answers.observe("first:1", now["s"])
    assert not answers.are_complete(now["s"])
    answers.observe("second:1", now["s"] - 0.1)
    assert answers.are_complete(now["s"])


def test_an_answer_counts_from_the_sending_of_its_notice(now):
    answers = EntryAnswers()
    answers.expect("first:1")
    now["s"] += 2 * ANSWER_LIFETIME_S
    answers.observe("first:1", now["s"] - ANSWER_LIFETIME_S)
    assert not answers.are_complete(now["s"])


def test_only_entries_that_are_silent_for_long_are_waived(now):
    answers = EntryAnswers()
    answers.expect("first:1")
    answers.expect("second:1")
    now["s"] += MAX_SILENCE_S
    answers.observe("second:1", now["s"])
    assert answers.waivable_addresses == {"first:1"}
    answers.waive(frozenset({"first:1", "second:1"}))
    assert answers.are_complete(now["s"])
    now["s"] += ANSWER_LIFETIME_S
    assert not answers.are_complete(now["s"])


def test_a_waived_entry_that_answers_is_needed_again(now):
    answers = EntryAnswers()
    answers.expect("first:1")
    now["s"] += MAX_SILENCE_S
    answers.waive(answers.waivable_addresses)
    answers.observe("first:1", now["s"])
    now["s"] += ANSWER_LIFETIME_S
    assert not answers.are_complete(now["s"])


def test_the_answers_of_another_process_count_once_the_store_has_confirmed_the_leader(
    now,
):
    # Guards against leases by a leader that only an earlier process at the address
    # would have told of its successor.
    answers = EntryAnswers()
    answers.expect("first:1")
    answers.observe("first:1", now["s"], process_number=1)
    confirmed_s = now["s"]
    assert answers.are_complete(confirmed_s)
    now["s"] += 0.5
    answers.observe("first:1", now["s"], process_number=2)
    assert not answers.are_complete(confirmed_s)
    now["s"] += 0.5
    answers.observe("first:1", now["s"], process_number=2)
    assert not answers.are_complete(confirmed_s)
    assert answers.are_complete(now["s"] - 0.5)
