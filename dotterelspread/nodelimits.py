"""Division of a process's memory and descriptors among its listeners."""

import resource

from .bytebudget import ByteBudget
from .h1server import H1Quota
from .peer import PeerQuota

__all__ = ["NodeLimits"]

#: Part of the instance's memory that callers may make the process hold. The rest is for
#: the process itself, its state, and the memory of open connections.
BUDGET_RATIO = 0.45
#: Memory and descriptors of an instance whose settings do not state them: the smallest
#: instance, and the usual soft limit.
DEFAULT_MEMORY_MB = 200
DEFAULT_MAX_FDS = 4096
#: Least budget, for a few requests of the greatest size.
MIN_BUDGET_BYTES = 4_194_304
#: Part of the descriptors that is left to the process's own files and its connections
#: to peers, the store and workers.
OWN_FDS_DIVISOR = 4
#: Part that is left to connections that have been accepted, but not yet refused.
ACCEPTED_FDS_DIVISOR = 8
#: Most connections that are accepted at once, as a part of the descriptors.
MAX_ACCEPTED_DIVISOR = 32
MAX_ACCEPTED = 32
#: Parts of the budget and of the connections for each listener of the load balancer and
#: of the operators.
RESERVED_BYTES_DIVISOR = 32
RESERVED_CONNECTIONS_DIVISOR = 16
#: Number of such listeners in a process.
RESERVED_LISTENERS = 2
#: Part of the budget for frames of peers, and of the descriptors for their connections,
#: which are among the process's own.
PEER_BYTES_DIVISOR = 16
PEER_FDS_DIVISOR = 8


class NodeLimits:
    """The byte budget of a process and the quotas of its listeners.

    Parameters
    ----------
    memory_mb : float
        Memory of the instance; 0 if it is not known.
    max_fds : int
        File descriptors of the process; 0 if it is not known.
    """

    __slots__ = (
        "_max_accepted",
        "_max_connections",
        "_peer_connections",
        "budget",
    )

    def __init__(self, memory_mb, max_fds):
        budget_bytes = int((memory_mb or DEFAULT_MEMORY_MB) * 1_000_000 * BUDGET_RATIO)
        self.budget = ByteBudget(max(MIN_BUDGET_BYTES, budget_bytes))
        max_fds = max_fds or DEFAULT_MAX_FDS
        soft_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        if soft_limit != resource.RLIM_INFINITY:
            max_fds = min(max_fds, soft_limit)
        self._max_accepted = max(1, min(MAX_ACCEPTED, max_fds // MAX_ACCEPTED_DIVISOR))
        self._peer_connections = max(1, max_fds // PEER_FDS_DIVISOR)
        left_fds = max_fds // OWN_FDS_DIVISOR + max_fds // ACCEPTED_FDS_DIVISOR
        self._max_connections = max_fds - left_fds

    @property
    def _reserved_connections(self):
        return max(1, self._max_connections // RESERVED_CONNECTIONS_DIVISOR)

    def open_reserved_quota(self):
        """Return the `H1Quota` of a listener of the load balancer or of operators."""
        share = self.budget.open_share(self.budget.max_bytes // RESERVED_BYTES_DIVISOR)
        connections = self._reserved_connections
        return H1Quota(share, connections, self._max_accepted)

    def open_peer_quota(self):
        """Return the `PeerQuota` of the address for peers."""
        share = self.budget.open_share(self.budget.max_bytes // PEER_BYTES_DIVISOR)
        return PeerQuota(share, self._peer_connections, self._max_accepted)

    def open_sole_quota(self, max_connections):
        """Return the `H1Quota` of a process that has one listener.

        Parameters
        ----------
        max_connections : int
            Most connections, also when the descriptors suffice for more.
        """
        max_connections = max(1, min(max_connections, self._max_connections))
        return H1Quota(self.budget.open_rest(), max_connections, self._max_accepted)

    def open_main_quota(self):
        """Return the `H1Quota` of callers or of the worker; it is opened last."""
        connections = self._max_connections
        connections -= RESERVED_LISTENERS * self._reserved_connections
        return H1Quota(self.budget.open_rest(), max(1, connections), self._max_accepted)
