"""Agents that a leader does not reach, and probes of them by another entry."""

import asyncio
import random

from ..gen.peer.ttypes import WatchQuery
from ..peer import PeerError
from . import clock

__all__ = ["AgentReach", "reaches_agents", "reaches_any_agent"]

#: Silence of an agent after which it counts as lost: two polls and the delay between.
SILENCE_S = 1.5
#: Share of lost agents from which a leader reports them.
MAX_LOST_RATIO = 0.5
#: Number of lost agents that a notice names.
SAMPLE_SIZE = 8
#: Timeout of a probe; agents of another region answer within 50 ms.
PROBE_TIMEOUT_S = 0.4
#: Share of the probed agents that must answer.
MIN_REACHED_RATIO = 0.5
#: Epoch of a probe. Agents only reply to a query of an earlier epoch.
PROBE_EPOCH = -1


class AgentReach:
    """Latest replies of the agents in one term of a leader."""

    __slots__ = ("_expected_s_by_address", "_replied_s_by_address")

    def __init__(self):
        self._expected_s_by_address = {}
        self._replied_s_by_address = {}

    def expect(self, address):
        """Begin to expect replies of an agent."""
        self._expected_s_by_address[address] = clock.now_s()

    def observe(self, address):
        """Record a reply of an agent."""
        self._replied_s_by_address[address] = clock.now_s()

    @property
    def lost_addresses(self):
        """Agents that are lost, if most are; else an empty list.

        Only agents that have replied in this term count, since the records of removed
        agents stay; if none has replied, all count.
        """
        seen_s_by_address = self._replied_s_by_address or self._expected_s_by_address
        since_s = clock.now_s() - SILENCE_S
        lost = [a for a, seen_s in seen_s_by_address.items() if seen_s < since_s]
        are_most = len(lost) > MAX_LOST_RATIO * len(seen_s_by_address)
        return lost if are_most else []

    def sample_lost(self):
        """Return some of the lost agents for a notice."""
        lost = self.lost_addresses
        return random.sample(lost, min(SAMPLE_SIZE, len(lost)))


async def reaches_agents(pool, addresses):
    """Return whether most of these agents answer a probe, which changes nothing there.

    Parameters
    ----------
    pool : PeerPool
    addresses : collection of str
    """
    answers = await _probe_all(pool, addresses)
    return bool(answers) and sum(answers) >= MIN_REACHED_RATIO * len(answers)


async def reaches_any_agent(pool, addresses):
    """Return whether some of these agents answer, or there are none.

    One of a sample is enough, since the records of removed agents stay.

    Parameters
    ----------
    pool : PeerPool
    addresses : collection of str
    """
    sample = random.sample(sorted(addresses), min(SAMPLE_SIZE, len(addresses)))
    return not sample or any(await _probe_all(pool, sample))


async def _probe_all(pool, addresses):
    return await asyncio.gather(*(_probe(pool, address) for address in addresses))


async def _probe(pool, address):
    query = WatchQuery(PROBE_EPOCH, version=0, wait_ms=0)
    try:
        await pool.call(address, "watch", query, PROBE_TIMEOUT_S)
    except PeerError:
        pool.replace_connection(address)
        return False
    return True
