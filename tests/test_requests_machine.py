"""Requests under failures on virtual time, judged by the history."""

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from tests.builders_requests import Bench

ENTRIES = st.sampled_from(["e0", "e1", "e2"])
AGENTS = st.sampled_from(["a0", "a1", "a2"])
KEYS = st.sampled_from(["k1", "k2", "k3"])
#: Retries that a new entry may make, and the part of its requests beyond these.
SAVED_RETRIES, RETRY_RATIO = 20, 0.1


class RequestsMachine(RuleBasedStateMachine):
    @initialize(seed=st.integers(0, 2**16))
    def start(self, seed):
        self.bench = Bench(seed, entries=3)

    def entry(self, name):
        """Return the named entry, or the one left in its place."""
        alive = sorted(self.bench.entries)
        return name if name in alive else alive[0]

    @rule(entry=ENTRIES, key=KEYS, deadline_s=st.sampled_from([0.3, 2.0, 6.0]))
    def book(self, entry, key, deadline_s):
        self.bench.send(self.entry(entry), "book", key, deadline_s=deadline_s)

    @rule(first=ENTRIES, second=ENTRIES, key=KEYS)
    def book_and_repeat(self, first, second, key):
        self.bench.send(self.entry(first), "book", key)
        self.bench.run_for(0.1)
        self.bench.send(self.entry(second), "book", key)

    @rule(entry=ENTRIES, kind=st.sampled_from(["fault", "price"]), n=st.integers(1, 30))
    def ask_several(self, entry, kind, n):
        for _ in range(n):
            self.bench.send(self.entry(entry), kind)

    @rule(seconds=st.sampled_from([0.02, 0.05, 0.1, 0.3, 1.0, 3.0]))
    def wait(self, seconds):
        self.bench.run_for(seconds)

    @precondition(lambda self: len(self.bench.entries) > 1)
    @rule(entry=ENTRIES)
    def kill_entry(self, entry):
        self.bench.kill_entry(self.entry(entry))

    @rule(agent=AGENTS, is_noticed=st.booleans())
    def kill_agent(self, agent, is_noticed):
        self.bench.kill_agent(agent, is_noticed)

    @rule(agent=AGENTS, announce_s=st.sampled_from([0.0, 3.0]))
    def restart_agent(self, agent, announce_s):
        self.bench.restart_agent(agent, announce_s)

    @rule(agent=AGENTS, announce_s=st.sampled_from([0.0, 1.0]))
    def drain(self, agent, announce_s):
        self.bench.drain(agent, announce_s)

    @rule(entry=ENTRIES)
    def freeze_entry(self, entry):
        self.bench.entries[self.entry(entry)].is_frozen = True

    @rule(agent=AGENTS)
    def freeze_agent(self, agent):
        self.bench.agents[agent].is_frozen = True

    @rule()
    def thaw(self):
        for process in [*self.bench.entries.values(), *self.bench.agents.values()]:
            self.bench.thaw(process)

    @rule(entry=ENTRIES, agent=AGENTS, outward=st.booleans())
    def cut_one_way(self, entry, agent, outward):
        self.bench.cuts.add((entry, agent) if outward else (agent, entry))

    @rule(entry=ENTRIES, agent=AGENTS)
    def silence_connection(self, entry, agent):
        self.bench.silent.add(self.bench.connection(entry, agent))

    @rule()
    def mend_network(self):
        self.bench.cuts.clear()

    @rule(is_up=st.booleans())
    def switch_store(self, is_up):
        self.bench.store_is_up = is_up

    @rule()
    def append_late(self):
        self.bench.append_late(0.5)

    @rule(share=st.sampled_from([0.0, 0.5, 1.0]))
    def duplicate_messages(self, share):
        self.bench.duplicates = share

    @invariant()
    def history_is_sound(self):
        if hasattr(self, "bench"):
            assert self.bench.history.faults() == []

    @invariant()
    def retries_keep_to_the_budget(self):
        if hasattr(self, "bench"):
            requests = len(self.bench.history.sent_by_id)
            allowed = requests * (1 + RETRY_RATIO) + 3 * SAVED_RETRIES
            assert self.bench.sends <= allowed

    def teardown(self):
        if hasattr(self, "bench"):
            self.bench.heal()
            self.bench.run_for(15.0)
            assert self.bench.history.faults(is_complete=True) == []


# Without shrinking a failure is reported at once, and it is the same in every run.
RequestsMachine.TestCase.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=150,
    stateful_step_count=40,
    phases=[Phase.generate],
)
TestRequests = RequestsMachine.TestCase
