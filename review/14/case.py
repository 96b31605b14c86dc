"""An agent that stood still starts tasks on a worker that has shrunk meanwhile."""

import asyncio
import signal
import sys
from pathlib import Path

from standins3.site import BOUNDS, Site, run_case
from standins3.worker import HEARTBEAT_S

RACKS = ("r0", "r1", "r1", "r2", "r2", "r3", "r3", "r4")
SMALL = {"Cpu": 2000, "MemMb": 8000, "Gpu": 0}
#: The freeze begins after the first heartbeat with the new capacity.
FREEZE_AFTER_S, FREEZE_S = 1.9, 3.5
TASKS, CPU = 8, 1000
#: For how long a room that has shrunk doesn't count: `ContactMs` and one beat.
NOTICE_S = BOUNDS["ContactMs"] / 1000 + HEARTBEAT_S


def make_job():
    """Return a job of tasks that only the first worker may run."""
    step = {"Count": TASKS, "Cpu": CPU, "MemMb": 256, "EstimateMs": 2000}
    return {"Spec": "done 2.0", "Steps": [step | {"Requirements": "r0"}]}


async def wait_for_heartbeat(worker):
    """Return just after the worker has sent a heartbeat."""
    sequence = worker.sequence
    while worker.sequence == sequence:
        await asyncio.sleep(0.005)


async def scenario(site, has_trouble):
    """Return how the rule was broken."""
    worker, agent = site.workers[0], site.agents[0]
    await wait_for_heartbeat(worker)
    worker.capacity = SMALL
    shrunk_s = site.now_s()
    site.note(f"{worker.worker_id} shrinks to {SMALL}")
    await asyncio.sleep(FREEZE_AFTER_S)
    if has_trouble:
        agent.signal(signal.SIGSTOP)
        site.note(f"{agent.name} stands still")
    thaw_s = site.now_s() + FREEZE_S
    await asyncio.sleep(0.05)
    await site.request("POST", f"/small/{0x12:016x}", make_job())
    await asyncio.sleep(thaw_s - site.now_s())
    agent.signal(signal.SIGCONT)
    site.note(f"{agent.name} goes on")
    await asyncio.sleep(4.0)
    broken = []
    for started_s, worker_id, task, _ in site.starts:
        running = {t for s, w, t, _ in site.starts if w == worker_id and s <= started_s}
        running -= {t for s, w, t, *_ in site.ends if w == worker_id and s < started_s}
        used = CPU * len(running)
        if started_s > shrunk_s + NOTICE_S and used > SMALL["Cpu"]:
            late_s = started_s - shrunk_s
            text = (
                f"{started_s:.3f} {task} starts {late_s:.2f} s after the worker shrank"
            )
            broken.append(f"{text} and brings it to {used} of {SMALL['Cpu']}")
    return broken


if __name__ == "__main__":
    folder = Path(__file__).parent
    sys.exit(run_case(folder, lambda: Site(3, RACKS), scenario, 60))
