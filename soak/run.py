"""One soak run, from the start of its processes to the check of all jobs."""

import asyncio

from .callers import Callers
from .faults import FAULTS, run_faults
from .site import SoakSite

__all__ = ["soak"]

#: Time for the processes to start before the first job is submitted.
STARTUP_S = 3.0


async def soak(folder, seed, seconds, entries, agents, faults=FAULTS):
    """Run one soak and return the violated invariants.

    Parameters
    ----------
    folder : Path
        Where settings and logs are written.
    seed : int
    seconds : float
        Duration of job submission and fault injection.
    entries, agents : int
    faults : sequence of coroutine functions
        Faults to choose from.

    Returns
    -------
    violations : list of str
    summary : str
    """
    site = SoakSite(folder, seed, entries, agents)
    async with site.open():
        await asyncio.sleep(STARTUP_S)
        callers = Callers(site)
        await asyncio.gather(callers.run(seconds), run_faults(site, seconds, faults))
        await callers.check()
    for process in site.processes:
        for code in process.unexpected_exit_codes:
            site.checker.violations.append(
                f"{process.name} exited unexpectedly with code {code}"
            )
    accepted = sum(job.is_accepted for job in callers.jobs_by_id.values())
    summary = f"{accepted} of {len(callers.jobs_by_id)} jobs accepted"
    summary += f", {site.checker.runs} runs, {site.evacuations.count} evacuations"
    latest = f"latest start {site.evacuations.max_start_delay_s:.2f} s after one"
    return site.checker.violations, f"{summary}, {latest}"
