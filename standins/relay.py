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

from .relaycore import Relay

FLAGS = flags.FLAGS
flags.DEFINE_integer("port", 9101, "Port to listen on.")
flags.DEFINE_string("target", "127.0.0.1:9001", "Where connections are relayed to.")
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
