import asyncio
import socket
from contextlib import asynccontextmanager

import pytest
import uvicorn

from bench.fleet import spec
from dotterelspread.taskevent import (
    RenewTask,
    StartTask,
    StopTask,
    TaskStarted,
    TaskStopped,
)
from dotterelspread.worker import WorkerError, get_worker_class
from standins.worker import build_app
from standins.workercore import WorkerCore


class Clock:
    now_s = 1000.0

    def __call__(self):
        return self.now_s


@asynccontextmanager
async def served_worker(core, worker_clock, agent_clock):
    with socket.create_server(("127.0.0.1", 0)) as sock:
        app = build_app(core, worker_clock)
        server = uvicorn.Server(uvicorn.Config(app, log_level="error", lifespan="off"))
        serving = asyncio.create_task(server.serve([sock]))
        url = f"http://127.0.0.1:{sock.getsockname()[1]}"
        try:
            async with get_worker_class("http").open(url, agent_clock) as worker:
                yield worker
        finally:
            server.should_exit = True
            await serving


def test_a_task_runs_under_its_lease_and_old_epochs_are_refused():
    asyncio.run(drive_one_task())


async def drive_one_task():
    core, agent_clock, worker_clock = WorkerCore(), Clock(), Clock()
    worker_clock.now_s = 50.0
    start = StartTask("j/0", 7, spec("j/0"), "12.5", 1020.0)
    async with served_worker(core, worker_clock, agent_clock) as worker:
        with pytest.raises(WorkerError):
            await worker.perform(start)
        assert (await worker.report()).usages == ()
        assert await worker.perform(start) == [TaskStarted(1000.0, "j/0", 7)]
        assert core.running_by_id["j/0"].deadline_s == 70.0
        assert await worker.perform(RenewTask("j/0", 7, 1030.0)) == []
        worker_clock.now_s = 60.0
        (usage,) = (await worker.report()).usages
        assert (usage.task_id, usage.epoch) == ("j/0", 7)
        stopped = TaskStopped(1000.0, "j/0", 7, "stopped", "", "22.5")
        assert await worker.perform(StopTask("j/0", 7)) == [stopped]
        assert await worker.perform(start) == [stopped]
        assert (await worker.report()).stopped == (stopped,)
        newer = StartTask("j/0", 9, spec("j/0"), "22.5", 1080.0)
        await worker.perform(newer)
        (refused,) = await worker.perform(start)
        assert refused.outcome == "stopped"
        worker_clock.now_s = 1000.0
        (lapsed,) = (await worker.report()).stopped
        assert (lapsed.epoch, lapsed.outcome) == (9, "completed")
