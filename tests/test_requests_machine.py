"""Model-based test of requests under failures, in virtual time.

The recorded history is checked for violations after every step.
"""

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from bench.requestsite import Bench

ENTRIES = st.sampled_from(["e0", "e1", "e2"])
AGENTS = st.sampled_from(["a0", "a1", "a2"])
KEYS = st.sampled_from(["k1", "k2", "k3"])
#: Initial retry allowance of an entry, and its further retries per request.
SAVED_RETRIES, RETRY_RATIO = 20, 0.1
#: Maximum number of simultaneous failures.
MAX_FAULTS = 2


def fault(**strategies):
    """Return a decorator for rules that inject a failure, at most two at a time."""

    def wrap(function):
        def inject(self, **arguments):
            self.fault_count += 1
            function(self, **arguments)

        inject.__name__ = function.__name__
        return precondition(lambda self: self.fault_count < MAX_FAULTS)(
            rule(**strategies)(inject)
        )

    return wrap


class RequestsMachine(RuleBasedStateMachine):
    @initialize(seed=st.integers(0, 2**16))
    def start(self, seed):
        self.bench = Bench(seed, entries=3)
        self.fault_count = 0

    def entry(self, name):
        """Return the named entry, or a remaining one if it was killed."""
        return name if name in self.bench.entries else min(self.bench.entries)

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

    @rule(seconds=st.sampled_from([0.02, 0.05, 0.1, 0.3]))
    def wait(self, seconds):
        self.bench.run_for(seconds)

    @rule(seconds=st.sampled_from([1.0, 3.0]))
    def wait_long(self, seconds):
        self.bench.run_for(seconds)

    @rule(agent=AGENTS)
    def restart_agent(self, agent):
        self.bench.restart_agent(agent, announce_s=3.0)

    @fault(entry=ENTRIES)
    def kill_entry(self, entry):
        self.bench.kill_entry(self.entry(entry))

    @fault(agent=AGENTS, is_noticed=st.booleans())
    def kill_agent(self, agent, is_noticed):
        self.bench.kill_agent(agent, is_noticed)

    @fault(agent=AGENTS, announce_s=st.sampled_from([0.0, 1.0]))
    def drain(self, agent, announce_s):
        self.bench.drain(agent, announce_s)

    @fault(entry=ENTRIES)
    def freeze_entry(self, entry):
        self.bench.entries[self.entry(entry)].is_frozen = True

    @fault(agent=AGENTS)
    def freeze_agent(self, agent):
        self.bench.agents[agent].is_frozen = True

    @fault(entry=ENTRIES, agent=AGENTS, outward=st.booleans())
    def cut_one_way(self, entry, agent, outward):
        self.bench.cut_links.add((entry, agent) if outward else (agent, entry))

    @fault(entry=ENTRIES, agent=AGENTS)
    def silence_connection(self, entry, agent):
        self.bench.silent_connections.add(self.bench.connection(entry, agent))

    @fault()
    def stop_store(self):
        self.bench.is_store_up = False

    @fault()
    def append_late(self):
        self.bench.append_late(0.5)

    @fault()
    def duplicate_messages(self):
        self.bench.duplicate_ratio = 1.0

    @precondition(lambda self: self.fault_count)
    @rule()
    def heal(self):
        self.fault_count = 0
        self.bench.heal()
        for agent_id, agent in list(self.bench.agents.items()):
            if not agent.is_alive or agent.state.draining:
                self.bench.restart_agent(agent_id)
        for entry_id in sorted({"e0", "e1", "e2"} - set(self.bench.entries)):
            self.bench.start_entry(entry_id)

    @invariant()
    def history_is_sound(self):
        if hasattr(self, "bench"):
            assert self.bench.history.find_violations() == []

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
            assert self.bench.history.find_violations(is_complete=True) == []


# Shrinking is disabled to report failures immediately; runs are deterministic.
RequestsMachine.TestCase.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=250,
    stateful_step_count=40,
    phases=[Phase.generate],
)
TestRequests = RequestsMachine.TestCase
