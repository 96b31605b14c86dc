"""Jobs that no room, no worker or no time suffices for, beside small ones.

What one job takes from all others is to have a bound: as long as no process or worker
has lately failed, no small job stands still while there is room for it.
"""

import asyncio

from dotterelspread.resources import Resources
from tests.builders_fleet import make_job, make_step

from .callers import Callers
from .site import SoakSite
from .targets import kill_processes

__all__ = ["soak_hopeless"]

#: Longest time for which a small job may have nothing running.
MAX_IDLE_S = 3.0
#: Time since the latest fault after which that holds; until then a leader takes over.
CALM_S = 4.0
#: Minimum and maximum time between two kills of entries.
KILL_INTERVAL_RANGE_S = (6.0, 10.0)
WATCH_INTERVAL_S = 0.1
STARTUP_S = 3.0
SUBMIT_INTERVAL_S = 0.25
MAX_CANCEL_ATTEMPTS = 10
CANCEL_RETRY_S = 0.5
#: Demand of the tasks of large jobs: eight thousand take a few cores.
TINY = Resources(1, 1)
SMALL = Resources(100, 100)
#: More members than the workers of a soak have room for.
GANG_WITHOUT_ROOM = make_step(count=1000, demand=Resources(1000, 100), is_gang=True)
CHAIN = tuple(
    make_step(demand=TINY, depends_on=(number - 1,) if number else ())
    for number in range(1000)
)
#: Steps of each hopeless job, and whether all of its runs fail.
HOPELESS_JOBS = (
    ((GANG_WITHOUT_ROOM,), False),
    ((make_step(count=3, demand=SMALL, is_gang=True),), True),
    ((make_step(count=4, demand=SMALL),), True),
    ((make_step(count=6, demand=SMALL, is_service=True),), True),
    (CHAIN, False),
    ((make_step(count=8000, demand=TINY),), False),
)


class _SmallJobs(Callers):
    """Submits a hopeless job of each kind, then small jobs, and watches these."""

    def __init__(self, site):
        super().__init__(site)
        self._idle_since_s_by_id = {}
        self._fault_s = 0.0
        self.max_idle_s = 0.0

    async def run_beside_hopeless(self, seconds):
        """Submit the jobs, and watch the small ones for the given time."""
        loop = asyncio.get_running_loop()
        hopeless = [
            asyncio.ensure_future(self._run_job(number))
            for number in range(1, 1 + len(HOPELESS_JOBS))
        ]
        await asyncio.gather(*hopeless)
        hopeless_ids = set(self.jobs_by_id)
        watching = asyncio.ensure_future(self._watch(hopeless_ids))
        small = []
        end_s = loop.time() + seconds
        while loop.time() < end_s:
            number = len(self.jobs_by_id) + 1
            small.append(asyncio.ensure_future(self._run_job(number)))
            await asyncio.sleep(SUBMIT_INTERVAL_S)
        await asyncio.gather(*small)
        watching.cancel()
        await asyncio.gather(*map(self._cancel, hopeless_ids))

    async def _cancel(self, job_id):
        """Cancel a job; entries may be down at first."""
        self.jobs_by_id[job_id].is_cancelled = True
        for _ in range(MAX_CANCEL_ATTEMPTS):
            if await self._call("DELETE", job_id) in (200, 410):
                break
            await asyncio.sleep(CANCEL_RETRY_S)

    def _make_spec(self, number):
        if number > len(HOPELESS_JOBS):
            first = make_step(count=self.site.rng.randint(1, 3), demand=SMALL)
            spec = make_job(number, (first, make_step(demand=SMALL, depends_on=(0,))))
            self.site.durations[spec.job_id] = 0.3
            return spec
        steps, fails = HOPELESS_JOBS[number - 1]
        spec = make_job(number, steps)
        self.site.durations[spec.job_id] = 1.0
        if fails:
            self.site.poison.add(spec.job_id)
        return spec

    async def _watch(self, hopeless_ids):
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(WATCH_INTERVAL_S)
            if any(process.has_fault for process in self.site.processes):
                self._fault_s = loop.time()
            running = {
                task_id.split(".")[0]
                for worker in self.site.workers
                for task_id in worker.running
            }
            for job_id in self.jobs_by_id.keys() - hopeless_ids:
                self._watch_job(job_id, job_id in running, loop.time())

    def _watch_job(self, job_id, is_running, now_s):
        is_calm = now_s - self._fault_s > CALM_S
        is_open = self.jobs_by_id[job_id].is_accepted and not self._is_done(job_id)
        if is_running or not is_open or not is_calm:
            self._idle_since_s_by_id[job_id] = now_s
            return
        idle_s = now_s - self._idle_since_s_by_id.setdefault(job_id, now_s)
        if idle_s > MAX_IDLE_S >= self.max_idle_s:
            self._add_violation(f"{job_id} stands still for {idle_s:.1f} s")
        self.max_idle_s = max(self.max_idle_s, idle_s)

    def _is_done(self, job_id):
        job = self.jobs_by_id[job_id]
        if job.is_cancelled:
            return True
        return all(
            f"{job_id}.0.{number}.{index}" in self.site.checker.done
            for number, step in enumerate(self.site.specs[job_id].steps)
            for index in range(step.count)
        )


async def _kill_entries(site, seconds):
    """Kill entries, which are restarted, at random times."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + seconds
    while loop.time() < end_s:
        await asyncio.sleep(site.rng.uniform(*KILL_INTERVAL_RANGE_S))
        count = site.rng.randint(1, len(site.entries))
        site.log_event(f"kill {count} entries")
        await kill_processes(site.rng.sample(site.entries, count))


async def soak_hopeless(folder, seed, seconds, entries, agents):
    """Run one soak with hopeless jobs; see `run.soak`."""
    site = SoakSite(folder, seed, entries, agents)
    async with site.open():
        await asyncio.sleep(STARTUP_S)
        callers = _SmallJobs(site)
        await asyncio.gather(
            callers.run_beside_hopeless(seconds), _kill_entries(site, seconds)
        )
        await callers.check()
    accepted = sum(job.is_accepted for job in callers.jobs_by_id.values())
    summary = f"{accepted} of {len(callers.jobs_by_id)} jobs accepted"
    summary += f", {site.checker.runs} runs"
    return (
        site.checker.violations,
        f"{summary}, small jobs idle for at most {callers.max_idle_s:.2f} s",
    )
