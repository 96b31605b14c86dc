"""Faults of the soak test: each impairs its targets for a while and then heals them."""

import asyncio

from .evacuationfaults import evacuate
from .pathfaults import (
    cut_agents,
    cut_store,
    delay_agents,
    delay_store,
    reset_connections,
    silence_connections,
)
from .processfaults import kill, pause, reload_settings, stop
from .storefaults import fail_store, publish, rebalance
from .workerfaults import (
    crash_worker,
    delay_orders,
    drain_worker,
    fail_tasks,
    restart_and_cut_off,
)

__all__ = ["FAULTS", "choose_faults", "run_faults"]

#: Minimum and maximum time between the starts of two faults.
FAULT_INTERVAL_RANGE_S = (0.3, 2.0)
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
    evacuate,
    evacuate,
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
