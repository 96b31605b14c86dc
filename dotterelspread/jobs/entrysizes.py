"""Comparison of the entries by their distance to the store and their size."""

from ..decisionlog import log_decision
from ..processsettings import FleetRole
from . import clock
from .journal import JournalError
from .nodes import NODES_STREAM, decode_node

__all__ = ["EntrySizes"]

#: Round trip to the store above which an entry leaves leadership to nearer entries.
MAX_NEAR_ROUND_TRIP_S = 0.03
#: An entry with less than this share of the largest entry's cores is undersized.
MIN_CORES_RATIO = 0.7


class EntrySizes:
    """Sizes and regions of the fleet's processes, and the round trip to the store.

    Parameters
    ----------
    settings : ProcessSettings
    journal : Journal
    """

    __slots__ = (
        "_cores_by_address",
        "_journal",
        "_other_region_addresses",
        "_round_trip_s",
        "_settings",
        "agent_addresses",
    )

    def __init__(self, settings, journal):
        self._settings = settings
        self._journal = journal
        self._round_trip_s = None
        #: Cores of each entry of this region by peer address.
        self._cores_by_address = {}
        self._other_region_addresses = frozenset()
        #: Peer addresses of all agents, including removed ones.
        self.agent_addresses = frozenset()

    async def refresh(self):
        """Read the records of all processes; return whether the store replied."""
        began_s = clock.now_s()
        try:
            snapshot = await self._journal.snapshot(NODES_STREAM)
        except JournalError as error:
            log_decision("nodes not read", error=str(error))
            return False
        round_trip_s = clock.now_s() - began_s
        if self._round_trip_s is None or round_trip_s < self._round_trip_s:
            self._round_trip_s = round_trip_s
        self._apply([decode_node(r) for r in snapshot.records_by_key.values()])
        return True

    def _apply(self, nodes):
        known = [node for node in nodes if node is not None]
        entries = [node for node in known if node.role == FleetRole.ENTRY]
        region = self._settings.region
        self._cores_by_address = {
            node.peer_address: node.cores for node in entries if node.region == region
        }
        self._other_region_addresses = frozenset(
            node.peer_address for node in entries if node.region != region
        )
        self.agent_addresses = frozenset(
            node.peer_address for node in known if node.role == FleetRole.AGENT
        )

    @property
    def is_suitable(self):
        """Whether this entry is near the store and among the largest of its region."""
        is_far = self._round_trip_s is not None and (
            self._round_trip_s > MAX_NEAR_ROUND_TRIP_S
        )
        largest = max(self._cores_by_address.values(), default=0.0)
        return not is_far and self._settings.cores >= MIN_CORES_RATIO * largest

    def is_suitable_leader(self, address):
        """Return whether a leader is of this region and not much smaller.

        A leader whose record has not been read yet gives no reason to replace it.
        """
        if address in self._other_region_addresses:
            return False
        cores = self._cores_by_address.get(address)
        return cores is None or cores >= MIN_CORES_RATIO * self._settings.cores
