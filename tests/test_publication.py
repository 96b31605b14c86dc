"""Publication under races, restarts, outages, expiry, partitions and stale peers."""

import hypothesis.strategies as st
from hypothesis import HealthCheck, settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from dotterelspread.publication import (
    NO_VERSION,
    ConfigurationAccepted,
    ConfigurationInForce,
    ConfigurationReceived,
    PublicationFate,
    VersionRead,
    reconcile,
)
from dotterelspread.record import ConfigurationPublished, Envelope, encode_record
from dotterelspread.reducer import reduce
from tests.builders_publication import UnreadableError, make_state, parse
from tests.builders_site import RETENTION_S, Site

COUNT = 4
NUMBERS = st.integers(0, COUNT - 1)


class PublicationMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.site = Site(make_state, COUNT)
        self.in_force = [self.start() for _ in range(COUNT)]
        self.seen = [NO_VERSION] * COUNT
        self.late = []
        self.accepted = set()

    def start(self):
        return ConfigurationInForce(parse, UnreadableError, self.site.now_s)

    def settle(self):
        for follower in self.site.followers:
            for effect in follower.effects:
                if isinstance(effect, VersionRead):
                    self.accepted.add(effect.version.number)
                    event = ConfigurationAccepted(self.site.now_s, effect.version)
                    reduce(event, self.in_force[follower.number])
            follower.effects.clear()

    def encode_publication(self, number, is_bad):
        follower = self.site.followers[number]
        follower.sequence += 1
        text = f"{'bad' if is_bad else 'good'} {number} {follower.sequence}"
        base = self.in_force[number].number
        record = ConfigurationPublished(base, f"o{number}", text)
        envelope = Envelope(follower.incarnation, follower.sequence, record)
        return encode_record((envelope,))

    @rule(number=NUMBERS, is_bad=st.booleans(), is_late=st.booleans())
    def publish(self, number, is_bad, is_late):
        data = self.encode_publication(number, is_bad)
        if is_late:
            self.late.append(data)
        else:
            self.site.append(data)

    @rule(twice=st.booleans())
    def write_late(self, twice):
        if self.late:
            data = self.late[0] if twice else self.late.pop(0)
            self.site.append(data)

    @rule(seconds=st.integers(1, int(RETENTION_S * 1.5)))
    def advance(self, seconds):
        self.site.advance(seconds)
        self.settle()

    @rule(number=NUMBERS)
    def read(self, number):
        self.site.followers[number].read()
        self.settle()

    @rule(number=NUMBERS, other=NUMBERS)
    def ask(self, number, other):
        followers = self.site.followers
        if followers[number].is_cut or followers[other].is_cut:
            return
        version = self.in_force[other].version
        if version is not None:
            event = ConfigurationReceived(self.site.now_s, version.number, version.text)
            reduce(event, self.in_force[number])
        followers[number].ask_state(followers[other])
        self.settle()

    @rule(number=NUMBERS)
    def restart(self, number):
        self.site.restart(number)
        self.in_force[number] = self.start()
        self.seen[number] = NO_VERSION

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
    def all_replicas_agree(self):
        self.site.check_complete()

    @invariant()
    def version_in_force_is_accepted_and_never_decreases(self):
        for number, in_force in enumerate(self.in_force):
            assert in_force.number >= self.seen[number]
            self.seen[number] = in_force.number
            assert in_force.number == NO_VERSION or in_force.number in self.accepted

    def teardown(self):
        """Check that all processes converge on one version once all faults end."""
        self.site.is_out = False
        followers = self.site.followers
        for follower in followers:
            follower.is_cut = False
        latest = max(in_force.number for in_force in self.in_force)
        if not any(f.replica.is_complete or f.replica.is_stale for f in followers):
            return
        for _ in range(3):
            for number in range(COUNT):
                self.ask(number, (number + 1) % COUNT)
            self.site.advance(int(RETENTION_S))
            self.settle()
            for number, in_force in enumerate(self.in_force):
                for effect in reconcile(followers[number].replica, in_force):
                    followers[number].append(effect.record)
        published = self.site.append(self.encode_publication(0, False))
        self.site.advance(2)
        self.settle()
        assert published > latest
        assert {in_force.number for in_force in self.in_force} == {published}


PublicationMachine.TestCase.settings = settings(
    max_examples=40,
    stateful_step_count=25,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
TestPublication = PublicationMachine.TestCase


def test_only_one_of_two_concurrent_publications_is_accepted():
    state = make_state()
    state.apply(3, ConfigurationPublished(-1, "a", "good"), 0.0)
    state.apply(4, ConfigurationPublished(-1, "b", "good"), 0.0)
    state.apply(5, ConfigurationPublished(3, "b", "bad"), 0.0)
    fates = [state.result_at(offset).fate for offset in (3, 4, 5, 6)]
    assert fates == [
        PublicationFate.ACCEPTED,
        PublicationFate.SUPERSEDED,
        PublicationFate.INVALID,
        PublicationFate.UNKNOWN,
    ]
    assert state.number == 3


def test_a_starting_process_waits_for_several_peers_while_the_log_is_down():
    in_force = ConfigurationInForce(parse, UnreadableError, 0.0)
    reduce(ConfigurationReceived(0.1, 5, "good"), in_force)
    assert not in_force.is_ready(0.1, False)
    assert in_force.is_ready(0.1, True)
    reduce(ConfigurationReceived(0.2, 9, "good"), in_force)
    reduce(ConfigurationReceived(0.2, 7, "good"), in_force)
    assert in_force.is_ready(0.2, False)
    assert in_force.number == 9
