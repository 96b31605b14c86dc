"""Listening sockets of the servers that limit their connections."""

import asyncio

__all__ = ["create_server"]

#: Most connections that wait in the kernel to be accepted. All entries connect to a new
#: leader at once, and a connection that finds no place is tried again only after 1 s,
#: which is the timeout of peers for connecting.
BACKLOG = 512


async def create_server(make_protocol, host, port, max_accepted):
    """Return an `asyncio.Server` that accepts connections in bounded steps.

    Parameters
    ----------
    make_protocol : callable
        Returns the protocol of a new connection.
    host : str
    port : int
    max_accepted : int
        Most connections that are accepted in one iteration of the event loop.

    Raises
    ------
    OSError
        When the address cannot be bound.
    """
    loop = asyncio.get_running_loop()
    server = await loop.create_server(make_protocol, host, port, backlog=max_accepted)
    for sock in server.sockets:
        # The event loop accepts as many at once as the backlog that it is given.
        with sock.dup() as duplicate:
            duplicate.listen(BACKLOG)
    return server
