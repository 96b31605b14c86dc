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
    are_bound : bool
        Whether they all need the answers of this entry, the successor, to grant leases
        for longer than `CONFIRMED_GRANT_S`.
    waived_addresses : iterable of str
        Peer addresses of entries whose answers some of them do not need.
    """

    __slots__ = ("_are_all_known", "_are_bound", "addresses", "waived_addresses")

    def __init__(
        self, addresses=(), are_all_known=True, are_bound=False, waived_addresses=()
    ):
        self.addresses = set(addresses)
        self._are_all_known = are_all_known
        self._are_bound = are_bound
        self.waived_addresses = frozenset(waived_addresses)

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
            Leaders that have sent notices to this process; they rely on its answers.
        """
        if record is None:
            return cls(are_all_known=is_first)
        addresses = {record.peer_address, *(record.earlier_addresses or ())}
        addresses -= {own_address}
        waived = record.waived_addresses
        is_needed = waived is not None and own_address not in waived
        return cls(
            addresses,
            record.earlier_addresses is not None,
            is_needed and addresses <= set(heard_addresses),
            waived or (),
        )

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
        self._forget_waivers()
        return True

    def end_all(self):
        """Record that all earlier leaders have ended."""
        self.addresses.clear()
        self._are_all_known = True
        self._forget_waivers()

    def _forget_waivers(self):
        if self.have_all_ended:
            self.waived_addresses = frozenset()
