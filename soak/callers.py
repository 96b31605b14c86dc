"""Callers of the soak test, and the invariants that they check."""

import asyncio
import json
from dataclasses import dataclass, field

from dotterelspread.h1client import H1Client, H1Error
from dotterelspread.resources import Resources
from tests.builders_fleet import make_job, make_step
from tests.builders_platform import job_document, job_state

from .places import RACKS
from .site import FRONT_PORT

__all__ = ["Callers"]

PREFIX = "/lohu930/"
HEADERS = {"Host": "nony24.example", "X-Deadline-Ms": "3000"}
DEADLINE_S = 3.5
MAX_SUBMIT_INTERVAL_S = 0.5
MAX_ATTEMPTS = 4
#: Ratio of the short jobs that require one rack, so that each data centre has work due.
ONE_RACK_RATIO = 0.3
#: Ratio of the jobs whose tasks outlast each lease.
LONG_JOB_RATIO = 0.2
LONG_RUN_S = 12.0
#: Demand of such a task. It is small, so that workers keep room for the other jobs.
LONG_TASK_DEMAND = Resources(250, 250)
#: Time after the last fault within which all accepted jobs must complete.
COMPLETION_TIMEOUT_S = 40.0
#: Time after the last fault within which a published version must take effect.
PUBLICATION_TIMEOUT_S = 4.0


@dataclass(slots=True)
class _JobView:
    """A job as its caller observes it."""

    statuses: list[int] = field(default_factory=list)
    is_accepted: bool = False
    is_cancelled: bool = False
    state: str = ""


class Callers:
    """Submit jobs during the soak run, and check their outcomes.

    Parameters
    ----------
    site : SoakSite
    """

    def __init__(self, site):
        self.site = site
        self.jobs_by_id = {}
        # Connections stay open until their entry exits.
        self._clients = [H1Client(f"{e.host}:{FRONT_PORT}") for e in site.entries]

    async def run(self, seconds):
        """Submit jobs for the given time."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + seconds
        tasks = []
        while loop.time() < end_s:
            number = len(self.jobs_by_id) + 1
            tasks.append(asyncio.ensure_future(self._run_job(number)))
            await asyncio.sleep(self.site.rng.uniform(0.05, MAX_SUBMIT_INTERVAL_S))
        await asyncio.gather(*tasks)

    async def _run_job(self, number):
        spec = self._make_spec(number)
        self.site.specs[spec.job_id] = spec
        job = self.jobs_by_id[spec.job_id] = _JobView()
        body = json.dumps(job_document(spec)).encode()
        for _ in range(MAX_ATTEMPTS):
            status = await self._call("POST", spec.job_id, body)
            job.statuses.append(status)
            if status == 200:
                job.is_accepted = True
                break
            await asyncio.sleep(0.5)
        if job.is_accepted and self.site.rng.random() < 0.1:
            job.is_cancelled = True
            await self._call("DELETE", spec.job_id)

    def _make_spec(self, number):
        rng = self.site.rng
        if rng.random() < LONG_JOB_RATIO:
            return self._make_long_spec(number)
        label = rng.choice(RACKS) if rng.random() < ONE_RACK_RATIO else ""
        steps = [make_step(count=rng.randint(1, 5), required_label=label)]
        if rng.random() < 0.4:
            steps.append(make_step(count=2, depends_on=(0,), required_label=label))
        if rng.random() < 0.1:
            steps = [make_step(count=3, is_gang=True, required_label=label)]
        spec = make_job(number, steps)
        self.site.durations[spec.job_id] = rng.choice((0.3, 0.6, 2.0))
        return spec

    def _make_long_spec(self, number):
        estimate_ms = int(LONG_RUN_S * 1000)
        step = make_step(
            count=self.site.rng.randint(1, 5),
            demand=LONG_TASK_DEMAND,
            estimate_ms=estimate_ms,
        )
        spec = make_job(number, [step])
        self.site.durations[spec.job_id] = LONG_RUN_S
        return spec

    async def _call(self, method, job_id, body=b""):
        """Return the status of a call, or 0 if there was no complete reply."""
        client = self.site.rng.choice(self._clients)
        path = PREFIX + job_id
        try:
            reply = await client.call(method, path, DEADLINE_S, body, HEADERS)
        except H1Error:
            return 0
        if method == "GET" and reply.status == 200:
            self.jobs_by_id[job_id].state = job_state(reply.body)
        return reply.status

    async def check(self):
        """Check all jobs and the configuration after the last fault has ended."""
        await self._check_configuration()
        loop = asyncio.get_running_loop()
        end_s = loop.time() + COMPLETION_TIMEOUT_S
        open_ids = {j for j, a in self.jobs_by_id.items() if a.is_accepted}
        while open_ids and loop.time() < end_s:
            for job_id in sorted(open_ids):
                await self._check_state(job_id, open_ids)
            await asyncio.sleep(0.3)
        for job_id in sorted(open_ids):
            self._add_violation(
                f"{job_id} is {self.jobs_by_id[job_id].state!r} at the end"
            )
        self._check_refusals()

    async def _check_state(self, job_id, open_ids):
        job = self.jobs_by_id[job_id]
        status = await self._call("GET", job_id)
        if status == 410:
            self._add_violation(f"{job_id} was accepted and is not known")
            open_ids.discard(job_id)
        # A job may fail legitimately because of the `fail_tasks` fault.
        if job.state in ("complete", "cancelled", "failed"):
            open_ids.discard(job_id)
        if job.state == "complete":
            self._check_complete(job_id)
        if job.state == "cancelled" and not job.is_cancelled:
            self._add_violation(f"{job_id} is cancelled, which nobody asked for")

    def _check_complete(self, job_id):
        spec = self.site.specs[job_id]
        for number, step in enumerate(spec.steps):
            done = [
                f"{job_id}.0.{number}.{index}" in self.site.checker.done
                for index in range(step.count)
            ]
            if not (any(done) if step.is_gang else all(done)):
                self._add_violation(f"{job_id} is complete, step {number} is not")

    def _check_refusals(self):
        started = {
            task_id.split(".")[0] for task_id in self.site.checker.worker_ids_by_task_id
        }
        for job_id, job in self.jobs_by_id.items():
            if set(job.statuses) <= {429, 503} and job_id in started:
                self._add_violation(f"{job_id} was refused each time and has run")

    async def _check_configuration(self):
        path = self.site.publish()
        await asyncio.sleep(PUBLICATION_TIMEOUT_S)
        for client in self._clients:
            reply = await client.call("GET", path, DEADLINE_S, headers=HEADERS)
            if reply.status == 404:
                self._add_violation(
                    f"{client.address} has not applied the version of {path}"
                )

    def _add_violation(self, text):
        self.site.checker.violations.append(text)
