"""Case 7: two jobs that can never be done must not keep the others from being done.

They are gangs for whose tasks the workers have no room together. Some small jobs of
several steps are accepted just before them.
"""

import asyncio
import sys
from pathlib import Path

from review.stage2.deployment import has_trouble, new_job_id, run_case

WORKERS = 11
#: The workers have room for 7,040 of the tasks together.
GANG_TASKS = 8_000
GANG_CPU = 50
#: Time for the first tasks of the small jobs to start.
START_S = 0.4
#: Retries of a client, by the site's sheet.
RETRIES = 4
#: With the two gangs, 40 jobs in all: 5 % of them can never be done.
SMALL_JOBS = 38
GANGS = 2
SMALL_STEPS = 8
FINISH_S = 14.0
#: Longest time for which a job may have nothing running, and how long it is watched.
IDLE_S = 3.0
WATCH_S = 12.0


async def _hand_in(deployment, steps):
    """Hand one job in, and again after no answer, as the site's clients do."""
    target = f"/q0/{new_job_id()}"
    for _ in range(1 + RETRIES):
        status, _ = await deployment.ask("POST", target, {"Spec": "", "Steps": steps})
        if status not in (0, 502, 504):
            return


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
        await asyncio.sleep(0.25)
    return longest_s


async def play(deployment):
    """Hand the jobs in; return what breaks the rule."""
    for worker in deployment.workers:
        worker.plan = lambda task: (1.0, "done")
    await asyncio.sleep(4)
    small = {"Count": 1, "Cpu": 500, "MemMb": 500, "EstimateMs": 1000}
    steps = [
        small | ({"DependsOn": [number - 1]} if number else {})
        for number in range(SMALL_STEPS)
    ]
    job_ids = [new_job_id() for _ in range(SMALL_JOBS)]
    await asyncio.gather(*(deployment.submit(job_id, steps) for job_id in job_ids))
    await asyncio.sleep(START_S)
    if has_trouble():
        gang = {"Count": GANG_TASKS, "Cpu": GANG_CPU, "MemMb": 1, "EstimateMs": 1000}
        for _ in range(GANGS):
            await _hand_in(deployment, [gang | {"Gang": True}])
    await asyncio.sleep(FINISH_S)
    idle = await asyncio.gather(
        *(_longest_idle_s(deployment, job_id) for job_id in job_ids)
    )
    return [
        f"LOST: {job_id} is not complete and had nothing running for {idle_s:.1f} s, "
        f"with all workers idle"
        for job_id, idle_s in zip(job_ids, idle, strict=True)
        if idle_s > IDLE_S
    ]


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play, workers=WORKERS))
