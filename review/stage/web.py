"""Minimal HTTP/1.1 server and client of the stand-ins."""

import asyncio
import json
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

__all__ = ["Client", "Request", "call", "encode_json", "serve"]


@dataclass(slots=True)
class Request:
    """A request that was read in full."""

    method: str
    path: str
    query: dict[str, str]
    #: Headers by lower-case name.
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


def encode_json(values):
    """Return the body of a JSON document."""
    return json.dumps(values, separators=(",", ":")).encode()


async def _read_head(reader):
    """Return the first line and the headers of a message, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    pairs = (line.split(":", 1) for line in lines if ":" in line)
    return first, {name.lower(): value.strip() for name, value in pairs}


async def _read_request(reader):
    head = await _read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ", 2)
    parts = urlsplit(target)
    query = {name: values[0] for name, values in parse_qs(parts.query).items()}
    body = await reader.readexactly(int(head[1].get("content-length", 0)))
    return Request(method, parts.path, query, head[1], body)


async def serve(host, port, handle):
    """Return a server that answers each request with ``handle``.

    Parameters
    ----------
    host : str
    port : int
    handle : coroutine function
        Takes a `Request`, returns a status and a body.
    """

    async def accept(reader, writer):
        try:
            while (request := await _read_request(reader)) is not None:
                status, body = await handle(request)
                head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
                head += "Content-Type: application/json\r\n\r\n"
                writer.write(head.encode() + body)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()

    return await asyncio.start_server(accept, host, port, backlog=512)


async def _exchange(reader, writer, host, method, path, body, headers):
    """Make one call on an open connection; the status is 0 if it ends first."""
    lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(body)}"]
    fields = {"Host": host, "Content-Type": "application/json"} | (headers or {})
    lines += [f"{name}: {value}" for name, value in fields.items()]
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
    head = await _read_head(reader)
    if head is None:
        return 0, b""
    length = int(head[1].get("content-length", 0))
    return int(head[0].split(" ")[1]), await reader.readexactly(length)


async def call(address, method, path, body=b"", headers=None, timeout_s=4.0):
    """Make one call on a new connection; return its status and body.

    The status is 0 without a complete answer in time.

    Parameters
    ----------
    address : tuple of (str, int)
    method, path : str
    body : bytes
    headers : dict of str to str, optional
    timeout_s : float
    """
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            return await _exchange(
                reader, writer, address[0], method, path, body, headers
            )
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()


class Client:
    """Client that keeps its connection open between calls.

    Parameters
    ----------
    address : tuple of (str, int)
    """

    def __init__(self, address):
        self._address = address
        self._streams = None

    async def post(self, path, body, timeout_s):
        """Make a call; return its status, 0 without an answer in time.

        A connection without an answer stays open, as the answer may be late.
        """
        try:
            async with asyncio.timeout(timeout_s):
                if self._streams is None:
                    self._streams = await asyncio.open_connection(*self._address)
                reader, writer = self._streams
                status, _ = await _exchange(
                    reader, writer, self._address[0], "POST", path, body, None
                )
        except TimeoutError:
            return 0
        except (OSError, asyncio.IncompleteReadError):
            status = 0
        if not status:
            self._streams = None
        return status
