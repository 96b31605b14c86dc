"""Tasks run twice when a worker leaves while it is partitioned from control."""

import asyncio
import json
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from stage.deployment import main  # noqa: E402

PREFIX = "/lohu930/"
JOB_ID = "5c0e7a21d94b36f8"
#: Tasks of the job, and the work of each.
COUNT = 20
WORK_MS = 30_000
#: Time from the start of the job until a worker drains, and from then until it is
#: partitioned.
CALM_S = 2.0
DRAINING_S = 1.0
#: Length of the partition.
CUT_S = 5.0
#: Time until which the runs are watched, and the interval.
END_S = 30.0
POLL_S = 0.02


async def _watch_twice(deployment, twice):
    """Record the tasks that run on two workers at once, until cancelled."""
    while True:
        holders = {}
        for worker in deployment.workers:
            if worker.is_up:
                for task, run in worker.running.items():
                    holders.setdefault(task, []).append((worker.worker_id, run.run))
        for task, runs in holders.items():
            if len(runs) > 1 and task not in twice:
                twice[task] = runs
                deployment.note(f"{task} runs twice: {runs}")
        await asyncio.sleep(POLL_S)


async def play(deployment, is_disrupted):
    """Return whether a task ran on two workers at the same time."""
    steps = [{"Count": COUNT, "Cpu": 500, "MemMb": 64, "EstimateMs": WORK_MS}]
    job = {"Spec": json.dumps({"work_ms": WORK_MS}), "Steps": steps}
    if await deployment.submit(PREFIX + JOB_ID, job) != 200:
        raise RuntimeError("the job was not accepted")
    twice = {}
    end_s = time.monotonic() + END_S
    watching = asyncio.ensure_future(_watch_twice(deployment, twice))
    await asyncio.sleep(CALM_S)
    busiest = max(
        range(len(deployment.workers)), key=lambda n: len(deployment.workers[n].running)
    )
    deployment.workers[busiest].drain()
    await asyncio.sleep(DRAINING_S)
    if is_disrupted:
        deployment.note("bytes from the machines to the worker are lost")
        deployment.relays[busiest].cut(requests=True, replies=False)
        deployment.control_relays[busiest].cut(requests=False, replies=True)
        await asyncio.sleep(CUT_S)
        deployment.relays[busiest].heal()
        deployment.control_relays[busiest].heal()
        deployment.note("the partition has ended")
    await asyncio.sleep(max(0.0, end_s - time.monotonic()))
    watching.cancel()
    deployment.note(f"tasks that ran twice at the same time: {len(twice)}")
    return bool(twice)


if __name__ == "__main__":
    main(FOLDER, play, prefixes=[PREFIX], agents=5)
