"""Stand-in for the platform's worker, with its HTTP API.

    python -m standins.worker --port 7070

The wire form is in docs/PLATFORM.md.
"""

import time

import msgspec
import uvicorn
from absl import app, flags
from starlette.applications import Starlette
from starlette.responses import Response
from starlette.routing import Route

from .workercore import TaskStart, WorkerCore

__all__ = ["WorkerApp", "build_app"]


class WorkerApp:
    """HTTP handlers that call a `WorkerCore` with the current time."""

    def __init__(self, core, clock):
        self.core = core
        self.clock = clock

    async def act(self, request):
        """Handle a request for an action on a task."""
        self.core.advance(self.clock())
        task_id, action = request.path_params["task_id"], request.path_params["action"]
        handlers = {
            "start": self.start,
            "renew": self.renew,
            "checkpoint": self.checkpoint,
            "throttle": self.throttle,
            "stop": self.stop,
        }
        if action not in handlers:
            return Response(status_code=404)
        ended = handlers[action](task_id, await request.body())
        if ended is None:
            return Response(b'{"outcome":"running"}')
        is_done = action == "stop" or ended.outcome == "running"
        return Response(msgspec.json.encode(ended), 200 if is_done else 409)

    def start(self, task_id, data):
        """Start a task."""
        return self.core.start(task_id, msgspec.json.decode(data, type=TaskStart))

    def renew(self, task_id, data):
        """Extend a task's lease."""
        body = msgspec.json.decode(data)
        return self.core.renew(task_id, body["epoch"], body["deadline_s"])

    def checkpoint(self, task_id, data):
        """Make a checkpoint."""
        return self.core.checkpoint(task_id, msgspec.json.decode(data)["epoch"])

    def throttle(self, task_id, data):
        """Limit a task to a share of its speed."""
        return self.core.throttle(task_id, msgspec.json.decode(data)["share"])

    def stop(self, task_id, data):
        """Checkpoint and stop a task."""
        return self.core.stop(task_id, msgspec.json.decode(data)["epoch"])

    async def report(self, request):
        """Return the running tasks, and those that ended since an earlier report."""
        self.core.advance(self.clock())
        since = int(request.query_params.get("since", 0))
        body = {
            "clock_s": self.core.now_s,
            "running": self.core.usages(),
            "ended": self.core.ended[since:],
            "next": len(self.core.ended),
        }
        return Response(msgspec.json.encode(body))

    async def history(self, request):
        """Return all runs of all tasks."""
        self.core.advance(self.clock())
        return Response(msgspec.json.encode(self.core.history))


def build_app(core, clock=time.monotonic):
    """Return the HTTP application around ``core``."""
    worker = WorkerApp(core, clock)
    routes = [
        Route("/v1/tasks/{task_id:path}/{action}", worker.act, methods=["POST"]),
        Route("/v1/report", worker.report),
        Route("/v1/history", worker.history),
    ]
    return Starlette(routes=routes)


def main(argv):
    """Serve one worker until stopped."""
    values = flags.FLAGS
    core = WorkerCore(lag_s=values.lag_s, now_s=time.monotonic())
    uvicorn.run(build_app(core), host=values.host, port=values.port, log_level="error")


if __name__ == "__main__":
    flags.DEFINE_string("host", "127.0.0.1", "Address to listen on.")
    flags.DEFINE_integer("port", 7070, "Port to listen on.")
    flags.DEFINE_float("lag_s", 5.0, "Delay of usage reports in seconds.")
    app.run(main)
