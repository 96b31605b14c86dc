"""Leader election among entries through a membership group of the log store."""

import asyncio
import zlib

from ..decisionlog import log_decision
from ..supervision import log_unexpected
from . import clock
from .agentcomparison import AgentComparison
from .agentreach import reaches_any_agent
from .committing import DeposedError
from .eligibility import Move, Standing, choose_move, failback_wait_s, vacancy_s
from .entrysizes import EntrySizes
from .groupmember import GroupMember
from .journal import JournalError
from .leader import Leader
from .takeover import ClaimTimeoutError, OvertakenError, take_over

__all__ = ["LeaderCandidate"]

#: Interval of membership renewals, a fraction of the membership's time to live.
JOIN_INTERVAL_S = 0.35
#: Number of initial calls that measure the round trip to the store.
ROUND_TRIP_SAMPLES = 3
#: Interval between reads of the node stream, during startup and later.
STARTUP_S = 3.0
STARTUP_NODES_INTERVAL_S = 0.7
NODES_INTERVAL_S = 10.0
#: Time after the end of an own term in which its successor announces itself.
TERM_END_DELAY_S = 0.6
#: Time left to the author of a later claim in the store to send its first notice.
OVERTAKEN_DELAY_S = 1.0
#: Time left to others after the store did not answer an own claim.
CLAIM_TIMEOUT_DELAY_S = 3.0
#: Delay of the next attempt of an entry that reached no agents to replace a stand-in.
FAILBACK_RETRY_DELAY_S = 5.0
#: A term that is lost after a shorter time delays the next replacement of a stand-in.
SHORT_TERM_S = 60.0
#: Largest offset of an entry's claims that are not its turn.
MAX_OFFSET_S = 0.4


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
        self._group = GroupMember(settings, journal)
        self._sizes = EntrySizes(settings, journal)
        self._agent_comparison = AgentComparison(pool, view, self._sizes)
        self._started_s = clock.now_s()
        self._nodes_refreshed_s = clock.now_s()
        self._term_task = None
        #: Task that notifies the other entries of the end of the latest own term.
        self._resigning = None
        self._term_ended_s = self._started_s
        #: Time before which no claim is made.
        self._next_claim_s = self._started_s
        #: Time before which the turn is left to others.
        self._yields_until_s = self._started_s
        #: Number of short terms in a row that this entry has lost.
        self._lost_terms = 0
        #: Latest epoch that this process has heard of or read.
        self._known_epoch = None
        #: When a call to the store last failed.
        self._store_failed_s = float("-inf")
        #: Whether this process is shutting down.
        self._has_resigned = False
        #: Since when the own term is not confirmed or reaches no agents.
        self._own_fault_since_s = None
        digest = zlib.crc32(settings.instance_id.encode())
        self._offset_s = MAX_OFFSET_S * (digest % 1000) / 1000

    async def run(self):
        """Take part in the leader election until this process resigns."""
        for _ in range(ROUND_TRIP_SAMPLES):
            await self._refresh_nodes()
        while not self._has_resigned:
            began_s = clock.now_s()
            await self._refresh_nodes_if_due()
            await self._agent_comparison.update(self.leader is not None)
            await self._check_store()
            await self._take_part()
            elapsed_s = clock.now_s() - began_s
            await asyncio.sleep(max(0.05, JOIN_INTERVAL_S - elapsed_s))

    async def _check_store(self):
        """Call the store beside an unconfirmed leader if nothing else here calls it.

        A stand-in learns by it whether the store is unavailable to all entries. It does
        not join the group for that, as it might get the partition before a larger one.
        """
        is_beside_unconfirmed = (
            self.leader is None and self.view.unconfirmed_since_s is not None
        )
        if (
            is_beside_unconfirmed
            and not self._group.is_member
            and not self._sizes.is_suitable
        ):
            await self._refresh_nodes()

    async def _take_part(self):
        if choose_move(self._standing()) is Move.ABSTAIN:
            await self._group.leave()
            return
        # A reply shows that this entry reaches the store, and whose turn it is.
        if not await self._group.join():
            self._store_failed_s = clock.now_s()
            return
        if self._has_resigned:
            # The call was under way at the resignation.
            await self._group.leave()
            return
        standing = self._standing()
        if self._term_task is not None or choose_move(standing) is not Move.CLAIM:
            return
        if vacancy_s(standing) is None and not await self._is_fit_for_failback():
            return
        if self._term_task is None and not self._has_resigned:
            log_decision(
                "claim begins",
                leader_epoch=self.view.epoch,
                leader=self.view.address,
                suitable=standing.is_suitable,
                holder=standing.is_holder,
                notice_age_s=_rounded(standing.notice_age_s),
                unconfirmed_s=_rounded(standing.unconfirmed_s),
                cut_off_s=_rounded(standing.cut_off_s),
            )
            self._term_task = asyncio.ensure_future(self._lead())

    async def _is_fit_for_failback(self):
        """Return whether this entry reaches agents; if not, delay its next claim."""
        if await reaches_any_agent(self.pool, self._sizes.agent_addresses):
            return True
        self._next_claim_s = clock.now_s() + FAILBACK_RETRY_DELAY_S
        log_decision("leadership not taken back; no agent answers")
        return False

    def _standing(self):
        now_s = clock.now_s()
        view = self.view
        sizes = self._sizes
        cut_off_since_s = self._agent_comparison.cut_off_since_s
        is_claiming = self._term_task is not None and self.leader is None
        return Standing(
            has_configuration=self.configuration().version >= 0,
            is_suitable=sizes.is_suitable,
            is_leading=self.leader is not None,
            own_fault_s=self._own_fault_s(now_s),
            may_claim=is_claiming or now_s >= self._next_claim_s,
            is_yielding=not is_claiming and now_s < self._yields_until_s,
            is_holder=self._group.is_holder,
            watched_s=now_s - self._term_ended_s,
            notice_age_s=now_s - view.last_notice_s if view.last_notice_s else None,
            unconfirmed_s=_age_s(now_s, view.unconfirmed_since_s),
            cut_off_s=_age_s(now_s, cut_off_since_s),
            shares_agent_loss=bool(view.lost_agents) and cut_off_since_s is None,
            is_leader_suitable=sizes.is_suitable_leader(view.address),
            leader_known_s=now_s - view.epoch_known_s,
            store_works_s=now_s - self._store_failed_s,
            failback_wait_s=failback_wait_s(self._lost_terms),
            offset_s=self._offset_s,
        )

    def _own_fault_s(self, now_s):
        if self.leader is None or self.leader.is_able:
            self._own_fault_since_s = None
        elif self._own_fault_since_s is None:
            self._own_fault_since_s = now_s
        return _age_s(now_s, self._own_fault_since_s)

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
        if not await self._sizes.refresh():
            self._store_failed_s = clock.now_s()

    async def _refresh_nodes_if_due(self):
        now_s = clock.now_s()
        is_starting = now_s - self._started_s < STARTUP_S
        interval_s = STARTUP_NODES_INTERVAL_S if is_starting else NODES_INTERVAL_S
        if now_s - self._nodes_refreshed_s > interval_s:
            self._nodes_refreshed_s = now_s
            await self._refresh_nodes()

    async def _lead(self):
        began_s = clock.now_s()
        try:
            term = await take_over(
                self.journal,
                self.settings,
                self.view.heard_addresses,
                self._latest_known_epoch(),
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
            began_s = clock.now_s()
            await leader.run()
        except DeposedError:
            # Already logged by the leader; the group elects the next one.
            self._resigning = asyncio.ensure_future(leader.resign("the term has ended"))
            if not leader.is_superseded:
                self._yields_until_s = clock.now_s() + TERM_END_DELAY_S
            is_short = clock.now_s() - began_s < SHORT_TERM_S
            self._lost_terms = self._lost_terms + 1 if is_short else 0
        except OvertakenError as error:
            log_decision("takeover abandoned", epoch=error.epoch)
            self._known_epoch = error.epoch
            self._next_claim_s = clock.now_s() + OVERTAKEN_DELAY_S
        except JournalError as error:
            log_decision("takeover failed", error=str(error))
            self._store_failed_s = clock.now_s()
            is_claim = isinstance(error, ClaimTimeoutError)
            yield_s = CLAIM_TIMEOUT_DELAY_S if is_claim else TERM_END_DELAY_S
            self._yields_until_s = clock.now_s() + yield_s
        except Exception as error:
            # The group elects this or another entry again.
            log_unexpected("term", error)
        finally:
            now_s = clock.now_s()
            self.leader = None
            self._term_task = None
            self._term_ended_s = now_s
            self._next_claim_s = max(self._next_claim_s, now_s + TERM_END_DELAY_S)

    def _latest_known_epoch(self):
        """Return the latest epoch that this process knows of; None without any."""
        if not self.view.last_notice_s:
            return self._known_epoch
        return max(self.view.epoch, self._known_epoch or 0)

    async def resign(self):
        """End the term or claim, if any, and leave the group for good."""
        self._has_resigned = True
        if self.leader is not None:
            await self.leader.resign("the process is shutting down")
        elif self._term_task is not None:
            self._term_task.cancel()
        await self._group.leave()


def _age_s(now_s, since_s):
    return None if since_s is None else now_s - since_s


def _rounded(age_s):
    return None if age_s is None else round(age_s, 2)
