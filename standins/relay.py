"""Stand-in network path: relays TCP and can be cut, or keep connections silent.

Run it with ``python -m standins.relay --port 9101 --target 127.0.0.1:9001
--control_port 9102``. ``POST /mode`` with ``{"mode": MODE}`` sets one of

``pass``
    everything passes; connections that went silent stay so.
``silence``
    connections open now pass nothing more, ever; new connections work.
``forward-only``
    bytes to the target pass, bytes back do not.
``cut``
    all connections are closed and new ones refused.
"""

import asyncio

from absl import app, flags
from aiohttp import web

FLAGS = flags.FLAGS
flags.DEFINE_integer("port", 9101, "Port to listen on.")
flags.DEFINE_string("target", "127.0.0.1:9001", "Where connections are relayed to.")
flags.DEFINE_integer("control_port", 9102, "Port of the control endpoint.")

CHUNK_BYTES = 65_536


class Connection:
    """One relayed connection and whether it still passes bytes."""

    __slots__ = ("is_silent", "writers")

    def __init__(self, writers):
        self.is_silent = False
        self.writers = writers


class Relay:
    """Relays connections in the mode that is set."""

    def __init__(self, target):
        self.host, _, port = target.rpartition(":")
        self.port = int(port)
        self.mode = "pass"
        #: Seconds by which all bytes are late.
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
            self._copy(connection, reader, target_writer, is_back=False),
            self._copy(connection, target_reader, writer, is_back=True),
        )
        self.connections.discard(connection)

    async def _copy(self, connection, reader, writer, is_back):
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                is_dropped = is_back and self.mode == "forward-only"
                if not connection.is_silent and not is_dropped:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass
        if not connection.is_silent:
            writer.close()

    async def set_mode(self, request):
        self.apply((await request.json())["mode"])
        return web.json_response({"mode": self.mode})

    def apply(self, mode):
        """Set the mode, for the connections that are open as well."""
        self.mode = mode
        for connection in list(self.connections):
            if self.mode == "silence":
                connection.is_silent = True
            if self.mode == "cut":
                for writer in connection.writers:
                    writer.transport.abort()


async def serve(relay):
    server = await asyncio.start_server(relay.accept, "127.0.0.1", FLAGS.port)
    application = web.Application()
    application.router.add_post("/mode", relay.set_mode)
    runner = web.AppRunner(application, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", FLAGS.control_port).start()
    async with server:
        await server.serve_forever()


def main(args):
    del args
    asyncio.run(serve(Relay(FLAGS.target)))


if __name__ == "__main__":
    app.run(main)
