"""The demonstration: a site on loopback serves requests and a job, and is checked.

Exits with 1 when an outcome is lost, doubled or untruthful.
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

from standins.site import Place, get, open_site, post

KUMASI = Place("kumasi", "ashanti", "cell.0")
TAKORADI = Place("takoradi", "western", "cell.1")
ENTRIES = ("entry-1", "entry-2")
AGENTS = ("agent-1", "agent-2", "agent-3")
REQUESTS = 600
AT_ONCE = 12
KINDS = ("fault-call", "price-visit", "book-visit", "renew-contract")
KEYED_KINDS = {"book-visit", "renew-contract"}
#: Of the keyed requests, every so many is repeated through the other entry.
REPEAT_EVERY = 5
JOB_TIMEOUT_S = 60.0


@dataclass(slots=True)
class Seen:
    """What a caller saw of one request."""

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
        return Seen(kind, key, body, response.status, answer, seconds, executed)


async def drive(urls):
    limit = asyncio.Semaphore(AT_ONCE)
    async with aiohttp.ClientSession() as session:

        async def one(number):
            kind = KINDS[number % len(KINDS)]
            key = f"key-{number}" if kind in KEYED_KINDS else ""
            body = f"request {number}".encode()
            async with limit:
                seen = [await call(session, urls[number % 2], kind, key, body)]
                if key and number % REPEAT_EVERY == 0:
                    other = urls[(number + 1) % 2]
                    seen.append(await call(session, other, kind, key, body))
            return seen

        groups = await asyncio.gather(*(one(number) for number in range(REQUESTS)))
    return [seen for group in groups for seen in group]


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
    raise SystemExit(f"job {job_id} has not ended: {tasks}")


def judge(seen, runs):
    """Return what is wrong with the outcomes, compared with what was run."""
    faults = []
    runs_by_key = Counter(run["key"] for run in runs if run["key"])
    for key, count in runs_by_key.items():
        if count > 1:
            faults.append(f"{key} was run {count} times")
    answers_by_key = {}
    for one in seen:
        if one.status == 200 and not one.answer.endswith(b":" + one.body):
            faults.append(f"answer of another request: {one.answer[:80]!r}")
        if one.status == 200 and one.key:
            answers_by_key.setdefault(one.key, set()).add(one.answer)
        if one.executed == "no" and runs_by_key[one.key] and one.key:
            faults.append(f"{one.key} was refused as not run, and ran")
        if one.status != 200 and not one.executed:
            faults.append(f"status {one.status} without an outcome: {one.answer[:80]}")
    for key, answers in answers_by_key.items():
        if len(answers) > 1:
            faults.append(f"{key}: repeats got different answers")
    return faults


def judge_tasks(stretches, task_ids):
    """Return which of a job's tasks did not run exactly once."""
    counts = Counter(stretch["task_id"] for stretch in stretches)
    return [
        f"task {task_id} ran {counts[task_id]} times"
        for task_id in task_ids
        if counts[task_id] != 1
    ]


def print_outcomes(seen):
    print(f"{'kind':<16}{'completed':>10}{'refused':>9}{'unknown':>9}", end="")
    print(f"{'p50 ms':>9}{'p99 ms':>9}")
    for kind in KINDS:
        mine = [one for one in seen if one.kind == kind]
        times = sorted(one.seconds * 1000 for one in mine if one.status == 200)
        p99 = times[int(len(times) * 0.99)] if times else float("nan")
        p50 = statistics.median(times) if times else float("nan")
        print(
            f"{kind:<16}{len(times):>10}"
            f"{sum(one.executed == 'no' for one in mine):>9}"
            f"{sum(one.executed == 'unknown' for one in mine):>9}"
            f"{p50:>9.1f}{p99:>9.1f}"
        )


def main():
    with open_site() as site:
        start(site)
        urls = [site.url(name) for name in ENTRIES]
        seen = asyncio.run(drive(urls))
        task_ids = run_job(site)
        runs = []
        stretches = []
        for name in AGENTS:
            runs += get(site.url(f"{name}.backend") + "/history")["runs"]
            stretches += get(site.url(f"{name}.worker") + "/v1/history")
        codes = site.stop(*AGENTS) | site.stop(*ENTRIES)
    faults = judge(seen, runs) + judge_tasks(stretches, task_ids)
    faults += [f"{n} exited with {code}" for n, code in codes.items() if code]
    print_outcomes(seen)
    print(f"job: {len(task_ids)} tasks completed")
    for fault in faults:
        print(f"fault: {fault}")
    if not any(one.status == 200 for one in seen):
        faults.append("nothing was completed")
    print("all outcomes truthful" if not faults else f"{len(faults)} faults")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
