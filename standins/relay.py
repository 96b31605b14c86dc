"""Stand-in network path: a TCP relay that can be cut or made to drop all bytes.

Run it with ``python -m standins.relay --port 9101 --target 127.0.0.1:9001
--control_port 9102``. ``POST /mode`` with ``{"mode": MODE}`` sets one of

``pass``
    forwards in both directions; connections that were silenced stay silent.
``silence``
    connections that are open now never forward again; new connections work.
``forward-only``
    forwards bytes to the target and drops bytes in the other direction.
``cut``
    closes all connections and refuses new ones.
"""

import asyncio

from absl import app, flags
from aiohttp import web

from .relaycore import Relay

FLAGS = flags.FLAGS
flags.DEFINE_integer("port", 9101, "Port to listen on.")
flags.DEFINE_string(
    "target", "127.0.0.1:9001", "Address to which connections are relayed."
)
flags.DEFINE_integer("control_port", 9102, "Port of the control endpoint.")


async def serve(relay):
    server = await asyncio.start_server(relay.accept, "127.0.0.1", FLAGS.port)
    application = web.Application()

    async def set_mode(request):
        relay.apply((await request.json())["mode"])
        return web.json_response({"mode": relay.mode})

    application.router.add_post("/mode", set_mode)
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
