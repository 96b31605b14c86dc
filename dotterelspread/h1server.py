"""Minimal HTTP/1.1 server for processes that are billed by memory use.

`H1Listener` limits what all connections of an address hold together; `h1connection` and
`h1reader` limit each one.
"""

import asyncio
import contextlib
import itertools
from dataclasses import dataclass, field

from .bytebudget import ByteShare, make_unlimited_share
from .h1connection import H1Connection
from .h1messages import H1Limits, H1Request, H1Response
from .listening import create_server
from .shedding import Holding, choose_shed
from .shedlog import ShedLog

__all__ = [
    "H1Limits",
    "H1Listener",
    "H1Quota",
    "H1Request",
    "H1Response",
    "listen_h1",
]

#: Age from which an unfinished request may be refused to make room for a connection.
MIN_EVICTION_AGE_S = 1.0
#: Part of a share that is freed at once when it is exceeded, so that the connections
#: are not compared again for each read.
SHED_MARGIN_DIVISOR = 64


@dataclass(slots=True)
class H1Quota:
    """Limits on all connections of a listener together."""

    share: ByteShare = field(default_factory=make_unlimited_share)
    max_connections: int = 1 << 30
    #: Most connections that are accepted in one iteration of the event loop. Those that
    #: are closed to make room stay open for some iterations more.
    max_accepted: int = 32


class H1Listener:
    """The connections of one listening address.

    Parameters
    ----------
    handler : coroutine function
        Takes an `H1Request`, returns an `H1Response`.
    limits : H1Limits
    quota : H1Quota
    shed_log : ShedLog, optional
    """

    #: Class of the protocol of a connection.
    connection_class = H1Connection

    __slots__ = (
        "_counts_by_address",
        "_idle",
        "_lingering",
        "_loop",
        "_max_connections",
        "_numbers",
        "_shed_log",
        "_silent",
        "_unfinished",
        "_unread",
        "connections",
        "handler",
        "is_closing",
        "limits",
        "server",
        "share",
    )

    def __init__(self, handler, limits, quota, shed_log=None):
        self.handler = handler
        self.limits = limits
        self.share = quota.share
        self._max_connections = quota.max_connections
        self.connections = set()
        self.is_closing = False
        self.server = None
        self._counts_by_address = {}
        self._numbers = itertools.count()
        self._shed_log = shed_log or ShedLog()
        self._loop = asyncio.get_running_loop()
        # Connections by state, in order of the time at which they entered it: refused,
        # without any request so far, idle after a request, with a response that the
        # peer does not read, and with an unfinished request. For the last two the time
        # is the value.
        self._lingering = {}
        self._silent = {}
        self._idle = {}
        self._unread = {}
        self._unfinished = {}

    def make_connection(self):
        """Return the protocol of a new connection."""
        return self.connection_class(self, next(self._numbers))

    def admit(self, connection):
        """Register a connection.

        Returns
        -------
        (int, str) or None
            Status and reason with which the connection has to be refused.
        """
        self.connections.add(connection)
        max_per_address = self.limits.max_connections_per_address
        if max_per_address:
            peer = connection.transport.get_extra_info("peername") or ("",)
            address = peer[0]
            count = self._counts_by_address.get(address, 0)
            if count >= max_per_address:
                self.count_shed("address")
                return 429, "address"
            self._counts_by_address[address] = count + 1
            connection.address = address
        if len(self.connections) > self._max_connections and not self._make_room():
            self.count_shed("connections")
            return 503, "connections"
        self._enter(self._silent, connection)
        return None

    def remove(self, connection):
        """Forget a connection that is closed."""
        self.connections.discard(connection)
        self.note_complete(connection)
        address = connection.address
        if address is not None:
            count = self._counts_by_address.pop(address) - 1
            if count:
                self._counts_by_address[address] = count

    def note_unfinished(self, connection):
        """Note that part of a request was read."""
        if connection.group is not self._unfinished:
            self._enter(self._unfinished, connection)

    def note_complete(self, connection):
        """Note that a request was read in full, or that the connection is given up."""
        if connection.group is not None:
            connection.group.pop(connection, None)
            connection.group = None

    def note_unread(self, connection):
        """Note that the peer does not read a response."""
        self._enter(self._unread, connection)

    def note_idle(self, connection):
        """Note that a connection waits for another request."""
        if connection.group is not None:
            connection.group.pop(connection, None)
        connection.group = self._idle
        self._idle[connection] = None

    def _enter(self, group, connection):
        if connection.group is not None:
            connection.group.pop(connection, None)
        connection.group = group
        group[connection] = self._loop.time()

    def note_lingering(self, connection):
        """Note that a connection is given up and will soon be closed."""
        self._enter(self._lingering, connection)

    def count_shed(self, reason):
        """Count a connection that is given up."""
        self._shed_log.add(reason)

    def shed(self):
        """Give up unfinished requests until the share is no longer exceeded."""
        connections = itertools.chain(self._unfinished, self._unread)
        connections_by_number = {c.number: c for c in connections}
        holdings = [
            Holding(number, connection.sheddable_bytes)
            for number, connection in connections_by_number.items()
        ]
        margin_bytes = self.share.max_bytes // SHED_MARGIN_DIVISOR
        for holding in choose_shed(holdings, self.share.excess_bytes + margin_bytes):
            connections_by_number[holding.number].shed()

    def _make_room(self):
        """Close the connection that is least in use; return whether there is one."""
        for connections in (self._lingering, self._silent, self._idle):
            if connections:
                next(iter(connections)).evict()
                return True
        latest_s = self._loop.time() - MIN_EVICTION_AGE_S
        for connections in (self._unread, self._unfinished):
            for connection, since_s in connections.items():
                if since_s > latest_s:
                    break
                # What follows a request in progress keeps its connection.
                if not connection.is_in_progress:
                    connection.evict()
                    return True
        return False

    async def drain(self, timeout_s):
        """Stop listening, answer the requests already read, and close connections.

        Returns
        -------
        int
            Requests that were still in progress after ``timeout_s``.
        """
        self.is_closing = True
        self.server.close()
        deadline_s = asyncio.get_running_loop().time() + timeout_s
        for connection in list(self.connections):
            connection.close_if_idle()
        while self.connections:
            if asyncio.get_running_loop().time() > deadline_s:
                break
            await asyncio.sleep(0.02)
        return sum(connection.is_in_progress for connection in self.connections)

    def abort(self):
        """Abort all connections."""
        for connection in list(self.connections):
            connection.transport.abort()


@contextlib.asynccontextmanager
async def listen_h1(address, handler, limits=None, quota=None):
    """Serve ``handler`` at ``address`` while the context is open.

    Parameters
    ----------
    address : str
        ``host:port``.
    handler : coroutine function
        Takes an `H1Request`, returns an `H1Response`.
    limits : H1Limits, optional
    quota : H1Quota, optional
        Without it, connections and memory are not limited.

    Raises
    ------
    OSError
        When the address cannot be bound.
    """
    host, _, port = address.rpartition(":")
    quota = quota or H1Quota()
    listener = H1Listener(handler, limits or H1Limits(), quota)
    listener.server = await create_server(
        listener.make_connection, host, int(port), quota.max_accepted
    )
    try:
        yield listener
    finally:
        listener.server.close()
        listener.abort()
