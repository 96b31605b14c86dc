"""Faults of the network paths in the soak test."""

import asyncio
from operator import attrgetter

from .targets import choose_healthy, mark_faulty

__all__ = [
    "PATH_FAILURES",
    "cut_agents",
    "cut_store",
    "delay_agents",
    "delay_store",
    "reset_connections",
    "silence_connections",
]

#: Modes in which a network path fails.
PATH_FAILURES = ("cut", "silence", "forward-only")


async def _cut(site, processes, relay_of):
    """Cut or silence a network path of some processes."""
    mode = site.rng.choice(PATH_FAILURES)
    chosen = choose_healthy(site, processes, 2)
    with mark_faulty(chosen):
        for process in chosen:
            relay_of(process).apply(mode)
        await asyncio.sleep(site.rng.uniform(0.5, 5.0))
        for process in chosen:
            relay_of(process).apply("pass")


async def _delay(site, processes, relay_of):
    """Add latency to a network path of some processes."""
    chosen = choose_healthy(site, processes, 3)
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
