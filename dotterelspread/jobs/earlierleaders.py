"""Earlier leaders of a cell that may still grant leases.

A leader that cannot reach the store goes on granting leases for a while. Its successor
may start the runs of an agent that it cannot reach elsewhere only when such leases have
expired. It knows the last of them sooner if each earlier leader has replied that its
term is over, or grants leases without the store only while this entry answers it.
"""

__all__ = ["CONFIRMED_GRANT_S", "MAX_UNCONFIRMED_GRANT_S", "EarlierLeaders"]

#: Time since the store last confirmed a term for which its leader grants leases in any
#: case: the confirmation interval and the duration of an append.
CONFIRMED_GRANT_S = 2.0
#: Time for which it grants them while each entry answers its notices. It bounds the
#: store outage that runs survive.
MAX_UNCONFIRMED_GRANT_S = 10.0


class EarlierLeaders:
    """Earlier leaders that are not known to have ended their terms.

    Parameters
    ----------
    addresses : iterable of str
        Peer addresses of their processes.
    are_all_known : bool
        Whether there are no others.
    need_answers : bool
        Whether they need the answers of entries to grant leases for longer than
        `CONFIRMED_GRANT_S`.
    are_bound : bool
        Whether that includes the answers of this entry, the successor, or of another
        one that knows of it.
    """

    __slots__ = ("_are_all_known", "_are_bound", "_need_answers", "addresses")

    def __init__(
        self, addresses=(), are_all_known=True, need_answers=False, are_bound=False
    ):
        self.addresses = set(addresses)
        self._are_all_known = are_all_known
        self._need_answers = need_answers
        self._are_bound = need_answers and are_bound

    @classmethod
    def from_record(cls, record, own_address, is_first=False, heard_addresses=()):
        """Return the earlier leaders of a new term in the process at ``own_address``.

        Parameters
        ----------
        record : LeaderRecord or None
            Record of the latest term; None if there is none that can be read.
        own_address : str
            A process begins a term only when its own earlier ones have ended.
        is_first : bool
            Whether there is no record.
        heard_addresses : collection of str
            Leaders that have sent notices to this process; they know it.
        """
        if record is None:
            return cls(are_all_known=is_first)
        addresses = {record.peer_address, *(record.earlier_addresses or ())}
        addresses -= {own_address}
        return cls(
            addresses,
            record.earlier_addresses is not None,
            record.need_answers,
            addresses <= set(heard_addresses),
        )

    @property
    def need_answers(self):
        """Value of `LeaderRecord.need_answers` for the successor."""
        return self.have_all_ended or (self._are_all_known and self._need_answers)

    def bind(self, heard_addresses):
        """Apply which leaders an entry has heard that knows of their successor.

        They need the answers of that entry, which would tell them of the successor.

        Returns
        -------
        bool
            Whether this is the first entry that binds them all.
        """
        is_news = self._need_answers and not self._are_bound
        if not is_news or not self.addresses <= set(heard_addresses):
            return False
        self._are_bound = True
        return True

    def note_own_waiver(self):
        """Record that some of them may not need the answers of this entry."""
        self._are_bound = False

    def to_record(self):
        """Return `LeaderRecord.earlier_addresses`."""
        return sorted(self.addresses) if self._are_all_known else None

    @property
    def have_all_ended(self):
        """Whether no earlier leader can grant a lease any more."""
        return self._are_all_known and not self.addresses

    @property
    def max_grant_s(self):
        """Longest time after the claim of their successor in which they grant leases.

        An answer to a notice of theirs counts for less than `CONFIRMED_GRANT_S`.
        """
        is_short = self._are_all_known and self._are_bound
        return CONFIRMED_GRANT_S if is_short else MAX_UNCONFIRMED_GRANT_S

    def end(self, address):
        """Record that the leader at an address has ended; return False if it had."""
        if address not in self.addresses:
            return False
        self.addresses.remove(address)
        return True

    def end_all(self):
        """Record that all earlier leaders have ended."""
        self.addresses.clear()
        self._are_all_known = True
