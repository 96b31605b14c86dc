"""What the path through an entry and an agent costs, on real processes on loopback.

Compares calls through the system with calls to the backend server directly, in one run:
time added, processor time a request, idle cost and memory of each process.
"""

import asyncio
import statistics
import time
from pathlib import Path

import aiohttp

from standins.demo import AGENTS, ENTRIES, start
from standins.site import open_site

CLOCK_TICKS_S = 100
SEQUENTIAL = 400
AT_ONCE = 16
LOADED = 4000
IDLE_S = 10.0


def processor_s(site, name):
    """Return the processor seconds that a process has used."""
    pid = site.processes_by_name[name].pid
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_S


def resident_mb(site, name):
    """Return the resident memory of a process in mebibytes."""
    pid = site.processes_by_name[name].pid
    text = Path(f"/proc/{pid}/status").read_text()
    line = next(row for row in text.splitlines() if row.startswith("VmRSS"))
    return int(line.split()[1]) / 1024


async def measure(url, headers, count, at_once):
    """Return the milliseconds of each call, and calls a second."""
    times = []
    async with aiohttp.ClientSession() as session:

        async def caller():
            for _ in range(count // at_once):
                begun = time.perf_counter()
                async with session.post(url, data=b"x", headers=headers) as response:
                    await response.read()
                    if response.status != 200:
                        raise SystemExit(f"{url}: status {response.status}")
                times.append((time.perf_counter() - begun) * 1000)

        begun = time.perf_counter()
        await asyncio.gather(*(caller() for _ in range(at_once)))
        seconds = time.perf_counter() - begun
    return sorted(times), len(times) / seconds


def percentile(times, part):
    return times[int(part * (len(times) - 1))]


def show_paths(site):
    entry = site.url("entry-1") + "/v1/services/dispatch/x"
    direct = site.url("agent-1.backend") + "/x"
    plain = {"X-Service-Time": "0"}
    routed = plain | {"Dotterelspread-Kind": "price-visit"}
    print(f"{'path':<10}{'at once':>8}{'p50 ms':>9}{'p99 ms':>9}{'calls/s':>9}")
    for at_once, count in ((1, SEQUENTIAL), (AT_ONCE, LOADED)):
        before = [processor_s(site, name) for name in ENTRIES + AGENTS]
        for name, url, headers in (
            ("direct", direct, plain),
            ("routed", entry, routed),
        ):
            times, rate = asyncio.run(measure(url, headers, count, at_once))
            p50, p99 = percentile(times, 0.5), percentile(times, 0.99)
            print(f"{name:<10}{at_once:>8}{p50:>9.2f}{p99:>9.2f}{rate:>9.0f}")
        after = [processor_s(site, name) for name in ENTRIES + AGENTS]
        used = [b - a for a, b in zip(before, after, strict=True)]
        entry_ms = used[0] / count * 1000
        agents_ms = sum(used[len(ENTRIES) :]) / count * 1000
        print(f"  processor ms a request: entry {entry_ms:.2f}, agents {agents_ms:.2f}")


def show_idle(site):
    names = ENTRIES + AGENTS
    before = {name: processor_s(site, name) for name in names}
    time.sleep(IDLE_S)
    shares = [(processor_s(site, n) - before[n]) / IDLE_S * 100 for n in names]
    memory = [resident_mb(site, name) for name in names]
    print(f"idle: {statistics.median(shares):.2f} % of a core (median of processes)")
    print(f"memory: {max(memory):.0f} MB resident (largest)")


def main(args):
    """Print the costs of the path."""
    del args
    with open_site() as site:
        start(site)
        show_paths(site)
        show_idle(site)


if __name__ == "__main__":
    main(None)
