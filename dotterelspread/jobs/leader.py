"""The leader of a cell: feeds its reducer and ties it to the journal and the agents."""

import asyncio

from ..decisionlog import log_decision
from ..processsettings import FleetRole
from . import clock
from .agentlink import AgentLink
from .cell import Cancelled, CellTick, Configured, Submitted
from .committing import Committer, DeposedError
from .feasibility import find_infeasible_step
from .handlers import reduce
from .journal import JournalError, JournalTruncatedError
from .leadernotices import announce_once, announce_periodically
from .nodes import NODES_STREAM, decode_node
from .ordersending import OrderSender

__all__ = [
    "GRANTS_WITHOUT_STORE_S",
    "InfeasibleError",
    "Leader",
    "StoreSilentError",
]

#: Seconds between two ticks of the cell.
TICK_S = 0.1
#: Seconds since the latest confirmation for which leases are granted. It is the longest
#: outage of the store that runs live through, and how long a successor that cannot
#: reach an agent waits besides the lease.
GRANTS_WITHOUT_STORE_S = 10.0
#: Seconds since the store's last word within which the leader denies unknown jobs.
FRESH_S = 2.0
#: Seconds since the latest confirmation after which another entry may take over: the
#: interval of the confirmations and an append.
CONFIRMED_S = 1.5
#: Seconds of a term after which the agents have reported the shapes of their workers:
#: one interval of workers' heartbeats, and the start of an agent.
SHAPES_KNOWN_S = 3.0
#: Seconds that a read of the list of processes waits for news.
NODES_WAIT_S = 2.0
#: Pause after a call to the store that failed.
STORE_PAUSE_S = 0.3


class StoreSilentError(Exception):
    """The store keeps an append waiting; what is asked now is not begun."""


class InfeasibleError(Exception):
    """No worker could run the job; nothing was begun."""


class Leader:
    """One term of leadership; use it through `run`.

    Parameters
    ----------
    settings : ProcessSettings
    journal : Journal
    pool : PeerPool
    term : Term
        What `take_over` returned.
    configuration : FleetConfiguration
    permit_service : PermitService
    """

    def __init__(self, settings, journal, pool, term, configuration, permit_service):
        self.settings = settings
        self.journal = journal
        self.pool = pool
        self.permit_service = permit_service
        self.cell = term.cell
        self.cell.configuration = configuration
        #: Conversation with each agent, by its peer address; None for entries.
        self.links_by_address = {}
        self.store_heard_s = clock.elapsed_s()
        self.sender = OrderSender(self)
        self.committer = Committer(
            settings, journal, term.writer, self.cell, self.sender.perform
        )
        self.epoch = term.writer.epoch
        self._nodes = term.nodes
        self._began_s = clock.now_s()
        self._deposed = asyncio.get_running_loop().create_future()
        self._tasks = set()

    async def run(self):
        """Lead until the term ends.

        Raises
        ------
        DeposedError
            Always, in the end.
        """
        for work in (self.committer.run(), self._tick_loop(), self._nodes_loop()):
            self.spawn(work)
        for record in self._nodes.records_by_key.values():
            self._connect(record)
        try:
            await self._deposed
        finally:
            self.stop()

    def stop(self):
        """End all that this term does."""
        for task in list(self._tasks):
            task.cancel()

    def depose(self, reason):
        """End the term."""
        if not self._deposed.done():
            log_decision("term ends", epoch=self.epoch, reason=reason)
            self._deposed.set_exception(DeposedError(reason))
            self.committer.abandon(reason)

    @property
    def is_deposed(self):
        """Whether the term has ended."""
        return self._deposed.done()

    @property
    def may_grant(self):
        """Whether leases may be granted, as far as a successor will count on it."""
        return self.committer.unconfirmed_s < GRANTS_WITHOUT_STORE_S

    @property
    def is_fresh(self):
        """Whether the store confirmed the term lately."""
        heard_s = max(self.store_heard_s, self.committer.confirmed_s)
        return clock.elapsed_s() - heard_s < FRESH_S

    @property
    def is_confirmed(self):
        """Whether the term goes on and the store takes its appends."""
        is_heard = self.committer.unconfirmed_s < CONFIRMED_S
        is_silent = self.committer.is_store_silent
        return is_heard and not is_silent and not self.is_deposed

    async def resign(self, reason):
        """End the term, and let the other entries know at once."""
        self.depose(reason)
        entries = [a for a, link in self.links_by_address.items() if link is None]
        await asyncio.gather(*(announce_once(self, address) for address in entries))

    def spawn(self, work):
        """Run a coroutine until the term ends; a fault in it ends the term."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._reap)

    def _reap(self, task):
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            error = task.exception()
            reason = f"{type(error).__name__}: {error}"
            if not isinstance(error, DeposedError):
                log_decision("fault", error=reason)
            self.depose(reason)

    def apply(self, event):
        """Feed an event to the reducer; its effects follow the commit."""
        self.committer.hold(reduce(event, self.cell))

    # What callers ask.

    async def submit(self, spec):
        """Accept a job; return once the journal has it.

        Raises
        ------
        StoreSilentError
            Nothing was done, since the store does not answer.
        InfeasibleError
            Nothing was done, since no worker could ever run the job.
        DeposedError
            The term ended before the journal was seen to have it.
        """
        if spec.job_id not in self.cell.jobs_by_id:
            if self.committer.is_store_silent:
                raise StoreSilentError("the store does not answer")
            self._check_feasible(spec)
            self.apply(Submitted(clock.now_s(), spec, clock.wall_ms()))
        await self._settle()
        log_decision("job accepted", job_id=spec.job_id, queue=spec.queue.name)

    def _check_feasible(self, spec):
        if clock.now_s() - self._began_s < SHAPES_KNOWN_S:
            return
        service = self.cell.service_of(spec.queue)
        shapes = self.cell.shapes_by_service.get(service, ())
        obstacle = find_infeasible_step(spec, shapes)
        if obstacle:
            raise InfeasibleError(obstacle)

    async def cancel(self, job_id):
        """Cancel a job; return whether it is known."""
        if job_id not in self.cell.jobs_by_id:
            return False
        self.apply(Cancelled(clock.now_s(), job_id, clock.wall_ms()))
        await self._settle()
        log_decision("job cancelled", job_id=job_id)
        return True

    async def _settle(self):
        if self.is_deposed:
            raise DeposedError("the term is over")
        await self.committer.settle()

    def state_of(self, job_id):
        """Return the committed `JobState` of a job, or None if there is none."""
        return self.committer.committed_by_id.get(job_id)

    def count_pending(self, queue_name):
        """Return how many accepted jobs of a queue have not begun."""
        return sum(
            job.spec.queue.name == queue_name
            and not job.has_begun
            and job.is_open
            and not job.spec.repeat_count
            for job in self.cell.jobs_by_id.values()
        )

    def configure(self, configuration):
        """Let a published version be in force."""
        self.apply(Configured(clock.now_s(), configuration))

    # Time and other processes.

    async def _tick_loop(self):
        while True:
            await asyncio.sleep(TICK_S)
            self.apply(CellTick(clock.now_s(), clock.wall_ms()))
            self.committer.confirm_if_due()

    async def _nodes_loop(self):
        offset = self._nodes.end
        while True:
            try:
                tail = await self.journal.follow(NODES_STREAM, offset, NODES_WAIT_S)
            except JournalTruncatedError:
                offset = await self._reread_nodes(offset)
                continue
            except JournalError as error:
                log_decision("nodes not read", error=str(error))
                await asyncio.sleep(STORE_PAUSE_S)
                continue
            offset = tail.next_offset
            self.store_heard_s = clock.elapsed_s()
            for record in tail.records:
                self._connect(record)

    async def _reread_nodes(self, offset):
        try:
            snapshot = await self.journal.snapshot(NODES_STREAM)
        except JournalError as error:
            log_decision("nodes not read", error=str(error))
            await asyncio.sleep(STORE_PAUSE_S)
            return offset
        for record in snapshot.records_by_key.values():
            self._connect(record)
        return snapshot.end

    def _connect(self, record):
        node = decode_node(record)
        if node is None or node.peer_address in self.links_by_address:
            return
        if node.peer_address == self.settings.peer_address:
            return
        if node.role == FleetRole.AGENT:
            link = AgentLink(self, node.peer_address)
            self.links_by_address[node.peer_address] = link
            self.spawn(link.run())
        elif node.role == FleetRole.ENTRY:
            self.links_by_address[node.peer_address] = None
            self.spawn(announce_periodically(self, node.peer_address))
