"""Whether an entry reaches agents that the leader does not reach."""

from ..decisionlog import log_decision
from . import clock
from .agentreach import SAMPLE_SIZE, reaches_agents

__all__ = ["AgentComparison"]

#: Interval between probes of agents that neither the leader nor this entry reaches.
PROBE_INTERVAL_S = 1.0


class AgentComparison:
    """Compares the agents that this entry reaches with those that the leader reports.

    Parameters
    ----------
    pool : PeerPool
    view : LeaderView
    sizes : EntrySizes
    """

    __slots__ = ("_next_probe_s", "_pool", "_sizes", "_view", "cut_off_since_s")

    def __init__(self, pool, view, sizes):
        self._pool = pool
        self._view = view
        self._sizes = sizes
        self._next_probe_s = clock.now_s()
        #: When this entry first reached agents that the leader does not reach.
        self.cut_off_since_s = None

    async def update(self, is_leading):
        """Probe agents that the leader does not reach, and note whether they answer."""
        if is_leading or not self._view.lost_agents:
            self.cut_off_since_s = None
            return
        now_s = clock.now_s()
        if self.cut_off_since_s is not None or now_s < self._next_probe_s:
            return
        self._next_probe_s = now_s + PROBE_INTERVAL_S
        known = self._sizes.agent_addresses
        lost = [a for a in self._view.lost_agents[:SAMPLE_SIZE] if a in known]
        if await reaches_agents(self._pool, lost):
            log_decision("leader cut off from agents", leader=self._view.address)
            self.cut_off_since_s = clock.now_s()
