"""Faults of the soak test: each impairs its targets for a while and then heals them."""

import asyncio
import signal
from contextlib import contextmanager
from operator import attrgetter

from dotterelspread.h1client import H1Client, H1Error

from .site import FRONT_PORT

__all__ = ["FAULTS", "choose_faults", "run_faults"]

#: Minimum and maximum time between the starts of two faults.
FAULT_INTERVAL_RANGE_S = (0.3, 2.0)
#: Number of requests in progress when an entry is stopped gracefully.
REQUESTS_IN_PROGRESS = 5
#: Modes in which a network path fails.
PATH_FAILURES = ("cut", "silence", "forward-only")


@contextmanager
def _mark_faulty(targets):
    for target in targets:
        target.has_fault = True
    try:
        yield
    finally:
        for target in targets:
            target.has_fault = False


def _choose_healthy(site, targets, most=1):
    free = [target for target in targets if not target.has_fault]
    count = min(len(free), site.rng.randint(1, most))
    return site.rng.sample(free, count)


async def kill(site):
    """Kill some processes at the same time."""
    await _kill(_choose_healthy(site, site.processes, len(site.processes)))


async def _kill(processes):
    with _mark_faulty(processes):
        for process in processes:
            process.signal(signal.SIGKILL)
        await asyncio.sleep(1.0)


async def pause(site):
    """Suspend processes and resume them."""
    chosen = _choose_healthy(site, site.processes, 2)
    with _mark_faulty(chosen):
        for process in chosen:
            process.signal(signal.SIGSTOP)
        await asyncio.sleep(site.rng.uniform(0.5, 6.0))
        for process in chosen:
            process.signal(signal.SIGCONT)
        await asyncio.sleep(0.5)


async def stop(site):
    """Stop a process gracefully; an entry must answer the requests that it received."""
    for process in _choose_healthy(site, site.processes):
        with _mark_faulty([process]):
            replies = []
            if process.role == "entry":
                client = H1Client(f"{process.host}:{FRONT_PORT}")
                replies = [
                    asyncio.ensure_future(_request_state(client))
                    for _ in range(REQUESTS_IN_PROGRESS)
                ]
                await asyncio.sleep(0.02)
            await process.terminate()
            if "cut" in await asyncio.gather(*replies):
                site.checker.violations.append(f"{process.name} dropped a request")


async def _request_state(client):
    headers = {"Host": "nony24.example", "X-Deadline-Ms": "3000"}
    try:
        reply = await client.call("GET", "/lohu930/0" + "0" * 15, 4.0, headers=headers)
    except H1Error as error:
        # The entry does not listen yet, or the connection was lost after the request.
        return "cut" if "connection lost" in str(error) else "unsent"
    return reply.status


async def reload_settings(site):
    """Make some processes reload their settings."""
    for process in _choose_healthy(site, site.processes, 3):
        process.write_settings(grace_s=site.rng.choice((5, 6)))
        process.signal(signal.SIGHUP)


async def _cut(site, processes, relay_of):
    """Cut or silence a network path of some processes."""
    mode = site.rng.choice(PATH_FAILURES)
    chosen = _choose_healthy(site, processes, 2)
    with _mark_faulty(chosen):
        for process in chosen:
            relay_of(process).apply(mode)
        await asyncio.sleep(site.rng.uniform(0.5, 5.0))
        for process in chosen:
            relay_of(process).apply("pass")


async def _delay(site, processes, relay_of):
    """Add latency to a network path of some processes."""
    chosen = _choose_healthy(site, processes, 3)
    for process in chosen:
        relay_of(process).delay_s = site.rng.uniform(0.02, 0.3)
    await asyncio.sleep(site.rng.uniform(1.0, 4.0))
    for process in chosen:
        relay_of(process).delay_s = 0.0


async def cut_store(site):
    """Cut or silence the path from some processes to the store."""
    await _cut(site, site.processes, attrgetter("relay"))


async def delay_store(site):
    """Add latency between some processes and the store."""
    await _delay(site, site.processes, attrgetter("relay"))


async def cut_agents(site):
    """Cut or silence the path from the leader to some agents."""
    await _cut(site, site.agents, attrgetter("peer_relay"))


async def delay_agents(site):
    """Add latency between the leader and some agents."""
    await _delay(site, site.agents, attrgetter("peer_relay"))


async def reset_connections(site):
    """Reset all connections to the store, to agents and to workers."""
    for relay in site.relays:
        if relay.mode == "pass":
            relay.apply("cut")
            relay.apply("pass")


async def silence_connections(site):
    """Silence all open connections permanently; new connections work."""
    for relay in site.relays:
        if relay.mode == "pass":
            relay.apply("silence")
            relay.apply("pass")


async def fail_store(site):
    """Make the store fail for all processes in one of its failure modes."""
    site.store.mode = site.rng.choice(("busy", "silent", "lost", "slow"))
    await asyncio.sleep(site.rng.uniform(0.5, 5.0))
    site.store.mode = "serve"


async def rebalance(site):
    """Reassign the partition of the leaders' group."""
    site.store.rebalance()


async def publish(site):
    """Change the configuration a few times in a row."""
    for _ in range(site.rng.randint(1, 4)):
        site.publish()
        await asyncio.sleep(0.1)


def _free_workers(site):
    return [
        worker
        for worker in site.workers
        if worker.is_up and not worker.is_draining and not worker.has_fault
    ]


async def crash_worker(site):
    """Crash a worker; it restarts with the same ID or a new one."""
    for worker in _free_workers(site)[:1]:
        is_same = site.rng.random() < 0.5
        await worker.crash_and_return(site.rng.uniform(0.1, 6.0), is_same)


async def restart_and_cut_off(site):
    """Restart the busiest worker under its ID, and cut its agent off soon after."""
    agents_by_worker = {
        worker: site.agents[worker.number]
        for worker in _free_workers(site)
        if not site.agents[worker.number].has_fault
    }
    if not agents_by_worker:
        return
    worker = max(agents_by_worker, key=attrgetter("remaining_s"))
    agent = agents_by_worker[worker]
    with _mark_faulty([agent, worker]):
        site.log_event(f"restart of {worker.worker_id}, runs {len(worker.running)}")
        await _restart_behind_path(site, worker, agent.peer_relay)
        await asyncio.sleep(site.rng.uniform(1.0, 3.0))
        site.log_event(f"cut off {worker.worker_id}, runs {len(worker.running)}")
        killing = asyncio.ensure_future(_kill_in_between(site, agent))
        relays = [agent.peer_relay]
        if site.rng.random() < 0.5:
            relays.append(worker.relay)
        await _cut_for_longer_than_lease(site, relays)
        await killing


async def _restart_behind_path(site, worker, peer_relay):
    """Restart a worker, in some cases while its agent is cut off from the leader."""
    if site.rng.random() < 0.3:
        peer_relay.apply(site.rng.choice(PATH_FAILURES))
    worker.late_ratio = site.rng.choice((0.0, 0.3))
    await worker.crash_and_return(site.rng.uniform(0.1, 2.0), is_same=True)
    worker.late_ratio = 0.0
    if site.rng.random() < 0.7:
        peer_relay.apply("pass")


async def _kill_in_between(site, agent):
    """Kill the agent, the leader or none of them."""
    victim = site.rng.choice((agent, site.leader, None, None))
    if victim is None:
        return
    site.log_event(f"kill of {victim.name}")
    if victim is agent:
        # Its mark outlasts the restart.
        agent.signal(signal.SIGKILL)
    elif not victim.has_fault:
        await _kill([victim])


async def _cut_for_longer_than_lease(site, relays):
    mode = site.rng.choice(PATH_FAILURES)
    for relay in relays:
        relay.apply(mode)
    await asyncio.sleep(site.bounds.lease_ms / 1000 + site.rng.uniform(1.0, 5.0))
    for relay in relays:
        relay.apply("pass")


async def drain_worker(site):
    """Drain a worker and replace it."""
    for worker in _free_workers(site)[-1:]:
        await worker.drain_and_return()


async def delay_orders(site):
    """Make a worker execute some orders late and without a reply."""
    worker = site.rng.choice(site.workers)
    worker.late_ratio = 0.3
    await asyncio.sleep(site.rng.uniform(1.0, 4.0))
    worker.late_ratio = 0.0


async def fail_tasks(site):
    """Make a worker fail all runs that it starts, or slow them down."""
    worker = site.rng.choice(site.workers)
    if site.rng.random() < 0.5:
        worker.slowness = 8.0
    else:
        worker.is_failing = True
    await asyncio.sleep(site.rng.uniform(0.5, 2.0))
    worker.slowness = 1.0
    worker.is_failing = False


#: All faults; one that is listed more often is chosen more often.
FAULTS = (
    kill,
    kill,
    pause,
    pause,
    stop,
    stop,
    reload_settings,
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
    restart_and_cut_off,
    restart_and_cut_off,
    restart_and_cut_off,
    restart_and_cut_off,
    drain_worker,
    delay_orders,
    fail_tasks,
)


def choose_faults(names):
    """Return the faults with the given names, or all if there are none."""
    return tuple(fault for fault in FAULTS if not names or fault.__name__ in names)


async def run_faults(site, seconds, faults):
    """Start faults at random intervals; return when all have healed."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + seconds
    running = []
    while loop.time() < end_s:
        fault = site.rng.choice(faults)
        site.log_event(f"fault {fault.__name__}")
        running.append(asyncio.ensure_future(fault(site)))
        await asyncio.sleep(site.rng.uniform(*FAULT_INTERVAL_RANGE_S))
    await asyncio.gather(*running)
    site.log_event("healed")
