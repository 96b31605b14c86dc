"""Answers of the entries that may succeed a leader to its notices.

An entry that has claimed a later term, or has heard of one, answers with its epoch,
which ends the term of the earlier leader. A leader that each entry still answers thus
has no successor that any of them knows.

A process that has begun since knows nothing of that. Its answers count once the store
has confirmed the leader after the first of them: there was no successor before.
"""

from . import clock

__all__ = ["ANSWER_LIFETIME_S", "EntryAnswers"]

#: Time for which an answer counts, from the sending of its notice: three notices.
ANSWER_LIFETIME_S = 1.5
#: Silence of an entry after which it may have been removed for good.
MAX_SILENCE_S = 10.0


class EntryAnswers:
    """Latest answers of all entries to the notices of one leader."""

    __slots__ = ("_processes_by_address", "_sent_s_by_address", "_waived_addresses")

    def __init__(self):
        #: When the latest notice that was answered was sent, or the entry became known;
        #: on `clock.elapsed_s`.
        self._sent_s_by_address = {}
        #: Number of the process that answers, and when it answered first.
        self._processes_by_address = {}
        #: Entries whose answers are not needed.
        self._waived_addresses = frozenset()

    def expect(self, address):
        """Begin to need the answers of an entry."""
        self._sent_s_by_address[address] = clock.elapsed_s()

    def observe(self, address, sent_s, process_number=None):
        """Apply the answer to a notice that was sent at ``sent_s``.

        Entries of earlier versions do not tell the number of their process.
        """
        known_number, _ = self._processes_by_address.get(address, (None, 0.0))
        if process_number != known_number:
            answered_s = clock.elapsed_s()
            self._processes_by_address[address] = process_number, answered_s
        self._sent_s_by_address[address] = sent_s
        self._waived_addresses -= {address}

    def are_complete(self, confirmed_s):
        """Tell whether each entry whose answers are needed has answered recently.

        Parameters
        ----------
        confirmed_s : float
            When the store last confirmed the leader, on `clock.elapsed_s`.
        """
        unproven = {
            address
            for address, (_, answered_s) in self._processes_by_address.items()
            if answered_s > confirmed_s
        }
        silent = self._silent_addresses(ANSWER_LIFETIME_S)
        return not (silent | unproven) - self._waived_addresses

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
