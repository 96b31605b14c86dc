"""Appending to one stream of the log: group commit, and recovery from lost replies.

The handlers of `reduce` here take a `StreamWriter`; `appender` performs the effects.

One append is in flight at a time. When its reply is lost, the writer reads the stream
from the end that it had before the append. A record found there settles the append. A
record not found is appended again under the same sequences: if the first append is
written later, its sequences are not larger than those already seen, and every reader
drops it. Since both may have been written, the offset after a second append is always
taken from reading back, and the first occurrence counts.

An append cancelled before it was sent is known to be absent. Once it was sent, its
outcome is unknown until a later record of the same writer is in the stream without it.
"""

import enum
from collections import OrderedDict
from dataclasses import dataclass

from .appendmessages import (
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
from .backoff import Backoff
from .record import Envelope, RecordError, decode_record, encode_record
from .reducer import reduce

__all__ = ["StreamWriter"]

#: Minimum seconds between two appends to one stream.
COMMIT_INTERVAL_S = 0.02
#: Maximum bytes of one append, unless a single record is larger.
MAX_COMMIT_BYTES = 256 << 10
#: Maximum bytes of one record; larger ones are rejected.
MAX_RECORD_BYTES = 1 << 20
#: Maximum number of records queued for an append.
MAX_WAITING_RECORDS = 10_000
#: Seconds after which the end of the stream is queried again before an append, so that
#: the records from there on are still retained when a reply is lost.
TAIL_MAX_AGE_S = 20.0


class AppendPhase(enum.Enum):
    """What a `StreamWriter` is waiting for."""

    IDLE = "idle"
    TIMER = "timer"
    TAIL = "tail"
    APPEND = "append"
    BACK_READ = "back read"


@dataclass(slots=True, frozen=True)
class WaitingRecord:
    """An envelope whose caller awaits the result, with its encoded size."""

    envelope: Envelope
    size: int


class StreamWriter:
    """State of appending to one stream.

    Parameters
    ----------
    incarnation : int
        Of the process; no two writers share one.
    rng : random.Random
    """

    __slots__ = (
        "attempt",
        "backoff",
        "commit_by_token",
        "incarnation",
        "is_uncertain",
        "lookup_from",
        "phase",
        "replied_offset",
        "sent_s",
        "sequence",
        "tail",
        "tail_s",
        "waiting_by_token",
    )

    def __init__(self, incarnation, rng):
        self.incarnation = incarnation
        self.backoff = Backoff(rng)
        self.phase = AppendPhase.IDLE
        self.sequence = 0
        self.attempt = 0
        self.waiting_by_token = OrderedDict()
        self.sent_s = -COMMIT_INTERVAL_S
        #: Lower bound of the stream's end, and when it was obtained.
        self.tail = None
        self.tail_s = 0.0
        self._clear()

    def _clear(self):
        self.commit_by_token = {}
        #: True once an attempt of this commit may have been written.
        self.is_uncertain = False
        self.lookup_from = None
        self.replied_offset = None

    def fill_commit(self):
        """Move waiting records into the commit, up to its size limit."""
        size = 0
        while self.waiting_by_token:
            token, waiting = self.waiting_by_token.popitem(last=False)
            size += waiting.size
            if self.commit_by_token and size > MAX_COMMIT_BYTES:
                self.waiting_by_token[token] = waiting
                self.waiting_by_token.move_to_end(token, last=False)
                break
            self.commit_by_token[token] = waiting

    def is_commit_unsent(self):
        """Tell whether no byte of the commit can have reached the log."""
        return not self.is_uncertain and self.phase is not AppendPhase.APPEND

    def find(self, records):
        """Return the offset of the first of ``records`` that holds the commit."""
        sequence = next(iter(self.commit_by_token.values())).envelope.sequence
        for record in records:
            try:
                envelopes = decode_record(record.data)
            except RecordError:
                continue
            for envelope in envelopes:
                if (envelope.writer, envelope.sequence) == (self.incarnation, sequence):
                    return record.offset
        return None

    def schedule(self, now_s):
        """Return the effects that start the next commit, if records wait."""
        self.phase = AppendPhase.IDLE
        if not self.waiting_by_token:
            return []
        self.phase = AppendPhase.TIMER
        return [CommitTimerStarted(max(0.0, self.sent_s + COMMIT_INTERVAL_S - now_s))]

    def retry_later(self):
        """Return the effects that retry after a jittered delay."""
        self.phase = AppendPhase.TIMER
        return [CommitTimerStarted(self.backoff.next_delay_s())]

    def locate_or_send(self, now_s):
        """Return the effects that send the commit once the stream's end is known."""
        self.attempt += 1
        if self.tail is None or now_s - self.tail_s > TAIL_MAX_AGE_S:
            self.phase = AppendPhase.TAIL
            return [TailRequested(self.attempt)]
        return self.send(now_s)

    def send(self, now_s):
        """Return the effects that send the commit now."""
        self.phase = AppendPhase.APPEND
        self.attempt += 1
        self.sent_s = now_s
        if not self.is_uncertain:
            self.lookup_from = self.tail
        data = encode_record(w.envelope for w in self.commit_by_token.values())
        return [AppendSent(self.attempt, data)]

    def read_back(self):
        """Return the effects that look for the commit in the stream."""
        self.phase = AppendPhase.BACK_READ
        self.attempt += 1
        return [BackReadSent(self.attempt, self.lookup_from)]

    def settle(self, offset, now_s):
        """Return the effects that complete the commit, written at ``offset``."""
        effects = [AppendSettled(token, offset) for token in self.commit_by_token]
        self.backoff.reset()
        if self.tail is None or offset >= self.tail:
            self.tail = offset + 1
            self.tail_s = now_s
        self._clear()
        return effects + self.schedule(now_s)

    def drop(self, is_absent, detail, now_s):
        """Return the effects that abandon the commit."""
        tokens = self.commit_by_token
        effects = [AppendDropped(token, is_absent, detail) for token in tokens]
        self._clear()
        self.tail = None
        return effects + self.schedule(now_s)


@reduce.register
def _(event: AppendRequested, state):
    if len(state.waiting_by_token) >= MAX_WAITING_RECORDS:
        return [AppendDropped(event.token, True, "too many appends wait")]
    envelope = Envelope(state.incarnation, state.sequence + 1, event.record)
    size = len(encode_record((envelope,)))
    if size > MAX_RECORD_BYTES:
        return [AppendDropped(event.token, True, f"{size} bytes are too many")]
    state.sequence += 1
    state.waiting_by_token[event.token] = WaitingRecord(envelope, size)
    return state.schedule(event.now_s) if state.phase is AppendPhase.IDLE else []


@reduce.register
def _(event: AppendCancelled, state):
    if state.waiting_by_token.pop(event.token, None) is not None:
        return [AppendDropped(event.token, True, "cancelled before it was sent")]
    if state.commit_by_token.pop(event.token, None) is None:
        return []
    is_absent = state.is_commit_unsent()
    effects = [AppendDropped(event.token, is_absent, "cancelled")]
    if not state.commit_by_token and state.phase is not AppendPhase.TIMER:
        state.attempt += 1
        effects += state.drop(is_absent, "cancelled", event.now_s)
    return effects


@reduce.register
def _(event: CommitDue, state):
    if not state.commit_by_token:
        state._clear()
        state.fill_commit()
    if not state.commit_by_token:
        return state.schedule(event.now_s)
    if state.is_uncertain:
        return state.read_back()
    return state.locate_or_send(event.now_s)


@reduce.register
def _(event: TailLocated, state):
    if event.attempt != state.attempt:
        return []
    state.tail = event.extent.next
    state.tail_s = event.now_s
    return state.send(event.now_s)


@reduce.register
def _(event: AppendReplied, state):
    if event.attempt != state.attempt:
        return []
    if not state.is_uncertain:
        return state.settle(event.extent.first, event.now_s)
    state.replied_offset = event.extent.first
    return state.read_back()


@reduce.register
def _(event: AppendFailed, state):
    if event.attempt != state.attempt:
        return []
    if event.failure is AppendFailure.REJECTED:
        return state.drop(not state.is_uncertain, "the log rejects it", event.now_s)
    if event.failure is AppendFailure.UNCERTAIN:
        state.is_uncertain = True
    return state.retry_later()


@reduce.register
def _(event: BackReadReplied, state):
    if event.attempt != state.attempt:
        return []
    offset = state.find(event.reply.records)
    if offset is not None:
        return state.settle(offset, event.now_s)
    if event.reply.records:
        state.lookup_from = event.reply.records[-1].offset + 1
    if state.lookup_from < event.reply.extent.next:
        return state.read_back()
    if state.replied_offset is not None and state.lookup_from <= state.replied_offset:
        return state.retry_later()
    return state.send(event.now_s)


@reduce.register
def _(event: BackReadFailed, state):
    return state.retry_later() if event.attempt == state.attempt else []


@reduce.register
def _(event: BackReadTruncated, state):
    if event.attempt != state.attempt:
        return []
    return state.drop(False, "the records around it have expired", event.now_s)
