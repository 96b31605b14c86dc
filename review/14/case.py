"""Jobs whose starts got no answer are left out of the pending jobs of their queue."""

import asyncio
import sys
from pathlib import Path

from standins3.site import Site, run_case

RACKS = ("r0", "r0", "r1", "r1", "r2", "r2")
CUT_S = 12.0
JOBS = 6
#: `visible_ms` and two seconds more, as the rule says.
COUNTED_AFTER_S = 5.0


def make_job(seconds):
    """Return a job of one task that needs the rack that is cut off."""
    step = {"Count": 1, "Cpu": 500, "MemMb": 256, "EstimateMs": int(seconds * 1000)}
    return {"Spec": f"done {seconds}", "Steps": [step | {"Requirements": "r0"}]}


async def submit(site, number):
    """Submit a job; return its id and when it was accepted, or None if it was not."""
    job_id = f"{number:016x}"
    status, _ = await site.request("POST", f"/small/{job_id}", make_job(0.3))
    return (job_id, site.now_s()) if status == 200 else None


async def scenario(site, has_trouble):
    """Return how the rule was broken."""
    # Work just before, so that the agents have open connections to their workers.
    await asyncio.gather(*(submit(site, 100 + n) for n in range(8)))
    await asyncio.sleep(1.5)
    cut = [worker for worker in site.workers if worker.rack == "r0"]
    for worker in cut if has_trouble else ():
        worker.is_cut_off = True
    site.note(f"cut off: {[w.worker_id for w in cut if w.is_cut_off]}")
    cut_end_s = site.now_s() + CUT_S
    answers = await asyncio.gather(*(submit(site, 200 + n) for n in range(JOBS)))
    accepted = dict(answer for answer in answers if answer)
    broken = []
    while site.now_s() < cut_end_s - 0.5:
        await asyncio.sleep(0.5)
        asked_s = site.now_s()
        status, answer = await site.request("GET", "/small/")
        begun = {task.split(".")[0] for _, _, task, _ in site.starts}
        waiting = [
            job_id
            for job_id, accepted_s in accepted.items()
            if job_id not in begun and asked_s - accepted_s > COUNTED_AFTER_S
        ]
        if status == 200 and answer["Pending"] < len(waiting) / 2:
            text = f"{site.now_s():.3f} Pending {answer['Pending']}"
            broken.append(f"{text}, though {len(waiting)} jobs have not begun")
    for worker in cut:
        worker.is_cut_off = False
    site.note("the cut has ended")
    await asyncio.sleep(3.0)
    return broken


if __name__ == "__main__":
    folder = Path(__file__).parent
    sys.exit(run_case(folder, lambda: Site(2, RACKS), scenario))
