"""Builders of records, and a log on virtual time whose replies a test decides."""

from dataclasses import dataclass

from dotterelspread.log import Extent, LoggedRecord, ReadReply, TruncatedError
from dotterelspread.record import InstanceLeft

INCARNATION = 7


def a_record(number=0):
    return InstanceLeft(f"i{number}", number)


@dataclass(eq=False)
class AppendCall:
    """An append on its way; a test writes it and answers it in any order."""

    writer_id: int
    attempt: int
    data: bytes
    extent: Extent | None = None
    is_answered: bool = False


class VirtualLog:
    """One stream with all that was ever written, and what of it is still kept."""

    def __init__(self):
        self.written = []
        self.first = 0
        #: Records that readers see already.
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
