"""TCP relay that can drop the bytes of one or of both directions."""

import asyncio
import contextlib

__all__ = ["Relay"]

CHUNK_BYTES = 65_536


class Relay:
    """Relay to one address; while it is cut, connections stay open and are silent.

    Bytes that come during a cut are lost, and the connections that saw one end with it.
    A connection that is opened during a cut of either kind carries nothing.

    Parameters
    ----------
    target : tuple of (str, int)
    """

    def __init__(self, target):
        self._target = target
        self._drops_requests = False
        self._drops_replies = False
        self._is_down = False
        self._writers = set()

    def cut(self, requests=True, replies=True):
        """Drop the bytes of the side that connects, of the other side, or of both."""
        self._drops_requests = requests
        self._drops_replies = replies

    def go_down(self):
        """Reset all connections, new ones too, as if nobody listened."""
        self._is_down = True
        self._reset()

    def heal(self):
        """Reset the connections that saw the cut; new ones work."""
        self._is_down = False
        self.cut(requests=False, replies=False)
        self._reset()

    def _reset(self):
        for writer in list(self._writers):
            writer.transport.abort()

    async def accept(self, reader, writer):
        """Relay one connection."""
        if self._is_down:
            writer.transport.abort()
            return
        self._writers.add(writer)
        if self._drops_requests or self._drops_replies:
            await self._swallow(reader)
            writer.close()
            self._writers.discard(writer)
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            self._writers.discard(writer)
            return
        self._writers.add(far_writer)
        await asyncio.gather(
            self._copy(reader, far_writer, is_reply=False),
            self._copy(far_reader, writer, is_reply=True),
        )
        self._writers -= {writer, far_writer}

    async def _swallow(self, reader):
        with contextlib.suppress(OSError):
            while await reader.read(CHUNK_BYTES):
                pass

    async def _copy(self, reader, writer, is_reply):
        try:
            while data := await reader.read(CHUNK_BYTES):
                if not (self._drops_replies if is_reply else self._drops_requests):
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass
        writer.close()
