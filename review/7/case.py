"""Case 7: a worker starts again under its id as another kind; it must get no old work.

The only worker of kind ``a`` runs tasks that need that label. It crashes, another such
job is handed in, and it starts again under its id as kind ``b``. Its first heartbeat
follows a little later.
"""

import asyncio
import sys
from pathlib import Path

from review.stage2.deployment import has_trouble, new_job_id, run_case

#: Less than the interval of heartbeats (`HeartbeatMs`, 1.5 s).
FIRST_HEARTBEAT_S = 1.0
DOWN_S = 2.0
RUN_S = 4.0
TASKS = 4


async def play(deployment):
    """Let the worker crash under a job; return what breaks the rule."""
    broken = []
    worker = deployment.workers[0]

    def check(one, task):
        if "a" not in one.shape.labels:
            broken.append(
                f"ROUTE: {task} needs label a and starts on {one.worker_id} with the "
                f"labels {list(one.shape.labels)}, born {one.born_ms}"
            )

    for one in deployment.workers:
        one.plan = lambda task: (RUN_S, "done")
        one.on_start = check
    await asyncio.sleep(3)
    step = {"Count": TASKS, "Cpu": 4000, "MemMb": 1000, "EstimateMs": 4000}
    await deployment.submit(new_job_id(), [step | {"Requirements": "a"}])
    await asyncio.sleep(2)
    if has_trouble():
        worker.crash()
    await deployment.submit(new_job_id(), [step | {"Requirements": "a"}])
    await asyncio.sleep(DOWN_S)
    if has_trouble():
        worker.shape.labels = ("b", "r1")
        worker.first_heartbeat_s = FIRST_HEARTBEAT_S
        await worker.start()
    await asyncio.sleep(10)
    return broken


if __name__ == "__main__":
    kinds = [("a", "r1"), ("b", "r2")]
    sys.exit(run_case(Path(__file__).parent, play, workers=2, labels=kinds))
