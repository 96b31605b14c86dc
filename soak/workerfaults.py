"""Faults of the workers in the soak test."""

import asyncio
import signal
from operator import attrgetter

from .pathfaults import PATH_FAILURES
from .targets import kill_processes, mark_faulty

__all__ = [
    "crash_worker",
    "delay_orders",
    "drain_worker",
    "fail_tasks",
    "restart_and_cut_off",
]


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
    with mark_faulty([agent, worker]):
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
        await kill_processes([victim])


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
