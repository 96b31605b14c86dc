import random

import hypothesis.strategies as st
import pytest
from hypothesis import given, settings

from dotterelspread.log import Extent, LoggedRecord, ReadReply
from dotterelspread.record import Envelope, encode_record
from dotterelspread.reducer import reduce
from dotterelspread.stream import (
    MAX_WRITERS,
    READ_WAIT_S,
    FollowStarted,
    ReadReplied,
    ReadRetryDue,
    ReadSent,
    StreamReader,
    WriterSequences,
)
from tests.builders_log import a_record

VALID = st.builds(
    lambda writer, sequence: encode_record((Envelope(writer, sequence, a_record()),)),
    st.integers(0, 3),
    st.integers(0, 5),
)


def a_reader(position=0, sequences=None):
    return StreamReader("s", position, random.Random(1), sequences)


@settings(derandomize=True, deadline=None)
@given(st.lists(st.binary(max_size=40) | VALID, max_size=30), st.integers(0, 30))
def test_invalid_records_are_skipped_identically_after_a_restart(datas, split):
    records = [LoggedRecord(offset, data) for offset, data in enumerate(datas)]
    whole = a_reader()
    entries = whole.take(records)
    first = a_reader()
    head = first.take(records[:split])
    items = first.sequences.to_items()
    second = a_reader(first.position, WriterSequences(items))
    assert head + second.take(records[split:]) == entries
    assert first.malformed + second.malformed == whole.malformed
    assert whole.position == len(datas)


def test_the_number_of_tracked_writers_is_bounded():
    sequences = WriterSequences()
    for writer in range(MAX_WRITERS + 10):
        assert sequences.accept(writer, 1)
    assert len(sequences.to_items()) == MAX_WRITERS
    assert not sequences.accept(MAX_WRITERS + 9, 1)


def test_caught_up_time_is_the_latest_that_the_reply_proves():
    reader = a_reader()
    more = ReadReply(Extent(0, 2), (LoggedRecord(0, b""),))
    (delivered, _) = reduce(ReadReplied(5.0, 4.0, more), reader)
    assert delivered.batch.caught_up_s is None
    last = ReadReply(Extent(0, 2), (LoggedRecord(1, b""),))
    (delivered, _) = reduce(ReadReplied(6.0, 5.0, last), reader)
    assert delivered.batch.caught_up_s == 5.0
    (delivered, _) = reduce(ReadReplied(8.1, 6.0, ReadReply(Extent(0, 2), ())), reader)
    assert 7.9 < delivered.batch.caught_up_s <= 8.0


@pytest.mark.parametrize("event", [FollowStarted(4.0), ReadRetryDue(4.0)])
def test_a_first_read_is_answered_at_once_and_proves_no_later_time(event):
    # A follower of an idle stream would know late that it has read all. A slow reply to
    # a read without wait must not count as if the log had waited: leases rely on it.
    reader = a_reader()
    assert reduce(event, reader) == [ReadSent(0, 0.0)]
    slow = ReadReplied(4.0 + 2 * READ_WAIT_S, 4.0, ReadReply(Extent(0, 0), ()))
    (delivered, following) = reduce(slow, reader)
    assert delivered.batch.caught_up_s == 4.0
    assert following == ReadSent(0, READ_WAIT_S)
