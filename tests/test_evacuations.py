"""Evacuated data centres according to the stream alone, and in one process."""

import pytest

from dotterelspread.evacuationrecord import EvacuationRequested, EvacuationSnapshot
from dotterelspread.evacuations import (
    MAX_CENTRES,
    CentresRead,
    EvacuationFate,
    EvacuationsInForce,
    EvacuationsOffered,
    EvacuationsRead,
    EvacuationState,
    EvacuationsUpdated,
    describe_centre,
    reconcile,
)
from dotterelspread.publication import START_TIMEOUT_S
from dotterelspread.reducer import reduce
from tests.builders_site import RETENTION_S, Site


def make_request(name, is_evacuated=True, base=-1, change_id="c", author="ama"):
    return EvacuationRequested(change_id, name, is_evacuated, base, author, 1_000_000)


def apply(state, offset, *arguments, **changes):
    record = make_request(*arguments, **changes, change_id=f"c{offset}")
    state.apply(offset, record, 0.0)
    return state.result_of(f"c{offset}").fate


def evacuated_names(state):
    return {c.data_centre for c in state.centres_by_name.values() if c.is_evacuated}


@pytest.mark.parametrize(
    ("changes", "fates", "evacuated"),
    [
        # A repeat after a lost answer must not count as another operator's change.
        ([("a", True, -1), ("a", True, -1)], "accepted unchanged", {"a"}),
        # Of two operators on one version, the second must not undo the first.
        ([("a", True, -1), ("a", False, -1)], "accepted superseded", {"a"}),
        ([("a", True, -1), ("a", False, 0)], "accepted accepted", set()),
        # A late repeat of an evacuation must not undo the restore that followed.
        (
            [("a", True, -1), ("a", False, 0), ("a", True, -1)],
            "accepted accepted superseded",
            set(),
        ),
        # Changes of different data centres do not exclude each other.
        ([("a", True, -1), ("b", True, -1)], "accepted accepted", {"a", "b"}),
        # A data centre that was never evacuated has nothing to take back.
        ([("a", False, -1)], "unchanged", set()),
    ],
)
def test_the_version_of_the_data_centre_decides(changes, fates, evacuated):
    state = EvacuationState()
    found = [apply(state, offset, *change) for offset, change in enumerate(changes)]
    assert " ".join(found) == fates
    assert evacuated_names(state) == evacuated


def test_two_requests_in_one_append_have_results_of_their_own():
    # Records that one entry appends within 20 ms share an offset.
    state = EvacuationState()
    state.apply(3, make_request("a", change_id="first"), 0.0)
    state.apply(3, make_request("a", change_id="second", author="kofi"), 0.0)
    (effect,) = state.apply(3, make_request("b", change_id="third"), 0.0)
    fates = [state.result_of(name).fate for name in ("first", "second", "third")]
    assert fates == ["accepted", "unchanged", "accepted"]
    assert state.centres_by_name["a"].author == "ama"
    in_force = EvacuationsInForce(0.0)
    reduce(EvacuationsRead(0.0, 3, effect.centres[:1]), in_force)
    reduce(EvacuationsRead(0.0, 3, effect.centres), in_force)
    assert in_force.names == {"a", "b"}


def test_the_number_of_data_centres_is_bounded():
    # Names are free text: without a bound, operators' scripts could exhaust memory.
    state = EvacuationState()
    for number in range(MAX_CENTRES):
        assert apply(state, number, f"dc{number}") is EvacuationFate.ACCEPTED
    assert apply(state, 1000, "more") is EvacuationFate.REJECTED
    assert apply(state, 1001, "dc0", False, base=1000) is EvacuationFate.ACCEPTED
    assert apply(state, 1002, "more") is EvacuationFate.ACCEPTED
    assert len(state.centres_by_name) == MAX_CENTRES
    assert "dc0" not in state.centres_by_name


def test_an_evacuation_outlives_its_record_in_the_log():
    # Records expire; an evacuation must hold until it is taken back.
    site = Site(EvacuationState, 2)
    site.followers[0].append(make_request("a"))
    site.advance(int(RETENTION_S * 3))
    assert site.log.first > 0
    site.restart(1)
    site.advance(5)
    assert evacuated_names(site.followers[1].replica.state) == {"a"}
    site.followers[1].append(make_request("a", False, base=0, change_id="d"))
    site.advance(int(RETENTION_S * 3))
    site.restart(0)
    site.advance(5)
    assert evacuated_names(site.followers[0].replica.state) == set()


def test_a_version_that_the_stream_lost_is_appended_again():
    # A record may expire in an outage before any process but one has read it.
    site = Site(EvacuationState, 1)
    site.advance(1)
    replica = site.followers[0].replica
    in_force = EvacuationsInForce(0.0)
    state = EvacuationState()
    state.apply(5, make_request("a"), 0.0)
    centres = tuple(state.centres_by_name.values())
    reduce(EvacuationsOffered(0.0, 5, centres), in_force)
    assert reconcile(replica, in_force) == []
    replica.next_offset = 9
    (effect,) = reconcile(replica, in_force)
    assert isinstance(effect.record, EvacuationSnapshot)
    assert replica.state.apply(9, effect.record, 0.0) == [CentresRead(5, centres)]
    assert reconcile(replica, in_force) == []


def test_an_outdated_peer_does_not_bring_back_an_evacuation():
    state = EvacuationState()
    state.apply(0, make_request("a"), 0.0)
    old = tuple(state.centres_by_name.values())
    state.apply(1, make_request("a", False, base=0), 0.0)
    new = tuple(state.centres_by_name.values())
    in_force = EvacuationsInForce(0.0)
    updated = reduce(EvacuationsOffered(0.0, 0, old), in_force)
    assert updated == [EvacuationsUpdated(frozenset({"a"}))]
    assert reduce(EvacuationsRead(0.0, 1, new), in_force)[0].names == frozenset()
    assert reduce(EvacuationsOffered(0.0, 0, old), in_force) == []
    assert in_force.describe("a") == ""


def test_a_starting_process_waits_for_several_peers_or_a_timeout():
    # One peer may have an outdated version; without log and peers, service goes on.
    in_force = EvacuationsInForce(100.0)
    assert in_force.is_known(100.0, is_log_read=True)
    for _ in range(3):
        assert not in_force.is_known(100.1, is_log_read=False)
        reduce(EvacuationsOffered(100.1, -1, ()), in_force)
    assert in_force.is_known(100.1, is_log_read=False)
    assert EvacuationsInForce(100.0).is_known(100.0 + START_TIMEOUT_S, False)


def test_the_description_names_the_operator_and_the_time():
    state = EvacuationState()
    state.apply(4, make_request("kumasi"), 0.0)
    assert describe_centre(state.centres_by_name["kumasi"]) == (
        "data centre kumasi was evacuated by ama at 1970-01-12 13:46:40 UTC (version 4)"
    )
