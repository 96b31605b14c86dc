"""Who leads: an entry that the store's group names, for as long as it does."""

import asyncio

from ..decisionlog import log_decision
from ..processsettings import FleetRole
from . import clock
from .committing import DeposedError
from .journal import JournalError
from .leader import Leader
from .nodes import NODES_STREAM, decode_node
from .records import CELL_STREAM
from .takeover import take_over

__all__ = ["Candidate"]

GROUP = "leaders"
#: Seconds between two joins, a fraction of the time to live.
JOIN_INTERVAL_S = 0.35
#: Calls by which the round trip to the store is measured.
MEASURED_CALLS = 3
#: Round trip to the store above which an entry leaves the lead to nearer ones.
FAR_ROUND_TRIP_S = 0.03
#: Part of the largest entry's processors below which an entry counts as small.
SMALL_SHARE = 0.7
#: Seconds without a leader after which a far or small entry stands as well.
PATIENCE_S = 3.0
#: Seconds that a leader may take to be confirmed again once the store is back: the
#: longest wait for the reply to an append.
RETURN_S = 1.6
#: Seconds between two looks at the list of processes, at first and later.
YOUNG_LOOK_S = 0.7
LOOK_S = 10.0


class Candidate:
    """Stands for the lead and leads when it is this process's turn.

    Parameters
    ----------
    settings : ProcessSettings
    journal : Journal
    pool : PeerPool
    view : LeaderView
    configuration : callable
        Returns the `FleetConfiguration` in force.
    permit_service : PermitService
    """

    def __init__(self, settings, journal, pool, view, configuration, permit_service):
        self.settings = settings
        self.journal = journal
        self.pool = pool
        self.view = view
        self.configuration = configuration
        self.permit_service = permit_service
        self.leader = None
        self._generation = 0
        self._is_member = False
        self._round_trip_s = None
        self._started_s = clock.now_s()
        self._looked_s = clock.now_s()
        #: Processors of each entry of this region, by peer address.
        self._cores_by_address = {}
        self._term = None
        #: When the store last turned this entry away.
        self._refused_s = float("-inf")

    async def run(self):
        """Stand for the lead, for good."""
        for _ in range(MEASURED_CALLS):
            await self._look()
        while True:
            began_s = clock.now_s()
            await self._look_if_due()
            if self._stands():
                await self._join()
            elif self._is_member:
                await self._withdraw()
            elapsed_s = clock.now_s() - began_s
            await asyncio.sleep(max(0.05, JOIN_INTERVAL_S - elapsed_s))

    def _stands(self):
        if self.configuration().version < 0:
            return False
        if not (self._is_far or self._is_small):
            return True
        heard_s = max(self.view.last_notice_s, self._started_s)
        return clock.now_s() - heard_s > PATIENCE_S

    @property
    def _is_far(self):
        return self._round_trip_s is not None and (
            self._round_trip_s > FAR_ROUND_TRIP_S
        )

    @property
    def _is_small(self):
        largest = max(self._cores_by_address.values(), default=0.0)
        return self.settings.cores < SMALL_SHARE * largest

    @property
    def _is_well_led(self):
        """Whether a leader works that this entry need not replace.

        The group may deal its partition anew at any time. A change of the leader costs
        a second in which nothing starts, so it needs a reason: the leader is silent,
        the store turns it away, or it is much smaller than this entry, or far away.
        """
        view = self.view
        if not view.has_leader:
            return False
        if not view.is_confirmed:
            # While the store was away for both, the leader is given time to return.
            return clock.now_s() - self._refused_s < RETURN_S
        leader_cores = self._cores_by_address.get(view.address, 0.0)
        return leader_cores >= SMALL_SHARE * self.settings.cores

    async def _look(self):
        """Learn how far the store is, and how large the other entries here are."""
        began_s = clock.now_s()
        try:
            snapshot = await self.journal.snapshot(NODES_STREAM)
        except JournalError as error:
            log_decision("nodes not read", error=str(error))
            return
        round_trip_s = clock.now_s() - began_s
        if self._round_trip_s is None or round_trip_s < self._round_trip_s:
            self._round_trip_s = round_trip_s
        nodes = map(decode_node, snapshot.records_by_key.values())
        self._cores_by_address = {
            node.peer_address: node.cores
            for node in nodes
            if node is not None
            and node.role == FleetRole.ENTRY
            and node.region == self.settings.region
        }

    async def _look_if_due(self):
        now_s = clock.now_s()
        is_young = now_s - self._started_s < PATIENCE_S
        interval_s = YOUNG_LOOK_S if is_young else LOOK_S
        if now_s - self._looked_s > interval_s:
            self._looked_s = now_s
            await self._look()

    async def _withdraw(self):
        """Leave the lead to an entry that suits better."""
        self._is_member = False
        try:
            await self.journal.leave(GROUP, self.settings.instance_id)
        except JournalError as error:
            # The membership expires by itself.
            log_decision("leave failed", error=str(error))

    async def _join(self):
        try:
            membership = await self.journal.join(
                GROUP,
                self.settings.instance_id,
                CELL_STREAM,
                self.settings.store.min_member_ttl_ms,
                self._generation,
            )
        except JournalError as error:
            self._refused_s = clock.now_s()
            log_decision("join failed", error=str(error))
            return
        self._is_member = True
        self._generation = membership.generation
        if self.leader is not None:
            self.leader.store_heard_s = clock.elapsed_s()
        # A leader that the group names no longer leads on until its successor's claim
        # fences it, so that nobody waits in between.
        if membership.is_holder and self._term is None and not self._is_well_led:
            self._term = asyncio.ensure_future(self._lead())

    async def _lead(self):
        try:
            term = await take_over(self.journal, self.settings)
            leader = Leader(
                self.settings,
                self.journal,
                self.pool,
                term,
                self.configuration(),
                self.permit_service,
            )
            self.leader = leader
            self.view.note_epoch(leader.epoch)
            await leader.run()
        except DeposedError:
            # Logged by the leader; the group says who is next.
            return
        except JournalError as error:
            log_decision("takeover failed", error=str(error))
        finally:
            self.leader = None
            self._term = None

    async def resign(self):
        """Give up the lead and the candidacy."""
        if self.leader is not None:
            await self.leader.resign("this process stops")
        if self._is_member:
            await self._withdraw()
