"""Fake network, backend servers and claim store of a simulated request site."""

from dataclasses import dataclass
from functools import singledispatchmethod

from bench.history import Run, SeenOutcome
from dotterelspread import agentevents as agent_events
from dotterelspread import entryevents as entry_events
from dotterelspread.outcome import Completed
from dotterelspread.requestclaim import CLAIM_STREAM_COUNT
from dotterelspread.routing import Load

__all__ = ["READ_INTERVAL_S", "STREAMS", "RequestCarrier"]

#: Interval at which an entry polls the log.
READ_INTERVAL_S = 0.1
STREAMS = [f"claims.{number}" for number in range(CLAIM_STREAM_COUNT)]


@dataclass(slots=True, frozen=True)
class Waiter:
    """The entry that waits for an agent's answer, and the connection to use."""

    entry_id: str
    connection: int
    effect: object


class RequestCarrier:
    """Performs the effects of simulated processes; a subclass holds the processes.

    Faults of the network, the backend servers and the store are attributes of the
    subclass.
    """

    # Effects

    @singledispatchmethod
    def perform(self, effect, process):
        raise AssertionError(f"no fake performs {effect}")

    @perform.register
    def _(self, effect: entry_events.Respond, entry):
        seen = SeenOutcome(effect.request_id, self.now_s, effect.outcome)
        self.history.seen.append(seen)

    @perform.register
    def _(self, effect: entry_events.OpenNewConnection, entry):
        pair = (entry.process_id, effect.instance_id)
        self.connections[pair] = self.connections.get(pair, 0) + 1

    @perform.register
    def _(self, effect: entry_events.SendRun, entry):
        self.sends += 1
        self.carry(entry, effect)
        if self.rng.random() < self.duplicate_ratio:
            self.carry(entry, effect, extra_s=self.rng.uniform(0, 4))

    @perform.register
    def _(self, effect: entry_events.QueryAnswer, entry):
        self.carry(entry, effect)

    @perform.register
    def _(self, effect: entry_events.AppendClaimRecord, entry):
        delay_s = self.rng.uniform(0.5, 2) * self.append_delay_s
        self.after(delay_s, self.append, entry, effect)

    @perform.register
    def _(self, effect: agent_events.StartRun, agent):
        kind, answer = effect.request
        run = Run(
            effect.request_id,
            agent.process_id,
            agent.state.incarnation,
            self.now_s,
        )
        self.history.runs.append(run)
        self.after(self.duration_s(agent, kind), self.finish_run, agent, run, answer)

    @perform.register
    def _(self, effect: agent_events.SendAnswer, agent):
        for waiter in effect.waiters:
            self.reply(agent, waiter, effect.outcome)

    @perform.register
    def _(self, effect: agent_events.SendPending, agent):
        # The daemon delays this reply, since the answer may arrive in the meantime.
        self.after(0.2, self.reply, agent, effect.waiter, None)

    @perform.register
    def _(self, effect: agent_events.DrainCompleted, agent):
        assert not agent.state.pending_by_id

    # Network

    def connection(self, entry_id, agent_id):
        return (entry_id, agent_id, self.connections.get((entry_id, agent_id), 0))

    def is_lost(self, source_id, target_id, connection):
        return (
            source_id,
            target_id,
        ) in self.cut_links or connection in self.silent_connections

    def carry(self, entry, effect, extra_s=0.0):
        """Send an entry's message to an agent over their current connection."""
        agent = self.agents[effect.instance_id]
        connection = self.connection(entry.process_id, agent.process_id)
        if not agent.is_alive:
            lost = self.lost(effect, sent=False)
            self.after(self.delay(), self.deliver, entry, lost)
        elif not self.is_lost(entry.process_id, agent.process_id, connection):
            waiter = Waiter(entry.process_id, connection, effect)
            self.after(self.delay() + extra_s, self.receive, agent, waiter)

    def receive(self, agent, waiter):
        entry = self.entries.get(waiter.entry_id)
        if agent.is_alive:
            self.deliver(agent, self.request_event(waiter))
        elif entry:
            self.deliver(entry, self.lost(waiter.effect, sent=True))

    def request_event(self, waiter):
        effect = waiter.effect
        if isinstance(effect, entry_events.QueryAnswer):
            return agent_events.AnswerRequested(
                self.now_s,
                effect.queried_id,
                effect.incarnation,
                effect.fence,
                waiter,
            )
        return agent_events.RunRequested(
            self.now_s,
            effect.request_id,
            effect.incarnation,
            effect.service_name,
            effect.kind,
            effect.urgency,
            self.now_s + effect.remaining_s,
            effect.request,
            effect.idempotent,
            waiter,
        )

    def lost(self, effect, sent):
        names = (effect.request_id, effect.attempt, effect.instance_id)
        if isinstance(effect, entry_events.SendRun):
            return entry_events.AttemptLost(self.now_s, *names, sent)
        return entry_events.QueryLost(
            self.now_s, names[0], effect.queried_id, *names[1:]
        )

    def reply(self, agent, waiter, outcome):
        entry = self.entries.get(waiter.entry_id)
        names = (agent.process_id, waiter.entry_id)
        if entry is None or not agent.is_alive:
            return
        if self.is_lost(*names, waiter.connection):
            return
        event = self.answer_event(agent, waiter.effect, outcome)
        self.after(self.delay(), self.deliver, entry, event)

    def answer_event(self, agent, effect, outcome):
        state = agent.state
        load = Load(
            state.running,
            state.queued,
            state.slots,
            state.draining,
            state.incarnation,
        )
        names = (effect.attempt, agent.process_id)
        if isinstance(effect, entry_events.SendRun):
            return entry_events.AnswerReceived(
                self.now_s, effect.request_id, *names, outcome, load
            )
        names = (effect.request_id, effect.queried_id, *names)
        if outcome is None:
            return entry_events.QueryPending(self.now_s, *names, load)
        return entry_events.QueryAnswered(self.now_s, *names, outcome, load)

    def duration_s(self, agent, kind):
        service_s = self.service_s[kind] * self.slowdown_by_agent.get(
            agent.process_id, 1.0
        )
        return service_s * self.rng.uniform(0.8, 1.2)

    def finish_run(self, agent, run, answer):
        run.end_s = self.now_s
        event = agent_events.RunFinished(
            self.now_s, run.request_id, Completed(200, (), answer)
        )
        self.deliver(agent, event)

    # Store

    def append(self, entry, effect):
        if self.is_store_up:
            self.log[effect.stream].append(effect.record)
            return
        self.after(0.5, self.retry_append, entry, effect)

    def retry_append(self, entry, effect):
        """Report the failed append to the entry once the store is up again."""
        if not self.is_store_up:
            self.after(0.5, self.retry_append, entry, effect)
            return
        failed = entry_events.AppendFailed(self.now_s, effect.request_id, True)
        self.deliver(entry, failed)

    def append_late(self, seconds):
        """Delay appends by 2 to 8 s for the next ``seconds``."""
        old_s, self.append_delay_s = self.append_delay_s, 4.0
        self.after(seconds, setattr, self, "append_delay_s", old_s)

    def read_log(self, entry):
        if not entry.is_alive:
            return
        self.after(READ_INTERVAL_S, self.read_log, entry)
        if not self.is_store_up or entry.is_frozen:
            return
        for stream in STREAMS:
            records = self.log[stream]
            for offset in range(entry.offsets[stream], len(records)):
                entry.offsets[stream] = offset + 1
                event = entry_events.ClaimRead(
                    self.now_s, stream, offset, records[offset]
                )
                self.deliver(entry, event)
