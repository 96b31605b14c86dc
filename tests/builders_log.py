"""Builders of records, and a log on virtual time whose replies a test controls."""

from dataclasses import dataclass

from dotterelspread.log import Extent, LoggedRecord, ReadReply, TruncatedError
from dotterelspread.record import InstanceLeft

INCARNATION = 7


def a_record(number=0):
    return InstanceLeft(f"i{number}", number)


@dataclass(eq=False)
class AppendCall:
    """An append in flight; a test writes and answers it in any order."""

    writer_id: int
    attempt: int
    data: bytes
    extent: Extent | None = None
    is_answered: bool = False


class VirtualLog:
    """One stream: all records ever written, and the range still retained."""

    def __init__(self):
        self.written = []
        self.first = 0
        #: Records already visible to readers.
        self.visible = 0

    @property
    def extent(self):
        return Extent(self.first, self.visible)

    def show(self, hidden=0):
        self.visible = max(self.visible, len(self.written) - hidden)

    def append(self, data):
        self.written.append(LoggedRecord(len(self.written), data))
        return Extent(len(self.written) - 1, len(self.written))

    def read(self, from_offset, count):
        if from_offset < self.first:
            raise TruncatedError(self.first)
        until = min(self.visible, from_offset + count)
        return ReadReply(self.extent, tuple(self.written[from_offset:until]))
