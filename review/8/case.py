"""Case 8: lasting tasks that fail at each start must not keep batch work from running.

Two lasting jobs of six tasks each fail 0.3 s after each start. Small batch jobs are
handed in after them; there is room for all.
"""

import asyncio
import sys
from pathlib import Path

from review.stage2.deployment import has_trouble, new_job_id, run_case

WORKERS = 11
LASTING_JOBS = 2
LASTING_TASKS = 6
LASTING_CPU = 6400
FAIL_AFTER_S = 0.3
#: With the two lasting jobs, 40 in all: 5 % of them fail.
BATCH_JOBS = 38
BATCH_INTERVAL_S = 0.5
FINISH_S = 14.0
#: Longest time for which a job may have nothing running, and how long it is watched.
IDLE_S = 3.0
WATCH_S = 10.0


async def _longest_idle_s(deployment, job_id):
    """Return the longest time for which nothing of a job ran; 0 if it completes."""
    longest_s, since_s = 0.0, deployment.now_s
    end_s = deployment.now_s + WATCH_S
    while deployment.now_s < end_s:
        if await deployment.state(job_id) == "complete":
            return 0.0
        running = [task for worker in deployment.workers for task in worker.running]
        if any(task.startswith(job_id) for task in running):
            since_s = deployment.now_s
        longest_s = max(longest_s, deployment.now_s - since_s)
        await asyncio.sleep(0.5)
    return longest_s


async def play(deployment):
    """Hand the jobs in; return what breaks the rule."""
    lasting_ids = [new_job_id() for _ in range(LASTING_JOBS)]

    def plan(task):
        if task.split(".")[0] not in lasting_ids:
            return 1.0, "done"
        return (FAIL_AFTER_S, "failed") if has_trouble() else (1000.0, "done")

    for worker in deployment.workers:
        worker.plan = plan
    await asyncio.sleep(3)
    lasting = {"Count": LASTING_TASKS, "Cpu": LASTING_CPU, "MemMb": 13_000}
    steps = [lasting | {"EstimateMs": 400, "LongRunning": True}]
    for job_id in lasting_ids:
        await deployment.submit(job_id, steps)
    batch = {"Count": 2, "Cpu": 500, "MemMb": 500, "EstimateMs": 1000}
    batch_ids = []
    for _ in range(BATCH_JOBS):
        await asyncio.sleep(BATCH_INTERVAL_S)
        batch_ids.append(new_job_id())
        await deployment.submit(batch_ids[-1], [batch])
    await asyncio.sleep(FINISH_S)
    idle = await asyncio.gather(
        *(_longest_idle_s(deployment, job_id) for job_id in batch_ids)
    )
    return [
        f"LOST: {job_id} is not complete and had nothing running for {idle_s:.1f} s"
        for job_id, idle_s in zip(batch_ids, idle, strict=True)
        if idle_s > IDLE_S
    ]


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play, workers=WORKERS))
