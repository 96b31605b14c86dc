import random

from dotterelspread.appending import StreamWriter
from dotterelspread.appendmessages import (
    AppendCancelled,
    AppendDropped,
    AppendRequested,
    AppendSent,
    CommitDue,
    TailLocated,
)
from dotterelspread.log import Extent
from dotterelspread.reducer import reduce
from tests.builders_log import INCARNATION, a_record


def test_an_append_given_up_after_it_is_sent_is_unknown():
    writer = StreamWriter(INCARNATION, random.Random(1))
    reduce(AppendRequested(0.0, 1, a_record()), writer)
    (located,) = reduce(CommitDue(0.0), writer)
    (sent,) = reduce(TailLocated(0.0, located.attempt, Extent(0, 0)), writer)
    assert isinstance(sent, AppendSent)
    (dropped,) = reduce(AppendCancelled(0.1, 1), writer)
    assert dropped == AppendDropped(1, False, "cancelled")
