"""Appends under lost replies, late appends, outages, cancellation and truncation.

Calls to the log are held as data: the machine writes, answers, loses and delays them in
any order, and compares what callers were told with what every reader sees.
"""

import random

import hypothesis.strategies as st
from hypothesis import HealthCheck, settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from dotterelspread.appending import StreamWriter
from dotterelspread.appendmessages import (
    AppendCancelled,
    AppendDropped,
    AppendFailed,
    AppendFailure,
    AppendReplied,
    AppendRequested,
    AppendSent,
    AppendSettled,
    BackReadFailed,
    BackReadReplied,
    BackReadSent,
    BackReadTruncated,
    CommitDue,
    CommitTimerStarted,
    TailLocated,
    TailRequested,
)
from dotterelspread.log import Extent, TruncatedError
from dotterelspread.reducer import reduce
from dotterelspread.stream import StreamReader, WriterSequences
from tests.builders_log import INCARNATION, AppendCall, VirtualLog, a_record

WRITER_IDS = (0, 1)
HEALING_STEPS = 40
PUMP_STEPS = 8
READ_COUNT = 2


class AppendingMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.now_s = 0.0
        self.log = VirtualLog()
        self.writers = [StreamWriter(100 + n, random.Random(n)) for n in WRITER_IDS]
        self.pending = []
        self.calls = []
        self.tokens = 0
        self.owners = {}
        self.results = {}
        self.reader = StreamReader("s", 0, random.Random(9))
        self.entries = []
        self.is_out = False
        self.hidden = 0

    def apply(self, writer_id, event):
        for effect in reduce(event, self.writers[writer_id]):
            match effect:
                case AppendSent(attempt=attempt, data=data):
                    self.calls.append(AppendCall(writer_id, attempt, data))
                case AppendSettled(token=token) | AppendDropped(token=token):
                    assert token not in self.results
                    self.results[token] = effect
                case _:
                    self.pending.append((writer_id, effect))

    @rule(writer_id=st.sampled_from(WRITER_IDS))
    def request(self, writer_id):
        self.tokens += 1
        self.owners[self.tokens] = writer_id
        event = AppendRequested(self.now_s, self.tokens, a_record(self.tokens))
        self.apply(writer_id, event)
        self.pump()

    @rule(data=st.data())
    def cancel(self, data):
        waiting = [token for token in self.owners if token not in self.results]
        if waiting:
            token = data.draw(st.sampled_from(waiting))
            self.apply(self.owners[token], AppendCancelled(self.now_s, token))

    @rule(is_out=st.booleans(), hidden=st.sampled_from((0, 0, 0, 1, 2)))
    def change_reads(self, is_out, hidden):
        self.is_out = is_out
        self.hidden = hidden
        self.pump()

    def pump(self):
        """Run timers and answer reads for as long as reads succeed."""
        self.log.show(self.hidden)
        for _ in range(PUMP_STEPS):
            pending, self.pending = self.pending, []
            for writer_id, effect in pending:
                self.apply(writer_id, self.answer_to(effect))

    def answer_to(self, effect):
        match effect:
            case CommitTimerStarted(delay_s=delay_s):
                self.now_s += delay_s
                return CommitDue(self.now_s)
            case TailRequested(attempt=attempt):
                if self.is_out:
                    failure = AppendFailure.NOT_WRITTEN
                    return AppendFailed(self.now_s, attempt, failure)
                return TailLocated(self.now_s, attempt, self.log.extent)
            case BackReadSent(attempt=attempt, from_offset=from_offset):
                if self.is_out:
                    return BackReadFailed(self.now_s, attempt)
                try:
                    reply = self.log.read(from_offset, READ_COUNT)
                except TruncatedError:
                    return BackReadTruncated(self.now_s, attempt)
                return BackReadReplied(self.now_s, attempt, reply)

    @precondition(lambda self: self.calls)
    @rule(data=st.data())
    def write(self, data):
        call = data.draw(st.sampled_from(self.calls))
        if call.extent is None:
            call.extent = self.log.append(call.data)
            self.clean()
            self.pump()

    @precondition(lambda self: any(call.extent for call in self.calls))
    @rule(data=st.data())
    def reply(self, data):
        written = [call for call in self.calls if call.extent]
        call = data.draw(st.sampled_from(written))
        call.is_answered = True
        self.clean()
        event = AppendReplied(self.now_s, call.attempt, call.extent)
        self.apply(call.writer_id, event)
        self.pump()

    @precondition(lambda self: any(not call.is_answered for call in self.calls))
    @rule(data=st.data())
    def lose(self, data):
        waiting = [call for call in self.calls if not call.is_answered]
        call = data.draw(st.sampled_from(waiting))
        call.is_answered = True
        self.clean()
        failure = AppendFailure.UNCERTAIN
        self.apply(call.writer_id, AppendFailed(self.now_s, call.attempt, failure))
        self.pump()

    @precondition(lambda self: self.calls)
    @rule(data=st.data())
    def refuse(self, data):
        call = data.draw(st.sampled_from(self.calls))
        if call.extent is None and not call.is_answered:
            self.calls.remove(call)
            failure = AppendFailure.NOT_WRITTEN
            event = AppendFailed(self.now_s, call.attempt, failure)
            self.apply(call.writer_id, event)
            self.pump()

    def clean(self):
        self.calls = [c for c in self.calls if not (c.extent and c.is_answered)]

    @rule(data=st.binary(max_size=8))
    def write_malformed(self, data):
        self.log.append(b"\xc1" + data)

    @rule()
    def expire(self):
        if self.reader.position > self.log.first:
            self.log.first = self.reader.position

    @rule(count=st.integers(1, 4), restarts=st.booleans())
    def read(self, count, restarts):
        if restarts:
            items = self.reader.sequences.to_items()
            sequences = WriterSequences(items)
            position = self.reader.position
            self.reader = StreamReader("s", position, random.Random(9), sequences)
        reply = self.log.read(self.reader.position, count)
        self.entries += self.reader.take(reply.records)

    @invariant()
    def callers_and_readers_agree(self):
        reader = StreamReader("s", 0, random.Random(9))
        entries = reader.take(self.log.written)
        assert list(entries[: len(self.entries)]) == self.entries
        offsets_by_token = {}
        for entry in entries:
            token = entry.envelope.record.incarnation
            assert token not in offsets_by_token, "a record is seen twice"
            offsets_by_token[token] = entry.offset
        for token, result in self.results.items():
            if isinstance(result, AppendSettled):
                assert offsets_by_token.get(token) == result.offset
            elif result.is_absent:
                assert token not in offsets_by_token

    def teardown(self):
        """Once the log recovers, every record that a caller awaits is settled."""
        self.is_out, self.hidden = False, 0
        for _ in range(HEALING_STEPS):
            if len(self.results) == len(self.owners):
                break
            for call in list(self.calls):
                call.extent = call.extent or self.log.append(call.data)
                if not call.is_answered:
                    call.is_answered = True
                    event = AppendReplied(self.now_s, call.attempt, call.extent)
                    self.apply(call.writer_id, event)
            self.clean()
            self.pump()
        assert len(self.results) == len(self.owners)
        self.callers_and_readers_agree()


AppendingMachine.TestCase.settings = settings(
    max_examples=150,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
TestAppending = AppendingMachine.TestCase


def test_an_append_cancelled_after_it_is_sent_is_uncertain():
    writer = StreamWriter(INCARNATION, random.Random(1))
    reduce(AppendRequested(0.0, 1, a_record()), writer)
    (located,) = reduce(CommitDue(0.0), writer)
    (sent,) = reduce(TailLocated(0.0, located.attempt, Extent(0, 0)), writer)
    assert isinstance(sent, AppendSent)
    (dropped,) = reduce(AppendCancelled(0.1, 1), writer)
    assert dropped == AppendDropped(1, False, "cancelled")
