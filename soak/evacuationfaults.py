"""Evacuations as a fault of the soak test, each along with another fault."""

import asyncio

from .pathfaults import cut_agents, cut_store
from .processfaults import pause
from .storefaults import fail_store
from .targets import kill_processes

__all__ = ["evacuate"]

#: Largest number of evacuations that one fault begins.
MAX_NAMES = 2
#: Time after the begin of the other fault within which an evacuation begins.
MAX_DELAY_S = 2.0
#: Range of the time for which a data centre is evacuated. Most exceed the time after
#: which nothing may start there.
DURATION_RANGE_S = (1.0, 12.0)


async def _kill_leader(site):
    leader = site.leader
    if leader is not None and not leader.has_fault:
        site.log_event(f"kill of {leader.name}")
        await kill_processes([leader])


async def _leave_intact(site):
    del site


#: Faults of which one goes along with an evacuation.
COMPANIONS = (
    _leave_intact,
    _kill_leader,
    _kill_leader,
    fail_store,
    cut_store,
    cut_agents,
    pause,
)


async def evacuate(site):
    """Evacuate data centres, or a name that no worker has, and restore them later."""
    names = _choose_names(site)
    if not names:
        return
    companion = site.rng.choice(COMPANIONS)
    site.log_event(f"evacuations along with {companion.__name__}")
    await asyncio.gather(companion(site), *(_evacuate(site, name) for name in names))


def _choose_names(site):
    names = site.evacuations.names_to_choose()
    return site.rng.sample(names, min(len(names), site.rng.randint(1, MAX_NAMES)))


async def _evacuate(site, name):
    await asyncio.sleep(site.rng.uniform(0.0, MAX_DELAY_S))
    # Another fault may have evacuated it meanwhile.
    if name not in site.evacuations.names_to_choose():
        return
    site.log_event(f"evacuation of {name}")
    site.evacuations.evacuate(name)
    await asyncio.sleep(site.rng.uniform(*DURATION_RANGE_S))
    site.evacuations.restore(name)
    site.log_event(f"end of the evacuation of {name}")
