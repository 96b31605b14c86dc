"""Answers of the entries that may succeed a leader to its notices.

An entry that has claimed a later term answers with its epoch, which ends the term of
the earlier leader. A leader that each entry still answers thus has no successor yet.
"""

from . import clock

__all__ = ["EntryAnswers"]

#: Time for which an answer counts, from the sending of its notice: three notices.
ANSWER_LIFETIME_S = 1.5
#: Silence of an entry after which it may have been removed for good.
MAX_SILENCE_S = 10.0


class EntryAnswers:
    """Latest answers of all entries to the notices of one leader."""

    __slots__ = ("_sent_s_by_address", "_waived_addresses")

    def __init__(self):
        #: When the latest notice that was answered was sent, or the entry became known;
        #: on `clock.elapsed_s`.
        self._sent_s_by_address = {}
        #: Entries whose answers are not needed.
        self._waived_addresses = frozenset()

    def expect(self, address):
        """Begin to need the answers of an entry."""
        self._sent_s_by_address[address] = clock.elapsed_s()

    def observe(self, address, sent_s):
        """Apply the answer to a notice that was sent at ``sent_s``."""
        self._sent_s_by_address[address] = sent_s
        self._waived_addresses -= {address}

    @property
    def are_complete(self):
        """Whether each entry whose answers are needed has answered recently."""
        return not self._silent_addresses(ANSWER_LIFETIME_S) - self._waived_addresses

    @property
    def waivable_addresses(self):
        """Entries that have been silent for long."""
        return self._silent_addresses(MAX_SILENCE_S)

    def waive(self, addresses):
        """Give up the answers of entries, unless they have answered meanwhile.

        The journal must say so before: as a successor, such an entry waits for longer.
        """
        self._waived_addresses = addresses & self.waivable_addresses

    def _silent_addresses(self, silence_s):
        since_s = clock.elapsed_s() - silence_s
        return frozenset(a for a, s in self._sent_s_by_address.items() if s <= since_s)
