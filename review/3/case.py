"""A batch job is shown as failed after its workers were cut off, without a crash."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from stage.deployment import main  # noqa: E402

PREFIX = "/lohu930/"
JOB_ID = "5c0e7a21d94b36f8"
#: Work of the only task of the job; a day of the site has jobs that run longer.
WORK_MS = 60_000
#: Length of each cut, and their number.
CUT_S = 9.0
CUTS = 5
#: Time that the task runs on a worker before this is cut off.
CALM_S = 1.0
#: Longest time until the task runs again.
MOVE_S = 12.0
#: Time until which the job's state is asked for.
END_S = 100.0


def _runner(deployment):
    """Return the number of the worker that runs the task, or None."""
    for number, worker in enumerate(deployment.workers):
        if worker.running:
            return number
    return None


async def _wait_for_run(deployment):
    end_s = time.monotonic() + MOVE_S
    while time.monotonic() < end_s:
        number = _runner(deployment)
        if number is not None:
            return number
        await asyncio.sleep(0.05)
    return None


async def _cut_in_turn(deployment):
    """Cut the worker off that runs the task, several times."""
    for _ in range(CUTS):
        number = await _wait_for_run(deployment)
        if number is None:
            return
        await asyncio.sleep(CALM_S)
        worker = deployment.workers[number]
        deployment.note(f"{worker.worker_id} is cut off and runs on")
        deployment.relays[number].cut()
        await asyncio.sleep(CUT_S)
        deployment.relays[number].heal()
        deployment.note(f"{worker.worker_id} is back")


async def play(deployment, is_disrupted):
    """Return whether the job was shown as failed without a failed run."""
    path = PREFIX + JOB_ID
    steps = [{"Count": 1, "Cpu": 500, "MemMb": 256, "EstimateMs": WORK_MS}]
    steps[0]["Checkpointing"] = True
    spec = f'{{"work_ms":{WORK_MS},"saved_bytes":16}}'
    status = await deployment.submit(path, {"Spec": spec, "Steps": steps})
    if status != 200:
        raise RuntimeError(f"the job was not accepted: {status}")
    end_s = time.monotonic() + END_S
    if is_disrupted:
        await _cut_in_turn(deployment)
    state = ""
    while time.monotonic() < end_s and state not in ("complete", "failed"):
        await asyncio.sleep(1.0)
        state = await deployment.state(path)
    failed = sum(e.how == "failed" for w in deployment.workers for e in w.ends)
    deployment.note(f"state {state}; runs that ended failed: {failed}; crashes: 0")
    return state == "failed" and not failed


if __name__ == "__main__":
    main(FOLDER, play, prefixes=[PREFIX])
