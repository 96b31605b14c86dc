"""Small HTTP/1.1 server and client on asyncio, of the standard library only."""

import asyncio
import json

__all__ = ["Lost", "Request", "call", "encode_json", "serve"]

MAX_HEAD_BYTES = 65_536


class Lost(Exception):
    """A call got no complete reply."""


class Request:
    """One request as read from a connection."""

    def __init__(self, method, target, headers, body, reader):
        self._reader = reader
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    @property
    def is_given_up(self):
        """Whether the caller has closed the connection."""
        return self._reader.at_eof() or self._reader.exception() is not None

    def json(self):
        """Return the body as JSON; an empty one is an empty object."""
        return json.loads(self.body or b"{}")


def encode_json(status, values):
    """Return a status and a JSON body."""
    return status, json.dumps(values).encode()


async def _read_message(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return first, headers, body


async def serve(host, port, handle):
    """Serve ``handle(request)``, which returns ``(status, body)`` or None.

    With None the request stays without an answer, and so does its connection.
    """
    writers = set()

    async def accept(reader, writer):
        writers.add(writer)
        try:
            while True:
                first, headers, body = await _read_message(reader)
                method, target, _ = first.split(" ", 2)
                reply = await handle(Request(method, target, headers, body, reader))
                if reply is None:
                    await reader.read()
                    return
                status, data = reply
                head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(data)}\r\n"
                head += "Content-Type: application/json\r\n\r\n"
                writer.write(head.encode() + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:
            # The script ends.
            return
        finally:
            writers.discard(writer)
            writer.close()

    server = await asyncio.start_server(accept, host, port, limit=1 << 23)
    # Those of a process that crashes end with it.
    server.writers = writers
    return server


async def call(address, method, path, body=b"", headers=None, timeout_s=4.0):
    """Make a call on a connection of its own; return its status and body.

    Raises
    ------
    Lost
    """
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f"{method} {path} HTTP/1.1"]
            named = {"Host": address, **(headers or {})}
            named["Content-Length"] = str(len(body))
            lines += [f"{name}: {value}" for name, value in named.items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            first, _, data = await _read_message(reader)
            return int(first.split(" ")[1]), data
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        raise Lost(f"{method} {path}: {type(error).__name__}") from error
    finally:
        if writer is not None:
            writer.close()
