"""Membership state under restarts, outages, retention and network partitions."""

import hypothesis.strategies as st
from hypothesis import HealthCheck, given, settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from dotterelspread.membership import (
    Member,
    MembershipAged,
    MembershipState,
    member_from_message,
    member_to_message,
)
from dotterelspread.record import InstanceDraining, InstanceLeft
from tests.builders_membership import announced
from tests.builders_site import RETENTION_S, Site

COUNT = 4
NUMBERS = st.integers(0, COUNT - 1)
MEMBERS = st.builds(
    Member, st.builds(announced, st.just("a"), st.integers(1, 3)), st.booleans()
)


class MembershipMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.site = Site(MembershipState, COUNT)
        self.draining = set()
        for number in range(COUNT):
            self.announce(number)

    def announce(self, number):
        follower = self.site.followers[number]
        follower.append(announced(f"a{number}", follower.incarnation))

    def settle(self):
        for follower in self.site.followers:
            if any(isinstance(e, MembershipAged) for e in follower.effects):
                self.announce(follower.number)
            follower.effects.clear()

    @rule(seconds=st.integers(1, int(RETENTION_S * 1.5)))
    def advance(self, seconds):
        for _ in range(seconds):
            self.site.advance(1)
            self.settle()

    @rule(number=NUMBERS, leaves=st.booleans())
    def leave(self, number, leaves):
        follower = self.site.followers[number]
        record_type = InstanceLeft if leaves else InstanceDraining
        offset = follower.append(record_type(f"a{number}", follower.incarnation))
        if offset is not None and not leaves:
            self.draining.add((f"a{number}", follower.incarnation))

    @rule(number=NUMBERS)
    def restart(self, number):
        self.site.restart(number)
        self.announce(number)

    @rule(number=NUMBERS, other=NUMBERS)
    def ask(self, number, other):
        self.site.followers[number].ask_state(self.site.followers[other])

    @rule(number=NUMBERS)
    def append_snapshot(self, number):
        self.site.followers[number].append_snapshot()

    @rule(is_out=st.booleans())
    def change_outage(self, is_out):
        self.site.is_out = is_out

    @rule(number=NUMBERS, is_cut=st.booleans())
    def cut(self, number, is_cut):
        self.site.followers[number].is_cut = is_cut

    @invariant()
    def all_see_the_same(self):
        self.site.check_complete()

    def teardown(self):
        """Once connectivity is restored, all agree on the members."""
        self.site.is_out = False
        followers = self.site.followers
        for follower in followers:
            follower.is_cut = False
        if not any(f.replica.is_complete or f.replica.is_stale for f in followers):
            return
        for _ in range(4):
            self.advance(int(RETENTION_S))
        incarnations = [
            {id: m.incarnation for id, m in f.replica.state.members_by_id.items()}
            for f in followers
        ]
        expected = {f"a{f.number}": f.incarnation for f in followers}
        assert incarnations == [expected] * COUNT


MembershipMachine.TestCase.settings = settings(
    max_examples=25,
    stateful_step_count=20,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
TestMembership = MembershipMachine.TestCase


def test_a_snapshot_holds_the_complete_state():
    state = MembershipState()
    state.apply(0, announced("a"), 0.0)
    state.apply(1, InstanceDraining("a", 1), 0.0)
    state.apply(2, state.to_snapshot(2, ()), 0.0)
    snapshot = state.to_snapshot(3, ((1, 2),))
    restored = MembershipState()
    restored.restore(snapshot, 0.0)
    assert restored.to_snapshot(3, ((1, 2),)) == snapshot


def test_a_member_silent_for_three_distinct_snapshots_is_removed():
    state = MembershipState()
    state.apply(0, announced("a"), 0.0)
    state.apply(1, announced("b"), 0.0)
    for offset in (2, 5, 8):
        assert set(state.members_by_id) == {"a", "b"}
        snapshot = state.to_snapshot(offset, ())
        state.apply(offset, snapshot, 0.0)
        state.apply(offset + 1, snapshot, 0.0)
        state.apply(offset + 2, announced("b"), 0.0)
    assert set(state.members_by_id) == {"b"}


@given(MEMBERS, MEMBERS, MEMBERS)
@settings(derandomize=True, deadline=None)
def test_merging_members_is_independent_of_order(one, two, three):
    assert one.merge(two) == two.merge(one)
    assert one.merge(one) == one
    assert one.merge(two).merge(three) == one.merge(two.merge(three))
    merged = one.merge(two)
    if one.is_draining and merged.incarnation == one.incarnation:
        assert merged.is_draining


@given(MEMBERS)
@settings(derandomize=True, deadline=None)
def test_a_member_survives_a_message_round_trip(member):
    assert member_from_message(member_to_message(member)) == member
