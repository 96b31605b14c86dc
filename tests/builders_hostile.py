"""Clients that do not respect limits, and readings of the processes they connect to."""

import asyncio
import contextlib
import os
import socket

__all__ = [
    "HostileCrowd",
    "chunked_head",
    "count_descriptors",
    "make_chunks",
    "read_memory_mb",
    "watch_memory",
]

#: Time between two readings of a process's memory.
READING_INTERVAL_S = 0.05
#: Readings above this multiple of the bound end an attack early, so that a failing test
#: does not exhaust the machine's memory.
ABANDON_RATIO = 4


class HostileCrowd:
    """Raw connections to one address whose responses are read by nobody.

    Parameters
    ----------
    address : str
        ``host:port``.
    """

    def __init__(self, address):
        host, _, port = address.rpartition(":")
        self._address = (host, int(port))
        self._tasks = []
        #: Open sockets, in the order in which they were connected.
        self.sockets = []
        #: Bytes sent so far by each client that has sent any.
        self.sent_bytes_by_socket = {}

    def start(self, count, behaviour):
        """Start ``count`` clients; ``behaviour`` takes the crowd and a socket."""
        for _ in range(count):
            self._tasks.append(asyncio.ensure_future(self._run(behaviour)))

    async def wait(self):
        """Wait until every client has ended its behaviour or lost its connection."""
        await asyncio.gather(*self._tasks)

    async def _run(self, behaviour):
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        self.sockets.append(sock)
        # A refused or closed connection is a valid reaction to these clients.
        with contextlib.suppress(OSError):
            await asyncio.get_running_loop().sock_connect(sock, self._address)
            await behaviour(self, sock)

    async def send(self, sock, data):
        """Send ``data``, waiting while the server does not read it."""
        await asyncio.get_running_loop().sock_sendall(sock, data)
        sent_bytes = self.sent_bytes_by_socket.get(sock, 0)
        self.sent_bytes_by_socket[sock] = sent_bytes + len(data)

    async def send_endlessly(self, sock, data):
        """Repeat ``data`` until the connection is closed."""
        while True:
            await self.send(sock, data)

    async def is_closed_by_server(self, sock):
        """Return whether the server has closed the connection."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(READING_INTERVAL_S):
                while await loop.sock_recv(sock, 65_536):
                    pass
        except TimeoutError:
            return False
        except OSError:
            return True
        return True

    async def close(self):
        """Stop all clients and close their connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for sock in self.sockets:
            sock.close()


def chunked_head(path):
    """Return the head of a request with a chunked body."""
    lines = (f"POST {path} HTTP/1.1", "Host: nony24.example", "X-Deadline-Ms: 3000")
    return "\r\n".join((*lines, "Transfer-Encoding: chunked", "", "")).encode()


def make_chunks(chunk_bytes, total_bytes):
    """Return a body of chunks that lacks its last chunk."""
    chunk = b"%x\r\n%s\r\n" % (chunk_bytes, b"x" * chunk_bytes)
    return chunk * (total_bytes // chunk_bytes)


def read_memory_mb(pid, name="VmHWM"):
    """Return a memory figure of a process, by default its peak resident size."""
    with open(f"/proc/{pid}/status") as file:
        for line in file:
            if line.startswith(name + ":"):
                return int(line.split()[1]) / 1024
    raise ProcessLookupError(f"{pid}: no {name}")


def count_descriptors(pid):
    """Return the number of open file descriptors of a process."""
    return len(os.listdir(f"/proc/{pid}/fd"))


async def watch_memory(process, bound_mb, duration_s):
    """Wait for a while, or until the process is far above its bound or has ended."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + duration_s
    while loop.time() < end_s and process.returncode is None:
        if read_memory_mb(process.pid, "VmRSS") > bound_mb * ABANDON_RATIO:
            return
        await asyncio.sleep(READING_INTERVAL_S)
