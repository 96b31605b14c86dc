"""A task starts again over a second after its job was shown as complete."""

import asyncio
import sys
from pathlib import Path

from standins3.site import Site, run_case

RACKS = ("r0", "r0", "r1", "r1", "r2", "r2", "r3", "r3")
RUN_S = 1.0
#: From the start of the task to the cut, which it outlasts by some tenths of a second.
CUT_AFTER_S = 0.6
#: Longest cut of the site file.
MAX_CUT_S = 12.0
#: Starts of the next run that get no answer.
UNANSWERED = 2
#: Time for which starts are allowed after the job was shown as complete.
ALLOWED_S = 1.0
JOB_ID = f"{0x11:016x}"
PATH = f"/small/{JOB_ID}"


def make_job():
    """Return a job of one task that only the first two workers may run."""
    step = {"Count": 1, "Cpu": 500, "MemMb": 256, "EstimateMs": int(RUN_S * 1000)}
    return {"Spec": f"done {RUN_S}", "Steps": [step | {"Requirements": "r0"}]}


async def wait_until(is_true, seconds):
    """Wait for a condition; return whether it came true."""
    for _ in range(int(seconds / 0.005)):
        if is_true():
            return True
        await asyncio.sleep(0.005)
    return False


async def watch_state(site):
    """Ask for the job's state until it is complete; return when it was shown."""
    while True:
        status, answer = await site.request("GET", PATH)
        if status == 200 and answer["State"] == "complete":
            return site.now_s()
        await asyncio.sleep(0.02)


async def scenario(site, has_trouble):
    """Return how the rule was broken."""
    pair = site.workers[:2]
    await site.request("POST", PATH, make_job())
    await wait_until(lambda: site.starts, 5.0)
    first = next(worker for worker in pair if worker.running)
    other = next(worker for worker in pair if worker is not first)
    if has_trouble:
        other.leaves_unanswered = lambda body: (
            body["Task"].startswith(JOB_ID) and len(other.unanswered) < UNANSWERED
        )
        await asyncio.sleep(CUT_AFTER_S)
        first.is_cut_off = True
        site.note(f"{first.worker_id} is cut off")
        await wait_until(lambda: other.unanswered, MAX_CUT_S)
        first.is_cut_off = False
        site.note(f"the cut of {first.worker_id} ends")
    async with asyncio.timeout(20.0):
        shown_s = await watch_state(site)
    await asyncio.sleep(6.0)
    return [
        f"{started_s:.3f} {task} run {number} starts on {worker_id}, "
        f"{started_s - shown_s:.2f} s after its job was shown as complete"
        for started_s, worker_id, task, number in site.starts
        if task.startswith(JOB_ID) and started_s > shown_s + ALLOWED_S
    ]


if __name__ == "__main__":
    folder = Path(__file__).parent
    sys.exit(run_case(folder, lambda: Site(3, RACKS), scenario, 60))
