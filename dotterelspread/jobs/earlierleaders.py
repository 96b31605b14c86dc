"""Earlier leaders of a cell that may still grant leases.

A leader that cannot reach the store goes on granting leases for a while. Its successor
may start the runs of an agent that it cannot reach elsewhere only when such leases have
expired. It knows the last of them sooner if each earlier leader has replied that its
term is over.
"""

__all__ = ["EarlierLeaders"]


class EarlierLeaders:
    """Earlier leaders that are not known to have ended their terms.

    Parameters
    ----------
    addresses : iterable of str
        Peer addresses of their processes.
    are_all_known : bool
        Whether there are no others.
    """

    __slots__ = ("_are_all_known", "addresses")

    def __init__(self, addresses=(), are_all_known=True):
        self.addresses = set(addresses)
        self._are_all_known = are_all_known

    @classmethod
    def from_record(cls, record, own_address, is_first=False):
        """Return the earlier leaders of a new term in the process at ``own_address``.

        Parameters
        ----------
        record : LeaderRecord or None
            Record of the latest term; None if there is none that can be read.
        own_address : str
            A process begins a term only when its own earlier ones have ended.
        is_first : bool
            Whether there is no record.
        """
        if record is None:
            return cls(are_all_known=is_first)
        addresses = {record.peer_address, *(record.earlier_addresses or ())}
        return cls(addresses - {own_address}, record.earlier_addresses is not None)

    def to_record(self):
        """Return `LeaderRecord.earlier_addresses`."""
        return sorted(self.addresses) if self._are_all_known else None

    @property
    def have_all_ended(self):
        """Whether no earlier leader can grant a lease any more."""
        return self._are_all_known and not self.addresses

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
