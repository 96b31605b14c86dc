"""Simulation of entries and agents in virtual time, with a fake network and store."""

import heapq
import random
from dataclasses import dataclass, field, replace
from itertools import count

from bench.history import History, SentRequest
from bench.requestcarrier import READ_INTERVAL_S, STREAMS, RequestCarrier
from dotterelspread import agentevents as agent_events
from dotterelspread import entryevents as entry_events
from dotterelspread.agentcore import AgentState
from dotterelspread.configuration import (
    Configuration,
    KindConfig,
    ServiceConfig,
    Urgency,
)
from dotterelspread.entrycore import EntryState
from dotterelspread.entrystate import EntryLocation
from dotterelspread.reducer import reduce

SERVICE = "dispatch"
DATA_CENTRE = "kumasi"
TICK_INTERVAL_S = 0.1


def make_service(deadline_s=6.0):
    kinds = [
        KindConfig("fault", Urgency.HIGH, share=0.4, deadline_s=deadline_s),
        KindConfig("price", Urgency.LOW, share=0.2, deadline_s=deadline_s),
        KindConfig("book", Urgency.NORMAL, 0.4, deadline_s, idempotent=False),
    ]
    return ServiceConfig(SERVICE, {kind.name: kind for kind in kinds}, "fault")


@dataclass(slots=True)
class Process:
    """An entry or agent: its state, and the events held back while it is frozen."""

    process_id: str
    state: object
    is_alive: bool = True
    is_frozen: bool = False
    inbox: list = field(default_factory=list)
    #: Next offset to read, by stream.
    offsets: dict = field(default_factory=lambda: dict.fromkeys(STREAMS, 0))


class Bench(RequestCarrier):
    """Runs the reducers of all processes and delivers their effects as events.

    Parameters
    ----------
    seed : int
        Seed of the delays.
    """

    def __init__(
        self,
        seed=0,
        entries=2,
        agents=3,
        slots=2,
        delay_s=0.003,
        service=None,
        queue="fair",
        max_action_delay_s=0.002,
    ):
        self.rng = random.Random(seed)
        self.delay_s = delay_s
        self.now_s = 0.0
        self.sequence = count(1)
        self.queue = []
        self.history = History()
        self.log = {stream: [] for stream in STREAMS}
        self.is_store_up = True
        self.append_delay_s = 0.01
        #: Directed pairs of processes whose messages are lost.
        self.cut_links = set()
        #: Connections whose messages are lost, as (entry, agent, number).
        self.silent_connections = set()
        self.connections = {}
        self.duplicate_ratio = 0.0
        self.service = service or make_service()
        self.queue_name = queue
        #: Maximum delay between an event and the execution of its effects.
        self.max_action_delay_s = max_action_delay_s
        self.service_s = {"fault": 0.05, "price": 0.1, "book": 0.08}
        self.slowdown_by_agent = {}
        #: Data centre of each agent that is not in `DATA_CENTRE`.
        self.data_centre_by_agent = {}
        self.answer_bytes = 0
        self.sends = 0
        self.sent_ids_by_entry = {}
        self.entries = {}
        self.agents = {}
        for number in range(agents):
            self.start_agent(f"a{number}", slots)
        for number in range(entries):
            self.start_entry(f"e{number}")

    # Time

    def after(self, delay_s, call, *arguments):
        when_s = self.now_s + delay_s
        heapq.heappush(self.queue, (when_s, next(self.sequence), call, arguments))

    def delay(self):
        return self.rng.uniform(0.5, 3.0) * self.delay_s

    def run_for(self, seconds):
        end_s = self.now_s + seconds
        while self.queue and self.queue[0][0] <= end_s:
            self.now_s, _, call, arguments = heapq.heappop(self.queue)
            call(*arguments)
        self.now_s = end_s

    # Processes

    def start_entry(self, entry_id):
        location = EntryLocation(entry_id, DATA_CENTRE, "ashanti")
        state = EntryState.from_config(location, 1, seed=len(self.entries))
        process = Process(entry_id, state)
        self.entries[entry_id] = process
        self.sent_ids_by_entry[entry_id] = set()
        self.dispatch(process, self.entry_configured())
        for agent in self.agents.values():
            self.dispatch(process, self.member_seen(agent))
        self.after(TICK_INTERVAL_S, self.tick, process, entry_events.EntryTick)
        self.after(READ_INTERVAL_S, self.read_log, process)

    def entry_configured(self):
        services = {SERVICE: self.service}
        return entry_events.EntryConfigured(self.now_s, Configuration(services))

    def start_agent(self, agent_id, slots=2, incarnation=1, announce_s=0.0):
        state = AgentState.from_config(
            self.service, slots, incarnation, self.queue_name
        )
        # A small limit, so that queries for evicted answers occur as well.
        state.answers.max_answers = 4
        process = Process(agent_id, state)
        self.agents[agent_id] = process
        self.history.slots_by_id[agent_id] = slots
        self.history.drained_s_by_id.pop(agent_id, None)
        self.after(TICK_INTERVAL_S, self.tick, process, agent_events.AgentTick)
        self.after(announce_s, self.announce, process)

    def announce(self, agent):
        for entry in self.entries.values():
            self.after(self.delay(), self.deliver, entry, self.member_seen(agent))

    def member_seen(self, agent):
        state = agent.state
        return entry_events.MemberSeen(
            self.now_s,
            agent.process_id,
            state.incarnation,
            agent.process_id,
            self.data_centre_by_agent.get(agent.process_id, DATA_CENTRE),
            "ashanti",
            (SERVICE,),
            state.slots,
            state.draining,
        )

    def kill_entry(self, entry_id):
        entry = self.entries.pop(entry_id)
        entry.is_alive = False
        seen_ids = {seen.request_id for seen in self.history.seen}
        self.history.disconnected_ids |= self.sent_ids_by_entry[entry_id] - seen_ids

    def kill_agent(self, agent_id, is_noticed=True):
        agent = self.agents[agent_id]
        self.reset_connections(agent)
        if is_noticed:
            gone = entry_events.MemberGone(
                self.now_s, agent_id, agent.state.incarnation
            )
            for entry in self.entries.values():
                self.after(1.0, self.deliver, entry, gone)

    def restart_agent(self, agent_id, announce_s=0.0):
        old = self.agents[agent_id]
        self.reset_connections(old)
        incarnation = old.state.incarnation + 1
        self.start_agent(agent_id, old.state.slots, incarnation, announce_s)

    def reset_connections(self, agent):
        """Kill an agent; waiting entries see a connection reset unless cut off."""
        if not agent.is_alive:
            return
        agent.is_alive = False
        for pending in agent.state.pending_by_id.values():
            for waiter in pending.waiters:
                names = (agent.process_id, waiter.entry_id)
                entry = self.entries.get(waiter.entry_id)
                if entry and not self.is_lost(*names, waiter.connection):
                    lost = self.lost(waiter.effect, sent=True)
                    self.after(self.delay(), self.deliver, entry, lost)

    def thaw(self, process):
        process.is_frozen = False
        inbox, process.inbox = process.inbox, []
        for event in inbox:
            self.deliver(process, event)

    def drain(self, agent_id, announce_s=0.0):
        self.history.drained_s_by_id.setdefault(agent_id, self.now_s)
        agent = self.agents[agent_id]
        self.dispatch(agent, agent_events.DrainRequested(self.now_s))
        self.after(announce_s, self.announce, agent)

    def heal(self):
        self.cut_links.clear()
        self.silent_connections.clear()
        self.is_store_up = True
        self.duplicate_ratio = 0.0
        for process in [*self.entries.values(), *self.agents.values()]:
            self.thaw(process)

    def tick(self, process, event_type):
        if process.is_alive:
            self.after(TICK_INTERVAL_S, self.tick, process, event_type)
            if not process.is_frozen:
                self.dispatch(process, event_type(self.now_s))

    def deliver(self, process, event):
        """Dispatch an event to a process, or hold it back while it is frozen."""
        if not process.is_alive:
            return
        if process.is_frozen:
            process.inbox.append(event)
            return
        if event.now_s != self.now_s:
            event = replace(event, now_s=self.now_s)
        self.dispatch(process, event)

    def dispatch(self, process, event):
        for effect in reduce(event, process.state):
            # A process may be killed or frozen before the effect is performed.
            self.after(
                self.rng.uniform(0, self.max_action_delay_s),
                self.perform_unless_frozen,
                process,
                effect,
            )

    def perform_unless_frozen(self, process, effect):
        if not process.is_alive:
            return
        if process.is_frozen:
            self.after(TICK_INTERVAL_S, self.perform_unless_frozen, process, effect)
            return
        self.perform(effect, process)

    # Callers

    def send(self, entry_id, kind="fault", key=None, fingerprint=b"f", deadline_s=None):
        request_id = f"r{next(self.sequence)}"
        self.sent_ids_by_entry[entry_id].add(request_id)
        answer = (key or request_id).encode().ljust(self.answer_bytes, b".")
        is_keyed = not self.service.kinds_by_name[kind].idempotent
        self.history.sent_by_id[request_id] = SentRequest(
            request_id, self.now_s, key if is_keyed else None, answer
        )
        due_s = None if deadline_s is None else self.now_s + deadline_s
        event = entry_events.RequestArrived(
            self.now_s,
            request_id,
            SERVICE,
            kind,
            due_s,
            key,
            fingerprint,
            100,
            (kind, answer),
        )
        self.deliver(self.entries[entry_id], event)
        return request_id

    def outcome(self, request_id):
        found = [s.outcome for s in self.history.seen if s.request_id == request_id]
        return found[0] if found else None
