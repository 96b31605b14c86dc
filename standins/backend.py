"""Stand-in backend server with a configurable service time and a request history.

Run it with ``python -m standins.backend --port 9001``. ``POST /control`` takes a JSON
object with any of ``service_time_s``, ``cut_share`` (ratio of truncated responses) and
``fail_share`` (ratio of status 500). ``GET /history`` lists the executed requests.
"""

import asyncio
import random
import time

from absl import app, flags
from aiohttp import web

FLAGS = flags.FLAGS
flags.DEFINE_integer("port", 9001, "Port to listen on.")
flags.DEFINE_float("service_time_s", 0.005, "Mean service time of a request.")
flags.DEFINE_integer("seed", 1, "Seed of the service times.")


class BackendServer:
    """Simulates the execution of requests by waiting, and records each one."""

    def __init__(self, service_time_s, seed):
        self.settings = {
            "service_time_s": service_time_s,
            "cut_share": 0.0,
            "fail_share": 0.0,
        }
        self.random = random.Random(seed)
        self.history = []
        self.running = 0
        self.most_running = 0

    async def run(self, request):
        body = await request.read()
        run = {
            "request_id": request.headers.get("X-Request-Id", ""),
            "key": request.headers.get("Idempotency-Key", ""),
            "path": request.path,
            "started": time.time(),
            "finished": None,
        }
        self.history.append(run)
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        try:
            await asyncio.sleep(self._service_time(request))
        finally:
            self.running -= 1
        run["finished"] = time.time()
        return await self._answer(request, run, body)

    def _service_time(self, request):
        asked = request.headers.get("X-Service-Time")
        if asked is not None:
            return float(asked)
        return self.random.expovariate(1.0) * self.settings["service_time_s"]

    async def _answer(self, request, run, body):
        draw = self.random.random()
        if draw < self.settings["fail_share"]:
            return web.Response(status=500, body=b"failed")
        answer = f"{run['request_id']}:".encode() + body
        if draw < self.settings["fail_share"] + self.settings["cut_share"]:
            response = web.StreamResponse(headers={"Content-Length": str(len(answer))})
            await response.prepare(request)
            await response.write(answer[: len(answer) // 2])
            request.transport.abort()
            return response
        return web.Response(body=answer)

    async def control(self, request):
        self.settings.update(await request.json())
        return web.json_response(self.settings)

    async def read_history(self, request):
        return web.json_response(
            {"runs": self.history, "most_running": self.most_running}
        )


def make_app(server):
    application = web.Application(client_max_size=16 * 1024 * 1024)
    application.router.add_post("/control", server.control)
    application.router.add_get("/history", server.read_history)
    application.router.add_get("/healthz", lambda _: _ok())
    application.router.add_route("*", "/{path:.*}", server.run)
    return application


async def _ok():
    return web.Response(text="ok")


def main(args):
    del args
    server = BackendServer(FLAGS.service_time_s, FLAGS.seed)
    web.run_app(
        make_app(server), host="127.0.0.1", port=FLAGS.port, print=None, access_log=None
    )


if __name__ == "__main__":
    app.run(main)
