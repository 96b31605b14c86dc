"""Small HTTP/1.1 server and client on asyncio streams, for stand-ins only."""

import asyncio
import json
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

__all__ = ["Request", "Server", "call", "json_reply"]

#: Longest head or body that is read.
MAX_BYTES = 64 * 1024 * 1024


@dataclass(slots=True)
class Request:
    """A request that was read in full."""

    method: str
    path: str
    query: dict
    headers: dict
    body: bytes = b""

    def json(self):
        """Return the JSON document in the body."""
        return json.loads(self.body)


@dataclass(slots=True)
class Server:
    """Server of one address; it can stop like a process that is killed.

    Parameters
    ----------
    host : str
    port : int
    handler : coroutine function
        Takes a `Request`; returns a status and a body, or None to answer nothing.
    """

    host: str
    port: int
    handler: object
    _server: object = None
    _writers: set = field(default_factory=set)

    async def start(self):
        """Listen at the address."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=MAX_BYTES, backlog=1000
        )

    def kill(self):
        """Stop listening and reset all connections, as the end of a process does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                request = await _read_request(reader)
                reply = await self.handler(request)
                if reply is None:
                    # Never answered; the caller times out.
                    await asyncio.sleep(3600)
                    return
                status, body = reply
                writer.write(_encode_reply(status, body))
                await writer.drain()
        except (OSError, EOFError, ValueError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


def json_reply(status, values):
    """Return a reply with a JSON body."""
    return status, json.dumps(values, separators=(",", ":")).encode()


def _encode_reply(status, body):
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
    return f"{head}Content-Type: application/json\r\n\r\n".encode() + body


async def _read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def _read_request(reader):
    first, headers = await _read_head(reader)
    method, target, _ = first.split(" ", 2)
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    parts = urlsplit(target)
    query = {name: values[0] for name, values in parse_qs(parts.query).items()}
    return Request(method, parts.path, query, headers, body)


async def call(address, method, target, body=b"", headers=None, timeout_s=3.0):
    """Make a call on a connection of its own; return the status and the body.

    Raises
    ------
    OSError
        There was no whole answer; a timeout is one too.
    """
    host, _, port = address.rpartition(":")
    lines = [f"{method} {target} HTTP/1.1", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    data = "\r\n".join([*lines, "", ""]).encode("latin-1") + body
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, int(port), limit=MAX_BYTES)
        try:
            writer.write(data)
            first, reply_headers = await _read_head(reader)
            length = int(reply_headers.get("content-length", 0))
            return int(first.split(" ")[1]), await reader.readexactly(length)
        except (EOFError, ValueError) as error:
            raise OSError(f"no whole answer: {error}") from error
        finally:
            writer.transport.abort()
