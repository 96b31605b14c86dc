"""TCP relay that can cut, silence or delay connections."""

import asyncio

__all__ = ["Relay"]

CHUNK_BYTES = 65_536


class Connection:
    """One relayed connection, which forwards bytes unless it is silent."""

    __slots__ = ("is_silent", "writers")

    def __init__(self, writers):
        self.is_silent = False
        self.writers = writers


class Relay:
    """TCP relay; `standins.relay` describes its modes."""

    def __init__(self, target):
        self.host, _, port = target.rpartition(":")
        self.port = int(port)
        self.mode = "pass"
        #: Delay of all bytes.
        self.delay_s = 0.0
        self.connections = set()

    async def accept(self, reader, writer):
        if self.mode == "cut":
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(
                self.host, self.port
            )
        except OSError:
            writer.transport.abort()
            return
        connection = Connection((writer, target_writer))
        self.connections.add(connection)
        await asyncio.gather(
            self._copy(connection, reader, target_writer, is_reply=False),
            self._copy(connection, target_reader, writer, is_reply=True),
        )
        self.connections.discard(connection)

    async def _copy(self, connection, reader, writer, is_reply):
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                is_dropped = is_reply and self.mode == "forward-only"
                if not connection.is_silent and not is_dropped:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass
        if not connection.is_silent:
            writer.close()

    def apply(self, mode):
        """Set the mode and apply it to the open connections."""
        self.mode = mode
        for connection in list(self.connections):
            if self.mode == "silence":
                connection.is_silent = True
            if self.mode == "cut":
                for writer in connection.writers:
                    writer.transport.abort()
