"""The faults of a soak: each troubles one thing for a while and then heals it."""

import asyncio
import signal
from contextlib import contextmanager
from operator import attrgetter

from dotterelspread.h1client import H1Client, H1Error

from .site import FRONT_PORT

__all__ = ["FAULTS", "play_faults"]

#: Seconds between the beginnings of two faults, at least and at most.
GAP_S = (0.3, 2.0)
#: Requests that are under way when an entry is stopped as planned.
REQUESTS_IN_PROGRESS = 5


@contextmanager
def _trouble(things):
    for thing in things:
        thing.is_troubled = True
    try:
        yield
    finally:
        for thing in things:
            thing.is_troubled = False


def _choose(site, things, most=1):
    free = [thing for thing in things if not thing.is_troubled]
    count = min(len(free), site.rng.randint(1, most))
    return site.rng.sample(free, count)


async def kill(site):
    """Kill some processes at the same moment."""
    chosen = _choose(site, site.processes, len(site.processes))
    with _trouble(chosen):
        for process in chosen:
            process.signal(signal.SIGKILL)
        await asyncio.sleep(1.0)


async def pause(site):
    """Freeze processes and wake them."""
    chosen = _choose(site, site.processes, 2)
    with _trouble(chosen):
        for process in chosen:
            process.signal(signal.SIGSTOP)
        await asyncio.sleep(site.rng.uniform(0.5, 6.0))
        for process in chosen:
            process.signal(signal.SIGCONT)
        await asyncio.sleep(0.5)


async def stop(site):
    """Stop a process as planned; an entry answers what it has read."""
    for process in _choose(site, site.processes):
        with _trouble([process]):
            asked = []
            if process.role == "entry":
                client = H1Client(f"{process.host}:{FRONT_PORT}")
                asked = [
                    asyncio.ensure_future(_ask(client))
                    for _ in range(REQUESTS_IN_PROGRESS)
                ]
                await asyncio.sleep(0.02)
            await process.terminate()
            if "cut" in await asyncio.gather(*asked):
                site.checker.violations.append(f"{process.name} cut a request off")


async def _ask(client):
    headers = {"Host": "nony24.example", "X-Deadline-Ms": "3000"}
    try:
        reply = await client.call("GET", "/lohu930/0" + "0" * 15, 4.0, headers=headers)
    except H1Error as error:
        # Not up yet, or cut off after the request was sent.
        return "cut" if "connection lost" in str(error) else "unsent"
    return reply.status


async def hang_up(site):
    """Have some processes read their settings again."""
    for process in _choose(site, site.processes, 3):
        process.write_settings(grace_s=site.rng.choice((5, 6)))
        process.signal(signal.SIGHUP)


async def _cut(site, processes, relay_of):
    """Take a path from some processes, in one of several ways."""
    mode = site.rng.choice(("cut", "silence", "forward-only"))
    chosen = _choose(site, processes, 2)
    with _trouble(chosen):
        for process in chosen:
            relay_of(process).apply(mode)
        await asyncio.sleep(site.rng.uniform(0.5, 5.0))
        for process in chosen:
            relay_of(process).apply("pass")


async def _delay(site, processes, relay_of):
    """Let a path of some processes be long."""
    chosen = _choose(site, processes, 3)
    for process in chosen:
        relay_of(process).delay_s = site.rng.uniform(0.02, 0.3)
    await asyncio.sleep(site.rng.uniform(1.0, 4.0))
    for process in chosen:
        relay_of(process).delay_s = 0.0


async def cut_store(site):
    """Take the store from some processes."""
    await _cut(site, site.processes, attrgetter("relay"))


async def delay_store(site):
    """Let the store be far from some processes."""
    await _delay(site, site.processes, attrgetter("relay"))


async def cut_agents(site):
    """Take the leader from some agents."""
    await _cut(site, site.agents, attrgetter("peer_relay"))


async def delay_agents(site):
    """Let the leader be far from some agents."""
    await _delay(site, site.agents, attrgetter("peer_relay"))


async def reset_connections(site):
    """Reset all connections to the store, to agents and to workers."""
    for relay in site.relays:
        if relay.mode == "pass":
            relay.apply("cut")
            relay.apply("pass")


async def silence_connections(site):
    """Let open connections go silent for good; new ones work."""
    for relay in site.relays:
        if relay.mode == "pass":
            relay.apply("silence")
            relay.apply("pass")


async def fail_store(site):
    """Let the store fail for all, in one of several ways."""
    site.store.mode = site.rng.choice(("busy", "silent", "lost", "slow"))
    await asyncio.sleep(site.rng.uniform(0.5, 5.0))
    site.store.mode = "serve"


async def rebalance(site):
    """Deal the partition of the leaders' group anew."""
    site.store.rebalance()


async def publish(site):
    """Change the configuration a few times in a row."""
    for _ in range(site.rng.randint(1, 4)):
        site.publish()
        await asyncio.sleep(0.1)


def _free_workers(site):
    return [w for w in site.workers if w.is_up and not w.is_draining]


async def crash_worker(site):
    """Lose a worker; it comes back, perhaps under the same id."""
    for worker in _free_workers(site)[:1]:
        is_same = site.rng.random() < 0.5
        await worker.crash_and_return(site.rng.uniform(0.1, 6.0), is_same)


async def drain_worker(site):
    """Have a worker leave as planned."""
    for worker in _free_workers(site)[-1:]:
        await worker.drain_and_return()


async def delay_orders(site):
    """Let a worker carry out some orders late and without an answer."""
    worker = site.rng.choice(site.workers)
    worker.late_ratio = 0.3
    await asyncio.sleep(site.rng.uniform(1.0, 4.0))
    worker.late_ratio = 0.0


async def fail_tasks(site):
    """Let a worker fail all that it starts, or slow it down."""
    worker = site.rng.choice(site.workers)
    if site.rng.random() < 0.5:
        worker.slowness = 8.0
    else:
        worker.is_failing = True
    await asyncio.sleep(site.rng.uniform(0.5, 2.0))
    worker.slowness = 1.0
    worker.is_failing = False


#: All faults, each as often as it stands here.
FAULTS = (
    kill,
    kill,
    pause,
    pause,
    stop,
    stop,
    hang_up,
    cut_store,
    delay_store,
    cut_agents,
    delay_agents,
    reset_connections,
    silence_connections,
    fail_store,
    rebalance,
    publish,
    crash_worker,
    drain_worker,
    delay_orders,
    fail_tasks,
)


async def play_faults(site, seconds):
    """Begin faults one after the other; return once all have healed."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + seconds
    running = []
    while loop.time() < end_s:
        fault = site.rng.choice(FAULTS)
        site.note(f"fault {fault.__name__}")
        running.append(asyncio.ensure_future(fault(site)))
        await asyncio.sleep(site.rng.uniform(*GAP_S))
    await asyncio.gather(*running)
    site.note("healed")
