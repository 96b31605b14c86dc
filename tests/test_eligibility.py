"""Which entries take part in the leader election, and when they claim."""

from dataclasses import replace

import pytest

from dotterelspread.jobs.eligibility import (
    MAX_FAILBACK_WAIT_S,
    MIN_FAILBACK_WAIT_S,
    Move,
    Standing,
    choose_move,
    failback_wait_s,
    vacancy_s,
)

ABSTAIN, JOIN, CLAIM = Move.ABSTAIN, Move.JOIN, Move.CLAIM
SUITABLE = Standing()
STAND_IN = Standing(is_suitable=False)
OWN_TERM = Standing(is_leading=True)
BESIDE_STAND_IN = Standing(is_leader_suitable=False)


@pytest.mark.parametrize(
    ("standing", "changes", "move"),
    [
        # Beside a leader that is able to lead.
        (SUITABLE, {}, JOIN),
        (SUITABLE, {"is_holder": True}, JOIN),
        (SUITABLE, {"has_configuration": False}, ABSTAIN),
        (SUITABLE, {"shares_agent_loss": True}, ABSTAIN),
        (STAND_IN, {}, ABSTAIN),
        (STAND_IN, {"is_holder": True}, ABSTAIN),
        # The leader says that the store does not confirm it.
        (SUITABLE, {"unconfirmed_s": 0.0, "is_holder": True}, CLAIM),
        (SUITABLE, {"unconfirmed_s": 0.6}, JOIN),
        (SUITABLE, {"unconfirmed_s": 0.8}, CLAIM),
        (SUITABLE, {"unconfirmed_s": 0.8, "offset_s": 0.2}, JOIN),
        (SUITABLE, {"unconfirmed_s": 0.8, "may_claim": False}, JOIN),
        (STAND_IN, {"unconfirmed_s": 9.0, "may_claim": False}, ABSTAIN),
        (SUITABLE, {"unconfirmed_s": 0.8, "is_yielding": True}, ABSTAIN),
        (SUITABLE, {"unconfirmed_s": 9.0, "has_configuration": False}, ABSTAIN),
        (STAND_IN, {"unconfirmed_s": 0.7, "is_holder": True}, ABSTAIN),
        (STAND_IN, {"unconfirmed_s": 0.9, "is_holder": True}, CLAIM),
        (STAND_IN, {"unconfirmed_s": 0.9}, JOIN),
        (STAND_IN, {"unconfirmed_s": 1.6}, CLAIM),
        # The store was out for this entry too, so the leader may be confirmed again.
        (SUITABLE, {"unconfirmed_s": 3.0, "store_works_s": 1.0}, JOIN),
        (STAND_IN, {"unconfirmed_s": 3.0, "store_works_s": 1.0}, JOIN),
        (STAND_IN, {"unconfirmed_s": 3.0, "store_works_s": 1.7}, CLAIM),
        # The leader does not reach agents that this entry reaches.
        (SUITABLE, {"cut_off_s": 0.2, "is_holder": True}, JOIN),
        (SUITABLE, {"cut_off_s": 0.4, "is_holder": True}, CLAIM),
        (SUITABLE, {"cut_off_s": 0.1, "unconfirmed_s": 0.1, "is_holder": True}, CLAIM),
        (SUITABLE, {"cut_off_s": 0.9}, JOIN),
        (SUITABLE, {"cut_off_s": 1.1}, CLAIM),
        (STAND_IN, {"cut_off_s": 0.7}, ABSTAIN),
        (STAND_IN, {"cut_off_s": 1.6}, CLAIM),
        # No notices: the leader or the path from it may be at fault.
        (SUITABLE, {"notice_age_s": 1.1, "is_holder": True}, JOIN),
        (SUITABLE, {"notice_age_s": 1.3, "is_holder": True}, CLAIM),
        (SUITABLE, {"notice_age_s": 60.0}, JOIN),
        (SUITABLE, {"notice_age_s": 60.0, "unconfirmed_s": 60.0}, JOIN),
        (STAND_IN, {"notice_age_s": 1.9, "is_holder": True}, ABSTAIN),
        (STAND_IN, {"notice_age_s": 2.1, "is_holder": True}, CLAIM),
        (STAND_IN, {"notice_age_s": 60.0}, JOIN),
        # No notice since the start of the process.
        (SUITABLE, {"notice_age_s": None, "watched_s": 0.1}, JOIN),
        (SUITABLE, {"notice_age_s": None, "watched_s": 0.1, "is_holder": True}, CLAIM),
        (STAND_IN, {"notice_age_s": None, "watched_s": 2.9}, ABSTAIN),
        (
            STAND_IN,
            {"notice_age_s": None, "watched_s": 3.1, "is_holder": True},
            CLAIM,
        ),
        # An own term has just ended: its successor may not have announced itself.
        (STAND_IN, {"notice_age_s": 60.0, "watched_s": 0.7}, ABSTAIN),
        # As the leader.
        (OWN_TERM, {}, JOIN),
        (OWN_TERM, {"is_suitable": False}, JOIN),
        (OWN_TERM, {"own_fault_s": 0.2}, JOIN),
        (OWN_TERM, {"own_fault_s": 0.4}, ABSTAIN),
        (OWN_TERM, {"own_fault_s": 5.0, "store_works_s": 5.1}, ABSTAIN),
        # The store may be out for all entries.
        (OWN_TERM, {"own_fault_s": 5.0, "store_works_s": 4.9}, JOIN),
        # Beside a stand-in.
        (BESIDE_STAND_IN, {}, CLAIM),
        (BESIDE_STAND_IN, {"store_works_s": 4.9}, JOIN),
        (BESIDE_STAND_IN, {"watched_s": 4.9}, JOIN),
        (BESIDE_STAND_IN, {"leader_known_s": 4.9}, JOIN),
        (BESIDE_STAND_IN, {"store_works_s": 5.1, "offset_s": 0.2}, JOIN),
        (BESIDE_STAND_IN, {"store_works_s": 9.9, "failback_wait_s": 10.0}, JOIN),
        (BESIDE_STAND_IN, {"is_suitable": False}, ABSTAIN),
        (BESIDE_STAND_IN, {"shares_agent_loss": True}, ABSTAIN),
        (BESIDE_STAND_IN, {"may_claim": False}, JOIN),
        (BESIDE_STAND_IN, {"is_yielding": True}, ABSTAIN),
    ],
)
def test_the_move_follows_from_what_the_leader_can_do(standing, changes, move):
    assert choose_move(replace(standing, **changes)) is move


@pytest.mark.parametrize(
    ("changes", "expected_s"),
    [
        ({}, None),
        ({"notice_age_s": 1.2}, None),
        ({"notice_age_s": 2.2}, 1.0),
        ({"notice_age_s": 2.2, "watched_s": 0.3}, 0.3),
        ({"notice_age_s": None, "watched_s": 0.3}, 0.3),
        ({"unconfirmed_s": 0.0}, 0.0),
        ({"unconfirmed_s": 0.5, "cut_off_s": 0.7}, 0.7),
    ],
)
def test_the_leadership_is_vacant_since_the_first_sign(changes, expected_s):
    assert vacancy_s(replace(SUITABLE, **changes)) == pytest.approx(expected_s)


def test_an_entry_that_keeps_losing_its_terms_waits_longer_but_not_endlessly():
    waits_s = [failback_wait_s(lost_terms) for lost_terms in range(8)]
    assert waits_s[0] == MIN_FAILBACK_WAIT_S
    assert waits_s == sorted(waits_s)
    assert waits_s[-1] == MAX_FAILBACK_WAIT_S
