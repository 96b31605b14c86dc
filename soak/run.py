"""One soak, from the start of its processes to the check of all jobs."""

import asyncio

from .callers import Callers
from .faults import play_faults
from .site import SoakSite

__all__ = ["soak"]

#: Seconds for the processes to start before the first job.
START_S = 3.0


async def soak(folder, seed, seconds, entries, agents):
    """Run one soak and return what was broken.

    Parameters
    ----------
    folder : Path
        Where settings and logs are written.
    seed : int
    seconds : float
        How long faults begin.
    entries, agents : int

    Returns
    -------
    broken : list of str
    summary : str
    """
    site = SoakSite(folder, seed, entries, agents)
    async with site.open():
        await asyncio.sleep(START_S)
        callers = Callers(site)
        await asyncio.gather(callers.run(seconds), play_faults(site, seconds))
        await callers.check()
    for process in site.processes:
        for code in process.own_ends:
            site.checker.violations.append(
                f"{process.name} ended by itself with {code}"
            )
    accepted = sum(asked.is_accepted for asked in callers.jobs_by_id.values())
    summary = f"{accepted} of {len(callers.jobs_by_id)} jobs accepted"
    return site.checker.violations, f"{summary}, {site.checker.runs} runs"
