"""Demo: a site on loopback serves requests and a job, and the outcomes are checked.

Exits with 1 if an outcome is lost, duplicated or wrong.
"""

import asyncio
import json
import statistics
import sys
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

import aiohttp

from standins.site import Location, get, open_site, post

KUMASI = Location("kumasi", "ashanti", "cell.0")
TAKORADI = Location("takoradi", "western", "cell.1")
ENTRIES = ("entry-1", "entry-2")
AGENTS = ("agent-1", "agent-2", "agent-3")
REQUEST_COUNT = 600
MAX_CONCURRENT_REQUESTS = 12
KINDS = ("fault-call", "price-visit", "book-visit", "renew-contract")
KEYED_KINDS = {"book-visit", "renew-contract"}
#: A keyed request is repeated through the other entry if its number is a multiple.
REPEAT_INTERVAL = 5
JOB_TIMEOUT_S = 60.0


@dataclass(slots=True)
class Observation:
    """Reply to one request, as the caller received it."""

    kind: str
    key: str
    body: bytes
    status: int
    answer: bytes
    seconds: float
    executed: str


def read_example():
    return Path(__file__).parent.parent.joinpath("examples/akwaaba.yaml").read_text()


def start(site):
    site.start_entry("entry-1", KUMASI, ["cell.0", "cell.1"])
    site.start_entry("entry-2", TAKORADI, ["cell.0", "cell.1"])
    site.start_agent("agent-1", KUMASI)
    site.start_agent("agent-2", KUMASI)
    site.start_agent("agent-3", TAKORADI)
    for name in ENTRIES:
        site.wait_for(name, "/healthz")
    publish = {"base_version": -1, "author": "demo", "text": read_example()}
    published = post(site.url("entry-1") + "/v1/operator/configuration", publish)
    if published["result"] != "accepted":
        raise SystemExit(f"configuration: {published}")
    site.wait_ready(*ENTRIES, *AGENTS)
    for name in ENTRIES:
        site.wait_for_agents(name, AGENTS)


async def call(session, url, kind, key, body):
    headers = {"Dotterelspread-Kind": kind}
    if key:
        headers["Idempotency-Key"] = key
    started = time.perf_counter()
    target = f"{url}/v1/services/dispatch/tickets"
    async with session.post(target, data=body, headers=headers) as response:
        answer = await response.read()
        seconds = time.perf_counter() - started
        executed = ""
        if response.content_type == "application/problem+json":
            executed = json.loads(answer)["executed"]
        return Observation(kind, key, body, response.status, answer, seconds, executed)


async def send_requests(urls):
    limit = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)
    async with aiohttp.ClientSession() as session:

        async def request(number):
            kind = KINDS[number % len(KINDS)]
            key = f"key-{number}" if kind in KEYED_KINDS else ""
            body = f"request {number}".encode()
            async with limit:
                observations = [await call(session, urls[number % 2], kind, key, body)]
                if key and number % REPEAT_INTERVAL == 0:
                    other = urls[(number + 1) % 2]
                    observations.append(await call(session, other, kind, key, body))
            return observations

        groups = await asyncio.gather(
            *(request(number) for number in range(REQUEST_COUNT))
        )
    return [observation for group in groups for observation in group]


def run_job(site):
    declared = {"cores": 2, "memory": "1GiB", "run_time": "2s", "count": 6}
    task = {"program": "sleep", "arguments": ["2"]} | declared
    job = {"team": "pump-analysis", "tasks": [task]}
    job_id = post(site.url("entry-1") + "/v1/jobs", job)["job_id"]
    until_s = time.monotonic() + JOB_TIMEOUT_S
    while time.monotonic() < until_s:
        try:
            tasks = get(f"{site.url('entry-2')}/v1/jobs/{job_id}")["tasks"]
        except OSError:
            tasks = []
        if tasks and all(task["state"] == "completed" for task in tasks):
            return [task["task_id"] for task in tasks]
        time.sleep(0.2)
    raise SystemExit(f"job {job_id} did not complete in time: {tasks}")


def find_faults(observations, runs):
    """Return the faults of the replies, compared with the executed requests."""
    faults = []
    runs_by_key = Counter(run["key"] for run in runs if run["key"])
    for key, count in runs_by_key.items():
        if count > 1:
            faults.append(f"{key} was run {count} times")
    answers_by_key = {}
    for observation in observations:
        if observation.status == 200 and not observation.answer.endswith(
            b":" + observation.body
        ):
            faults.append(f"reply of another request: {observation.answer[:80]!r}")
        if observation.status == 200 and observation.key:
            answers_by_key.setdefault(observation.key, set()).add(observation.answer)
        if (
            observation.executed == "no"
            and runs_by_key[observation.key]
            and observation.key
        ):
            faults.append(
                f"{observation.key} was refused as not executed, but was executed"
            )
        if observation.status != 200 and not observation.executed:
            faults.append(
                f"status {observation.status} without an outcome: "
                f"{observation.answer[:80]}"
            )
    for key, answers in answers_by_key.items():
        if len(answers) > 1:
            faults.append(f"{key}: repeated requests got different replies")
    return faults


def find_task_faults(task_runs, task_ids):
    """Return a fault for each task of a job that did not run exactly once."""
    counts = Counter(run["task_id"] for run in task_runs)
    return [
        f"task {task_id} ran {counts[task_id]} times"
        for task_id in task_ids
        if counts[task_id] != 1
    ]


def print_outcomes(observations):
    print(f"{'kind':<16}{'completed':>10}{'refused':>9}{'unknown':>9}", end="")
    print(f"{'p50 ms':>9}{'p99 ms':>9}")
    for kind in KINDS:
        mine = [observation for observation in observations if observation.kind == kind]
        times = sorted(
            observation.seconds * 1000
            for observation in mine
            if observation.status == 200
        )
        p99 = times[int(len(times) * 0.99)] if times else float("nan")
        p50 = statistics.median(times) if times else float("nan")
        print(
            f"{kind:<16}{len(times):>10}"
            f"{sum(observation.executed == 'no' for observation in mine):>9}"
            f"{sum(observation.executed == 'unknown' for observation in mine):>9}"
            f"{p50:>9.1f}{p99:>9.1f}"
        )


def main():
    with open_site() as site:
        start(site)
        urls = [site.url(name) for name in ENTRIES]
        observations = asyncio.run(send_requests(urls))
        task_ids = run_job(site)
        runs = []
        task_runs = []
        for name in AGENTS:
            runs += get(site.url(f"{name}.backend") + "/history")["runs"]
            task_runs += get(site.url(f"{name}.worker") + "/v1/history")
        codes = site.stop(*AGENTS) | site.stop(*ENTRIES)
    faults = find_faults(observations, runs) + find_task_faults(task_runs, task_ids)
    faults += [f"{n} exited with {code}" for n, code in codes.items() if code]
    print_outcomes(observations)
    print(f"job: {len(task_ids)} tasks completed")
    for fault in faults:
        print(f"fault: {fault}")
    if not any(observation.status == 200 for observation in observations):
        faults.append("no request was completed")
    print("all outcomes correct" if not faults else f"{len(faults)} faults")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
