"""Overhead of the path through an entry and an agent, with real processes on loopback.

Compares calls through the system with direct calls to the backend server in one run:
added latency, processor time per request, idle processor use and memory per process.
"""

import asyncio
import statistics
import time
from pathlib import Path

import aiohttp

from standins.demo import AGENTS, ENTRIES, start
from standins.site import open_site

CLOCK_TICKS_PER_S = 100
SEQUENTIAL_CALLS = 400
CONCURRENT_CALLERS = 16
CONCURRENT_CALLS = 4000
IDLE_DURATION_S = 10.0


def cpu_s(site, name):
    """Return the processor seconds that a process has used."""
    pid = site.processes_by_name[name].pid
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def resident_mb(site, name):
    """Return the resident memory of a process in mebibytes."""
    pid = site.processes_by_name[name].pid
    text = Path(f"/proc/{pid}/status").read_text()
    line = next(row for row in text.splitlines() if row.startswith("VmRSS"))
    return int(line.split()[1]) / 1024


async def measure(url, headers, count, concurrency):
    """Return the sorted latencies in milliseconds and the calls per second."""
    times = []
    async with aiohttp.ClientSession() as session:

        async def caller():
            for _ in range(count // concurrency):
                start_s = time.perf_counter()
                async with session.post(url, data=b"x", headers=headers) as response:
                    await response.read()
                    if response.status != 200:
                        raise SystemExit(f"{url}: status {response.status}")
                times.append((time.perf_counter() - start_s) * 1000)

        start_s = time.perf_counter()
        await asyncio.gather(*(caller() for _ in range(concurrency)))
        seconds = time.perf_counter() - start_s
    return sorted(times), len(times) / seconds


def percentile(times, part):
    return times[int(part * (len(times) - 1))]


def print_paths(site):
    entry = site.url("entry-1") + "/v1/services/dispatch/x"
    direct = site.url("agent-1.backend") + "/x"
    plain = {"X-Service-Time": "0"}
    routed = plain | {"Dotterelspread-Kind": "price-visit"}
    print(f"{'path':<10}{'at once':>8}{'p50 ms':>9}{'p99 ms':>9}{'calls/s':>9}")
    for concurrency, count in (
        (1, SEQUENTIAL_CALLS),
        (CONCURRENT_CALLERS, CONCURRENT_CALLS),
    ):
        before = [cpu_s(site, name) for name in ENTRIES + AGENTS]
        for name, url, headers in (
            ("direct", direct, plain),
            ("routed", entry, routed),
        ):
            times, rate = asyncio.run(measure(url, headers, count, concurrency))
            p50, p99 = percentile(times, 0.5), percentile(times, 0.99)
            print(f"{name:<10}{concurrency:>8}{p50:>9.2f}{p99:>9.2f}{rate:>9.0f}")
        after = [cpu_s(site, name) for name in ENTRIES + AGENTS]
        used = [b - a for a, b in zip(before, after, strict=True)]
        entry_ms = used[0] / count * 1000
        agents_ms = sum(used[len(ENTRIES) :]) / count * 1000
        print(f"  processor ms a request: entry {entry_ms:.2f}, agents {agents_ms:.2f}")


def print_idle(site):
    names = ENTRIES + AGENTS
    before = {name: cpu_s(site, name) for name in names}
    time.sleep(IDLE_DURATION_S)
    shares = [(cpu_s(site, n) - before[n]) / IDLE_DURATION_S * 100 for n in names]
    memory = [resident_mb(site, name) for name in names]
    print(f"idle: {statistics.median(shares):.2f} % of a core (median of processes)")
    print(f"memory: {max(memory):.0f} MB resident (largest)")


def main(args):
    """Print the overhead of the path and the idle costs."""
    del args
    with open_site() as site:
        start(site)
        print_paths(site)
        print_idle(site)


if __name__ == "__main__":
    main(None)
