"""Leader election among entries through a membership group of the log store."""

import asyncio

from ..decisionlog import log_decision
from ..processsettings import FleetRole
from ..supervision import log_unexpected
from . import clock
from .committing import DeposedError
from .journal import JournalError
from .leader import Leader
from .nodes import NODES_STREAM, decode_node
from .records import CELL_STREAM
from .takeover import take_over

__all__ = ["LeaderCandidate"]

GROUP = "leaders"
#: Interval of membership renewals, a fraction of the membership's time to live.
JOIN_INTERVAL_S = 0.35
#: Number of initial calls that measure the round trip to the store.
ROUND_TRIP_SAMPLES = 3
#: Round trip to the store above which an entry leaves leadership to nearer entries.
MAX_NEAR_ROUND_TRIP_S = 0.03
#: An entry with less than this share of the largest entry's cores is undersized.
MIN_CORES_RATIO = 0.7
#: Time without a leader after which a distant or undersized entry is eligible too.
STANDBY_DELAY_S = 3.0
#: Time allowed to a leader for the next confirmation after a store outage: the longest
#: timeout of an append.
RECONFIRMATION_TIMEOUT_S = 1.6
#: Interval between reads of the node stream, during startup and later.
STARTUP_NODES_INTERVAL_S = 0.7
NODES_INTERVAL_S = 10.0


class LeaderCandidate:
    """Takes part in the leader election and leads while this process is elected.

    Parameters
    ----------
    settings : ProcessSettings
    journal : Journal
    pool : PeerPool
    view : LeaderView
    configuration : callable
        Returns the `FleetConfiguration` in force.
    permit_service : PermitService
    evacuations : EvacuatedDataCentres
    """

    def __init__(
        self,
        settings,
        journal,
        pool,
        view,
        configuration,
        permit_service,
        evacuations,
    ):
        self.settings = settings
        self.journal = journal
        self.pool = pool
        self.view = view
        self.configuration = configuration
        self.permit_service = permit_service
        self.evacuations = evacuations
        self.leader = None
        self._generation = 0
        self._is_member = False
        self._round_trip_s = None
        self._started_s = clock.now_s()
        self._nodes_refreshed_s = clock.now_s()
        #: Cores of each entry of this region by peer address.
        self._cores_by_address = {}
        self._term_task = None
        #: When a call to join the group last failed.
        self._join_failed_s = float("-inf")

    async def run(self):
        """Take part in the leader election indefinitely."""
        for _ in range(ROUND_TRIP_SAMPLES):
            await self._refresh_nodes()
        while True:
            began_s = clock.now_s()
            await self._refresh_nodes_if_due()
            if self._is_eligible():
                await self._join()
            elif self._is_member:
                await self._leave_group()
            elapsed_s = clock.now_s() - began_s
            await asyncio.sleep(max(0.05, JOIN_INTERVAL_S - elapsed_s))

    def _is_eligible(self):
        if self.configuration().version < 0:
            return False
        if not (self._is_far_from_store or self._is_undersized):
            return True
        heard_s = max(self.view.last_notice_s, self._started_s)
        return clock.now_s() - heard_s > STANDBY_DELAY_S

    @property
    def _is_far_from_store(self):
        return self._round_trip_s is not None and (
            self._round_trip_s > MAX_NEAR_ROUND_TRIP_S
        )

    @property
    def _is_undersized(self):
        largest = max(self._cores_by_address.values(), default=0.0)
        return self.settings.cores < MIN_CORES_RATIO * largest

    @property
    def _has_suitable_leader(self):
        """Whether this entry leaves the current leader in place.

        The group may reassign its partition at any time. A failover delays all starts
        by a second, so it needs a reason: the leader is unresponsive, it cannot reach
        the store, or it is much smaller than this entry or in another region.
        """
        view = self.view
        if not view.has_leader:
            return False
        if not view.is_confirmed:
            # After a store outage that affected both, the leader gets time to be
            # confirmed again.
            return clock.now_s() - self._join_failed_s < RECONFIRMATION_TIMEOUT_S
        leader_cores = self._cores_by_address.get(view.address, 0.0)
        return leader_cores >= MIN_CORES_RATIO * self.settings.cores

    def receive_notice(self, notice):
        """Process a `LeaderNotice`; own terms of earlier epochs end before the reply.

        A term whose claim is under way ends as well, since it never begins.
        """
        if self.leader is not None and notice.epoch > self.leader.epoch:
            self.leader.depose("a notice of a later epoch")
        reply = self.view.receive(notice)
        reply.has_ended_terms = True
        return reply

    async def _refresh_nodes(self):
        """Read the sizes of the region's entries and measure the round trip."""
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

    async def _refresh_nodes_if_due(self):
        now_s = clock.now_s()
        is_starting = now_s - self._started_s < STANDBY_DELAY_S
        interval_s = STARTUP_NODES_INTERVAL_S if is_starting else NODES_INTERVAL_S
        if now_s - self._nodes_refreshed_s > interval_s:
            self._nodes_refreshed_s = now_s
            await self._refresh_nodes()

    async def _leave_group(self):
        """Leave the group, so that another entry is elected."""
        self._is_member = False
        try:
            await self.journal.leave(GROUP, self.settings.instance_id)
        except JournalError as error:
            # Not retried, since the membership expires on its own.
            log_decision("group not left; its membership will expire", error=str(error))

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
            self._join_failed_s = clock.now_s()
            log_decision("join failed", error=str(error))
            return
        self._is_member = True
        self._generation = membership.generation
        # A leader that no longer holds the partition continues until the claim of its
        # successor fences it, so that there is no gap between the two.
        if (
            membership.is_holder
            and self._term_task is None
            and not self._has_suitable_leader
        ):
            self._term_task = asyncio.ensure_future(self._lead())

    async def _lead(self):
        try:
            term = await take_over(
                self.journal, self.settings, self.view.heard_addresses
            )
            if self.view.epoch > term.writer.epoch:
                log_decision("term not begun", epoch=term.writer.epoch)
                return
            leader = Leader(
                self.settings,
                self.journal,
                self.pool,
                term,
                self.configuration(),
                self.permit_service,
                self.evacuations,
            )
            self.leader = leader
            self.view.note_epoch(leader.epoch)
            await leader.run()
        except DeposedError:
            # Already logged by the leader; the group elects the next one.
            return
        except JournalError as error:
            log_decision("takeover failed", error=str(error))
        except Exception as error:
            # The group elects this or another entry again.
            log_unexpected("term", error)
        finally:
            self.leader = None
            self._term_task = None

    async def resign(self):
        """End the term, if any, and leave the group."""
        if self.leader is not None:
            await self.leader.resign("the process is shutting down")
        if self._is_member:
            await self._leave_group()
