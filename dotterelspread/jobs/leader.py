"""Leader of a cell: drives its reducer, the journal and the connections to agents."""

import asyncio

from ..decisionlog import log_decision
from ..supervision import log_unexpected, run_supervised
from . import clock
from .agentreach import AgentReach
from .cell import (
    Cancelled,
    CellTick,
    Configured,
    EarlierTermsEnded,
    Evacuated,
)
from .committing import STORE_TIMEOUT_S, Committer, DeposedError
from .connecting import NodeConnector
from .grantauthority import GrantAuthority
from .handlers import reduce
from .jobacceptance import JobAcceptance, StoreUnresponsiveError
from .leadernotices import AbilityMonitor, announce_once
from .leaseend import lease_end_s
from .ordersending import OrderSender

__all__ = ["Leader"]

#: Interval between two ticks of the cell.
TICK_INTERVAL_S = 0.1
#: Longest time since the last confirmation before another entry may take over: the
#: confirmation interval and the duration of an append.
MAX_CONFIRMATION_AGE_S = 1.5


class Leader:
    """One term of leadership, which lasts as long as `run`.

    Parameters
    ----------
    settings : ProcessSettings
    journal : Journal
    pool : PeerPool
    term : Term
        Result of `take_over`.
    configuration : FleetConfiguration
    permit_service : PermitService
    evacuations : EvacuatedDataCentres
    """

    def __init__(
        self,
        settings,
        journal,
        pool,
        term,
        configuration,
        permit_service,
        evacuations,
    ):
        self.settings = settings
        self.journal = journal
        self.pool = pool
        self.permit_service = permit_service
        self.cell = term.cell
        self.cell.configuration = configuration
        self.evacuations = evacuations
        self.cell.evacuated_data_centres = evacuations.names
        #: `AgentLink` of each agent by its peer address; None for entries.
        self.links_by_address = {}
        self.agent_reach = AgentReach()
        self.sender = OrderSender(self)
        self.committer = Committer(settings, journal, term, self.sender.perform)
        self.epoch = term.writer.epoch
        self.grant_authority = GrantAuthority(
            self.committer, term.earlier_leaders, term.waived_addresses
        )
        self._connector = NodeConnector(self, term.nodes)
        self._acceptance = JobAcceptance(self)
        #: Updated by each tick.
        self.ability = AbilityMonitor()
        self._deposed = asyncio.get_running_loop().create_future()
        self._tasks = set()
        #: Whether the term has ended since a later one has begun.
        self.is_superseded = False

    async def run(self):
        """Run the term until it ends.

        Raises
        ------
        DeposedError
            Always, when the term ends.
        """
        self._spawn_vital(self.committer.run())
        self._spawn_vital(self._tick_loop())
        self._connector.connect_known()
        self.spawn("nodes", self._connector.run)
        self.spawn("waivers", self.grant_authority.waive_silent_entries)
        try:
            await self._deposed
        finally:
            self.stop()

    def stop(self):
        """Cancel all tasks of this term."""
        for task in list(self._tasks):
            task.cancel()

    def depose(self, reason, is_superseded=True):
        """End the term; another process leads if it is superseded."""
        if not self._deposed.done():
            self.is_superseded = is_superseded
            log_decision("term ends", epoch=self.epoch, reason=reason)
            self._deposed.set_exception(DeposedError(reason))
            self.committer.abandon(reason)

    @property
    def is_deposed(self):
        """Whether the term has ended."""
        return self._deposed.done()

    @property
    def may_grant(self):
        """Whether leases may be granted within the time that a successor allows for."""
        return self.grant_authority.may_grant and not self.is_deposed

    @property
    def is_confirmed(self):
        """Whether the term is active and the store accepts its appends."""
        is_recent = self.committer.unconfirmed_s < MAX_CONFIRMATION_AGE_S
        is_unresponsive = self.committer.is_store_unresponsive
        return is_recent and not is_unresponsive and not self.is_deposed

    @property
    def is_able(self):
        """Whether the term is confirmed and most agents are reached."""
        return self.is_confirmed and not self.agent_reach.lost_addresses

    def end_earlier_term(self, address):
        """Record that the process at an address grants no leases of earlier terms."""
        if self.grant_authority.end_earlier_term(address):
            log_decision("earlier leader ended", epoch=self.epoch, address=address)
            self._handle_earlier_leaders_change()

    def _handle_earlier_leaders_change(self):
        if self.grant_authority.earlier_leaders.have_all_ended:
            now_s = clock.now_s()
            end_s = lease_end_s(now_s, self.settings.bounds.lease_ms)
            self.apply(EarlierTermsEnded(now_s, end_s))

    async def resign(self, reason):
        """End the term and notify the other entries at once."""
        self.depose(reason, is_superseded=False)
        entries = [a for a, link in self.links_by_address.items() if link is None]
        await asyncio.gather(*(announce_once(self, address) for address in entries))

    def spawn(self, name, run, **fields):
        """Run a loop until the term ends; an unexpected error starts it again.

        Used for all that concerns one agent, entry or order.
        """
        loop = run_supervised(name, run, (DeposedError,), **fields)
        self._keep(asyncio.ensure_future(loop))

    def _spawn_vital(self, coroutine):
        """Run a coroutine without which no term is possible; an error ends the term."""
        task = asyncio.ensure_future(coroutine)
        self._keep(task)
        task.add_done_callback(self._end_term)

    def _keep(self, task):
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _end_term(self, task):
        if not task.cancelled() and task.exception() is not None:
            error = task.exception()
            is_superseded = isinstance(error, DeposedError)
            if not is_superseded:
                log_unexpected("term", error, epoch=self.epoch)
            self.depose(f"{type(error).__name__}: {error}", is_superseded)

    def apply(self, event):
        """Apply an event to the cell; its effects are performed after the commit.

        An error may leave the cell half changed, so it ends the term: the next leader
        reads the state that was committed.

        Raises
        ------
        DeposedError
        """
        try:
            self.committer.enqueue(reduce(event, self.cell))
        except Exception as error:
            log_unexpected("reducer", error, on=type(event).__name__)
            reason = f"no handling of {type(event).__name__}: {error}"
            self.depose(reason, is_superseded=False)
            raise DeposedError(reason) from error

    # Requests of callers.

    async def submit(self, spec):
        """Accept a job; return once it is committed to the journal.

        Raises
        ------
        StoreUnresponsiveError
            The job was not accepted, since the store does not answer.
        InfeasibleError
            The job was not accepted, since no worker could ever run it or no record
            hold it.
        DeposedError
            The term ended before the commit was confirmed.
        """
        await self._acceptance.submit(spec)

    async def cancel(self, job_id):
        """Cancel a job; return False if it is unknown."""
        if job_id not in self.cell.jobs_by_id:
            return False
        self.apply(Cancelled(clock.now_s(), job_id, clock.wall_ms()))
        await self._wait_committed()
        log_decision("job cancelled", job_id=job_id)
        return True

    async def confirm_term(self):
        """Return once the store has confirmed that the term lasted until this call.

        Only then does a job that this leader does not know not exist: a successor may
        have accepted it while this process was paused or cut off.

        Raises
        ------
        StoreUnresponsiveError
            The store did not answer within `STORE_TIMEOUT_S`.
        DeposedError
            The term has ended.
        """
        if self.committer.is_store_unresponsive:
            raise StoreUnresponsiveError("the store does not answer")
        self.committer.request_confirmation()
        try:
            async with asyncio.timeout(STORE_TIMEOUT_S):
                await self._wait_committed()
        except TimeoutError as error:
            raise StoreUnresponsiveError("the term is not confirmed") from error

    async def _wait_committed(self):
        if self.is_deposed:
            raise DeposedError("the term is over")
        await self.committer.wait_committed()

    def state_of(self, job_id):
        """Return the committed `JobState` of a job, or None if the job is unknown."""
        return self.committer.committed_by_id.get(job_id)

    def count_pending(self, queue_name):
        """Return the number of accepted jobs of a queue that have not started."""
        return sum(
            job.spec.queue.name == queue_name
            and not job.has_begun
            and job.is_open
            and not job.spec.repeat_count
            for job in self.cell.jobs_by_id.values()
        )

    def configure(self, configuration):
        """Apply a published version of the configuration."""
        self.apply(Configured(clock.now_s(), configuration))

    def evacuate(self, data_centres):
        """Start nothing more in these data centres, and use all others again."""
        self.apply(Evacuated(clock.now_s(), data_centres))

    async def _tick_loop(self):
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            self.apply(CellTick(clock.now_s(), clock.wall_ms()))
            self.committer.confirm_if_due()
            reaches_agents = not self.agent_reach.lost_addresses
            self.ability.update(self.is_confirmed, reaches_agents)
            if self.grant_authority.expire_earlier_leaders():
                self._handle_earlier_leaders_change()
