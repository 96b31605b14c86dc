"""The agent beside a worker: keeps its lease and lists, follows one leader.

It keeps the worker's lease no longer than the leader allows, and refuses leaders of
earlier epochs; `orderhandler` carries out orders, `watchreply` makes the reports.
"""

import asyncio

from ..counters import counters
from ..decisionlog import log_decision
from . import clock
from .pacing import FillerPacer
from .paircost import CostEstimate
from .watchreply import build_watch_reply
from .workeredge import WorkerSilentError

__all__ = ["Agent"]

#: Times that an order is sent before its outcome is given as unknown.
ORDER_TRIES = 3
#: Time that a worker may wait for an end before it lists its runs.
LIST_WAIT_MS = 500
#: Pause after a call that the worker did not answer.
SILENCE_PAUSE_S = 0.2
#: Silence after which the worker is reported as unreachable.
SILENCE_S = 1.0
#: Longest wait for the leader to take note of ends before they are listed again.
NOTE_WAIT_S = 0.3
#: Traits of tasks that do not run which are kept before they are cleared.
MAX_SPARE_TRAITS = 500


class Agent:
    """The state and the calls of an agent.

    Parameters
    ----------
    edge : WorkerEdge
    max_lease_ms : int
        Longest lease that the worker grants.
    clock_ms : callable
        The agent's clock; it must also count while the instance is suspended.
    """

    def __init__(self, edge, max_lease_ms, clock_ms=clock.boottime_ms):
        self.edge = edge
        self.max_lease_ms = max_lease_ms
        self.clock_ms = clock_ms
        #: Latest `Announcement` of the worker; None before the first.
        self.announcement = None
        #: Start of the incarnation that `listing` and the ends belong to.
        self.born_ms = 0
        self.listing = None
        self.listed_ms = 0
        self.ended_by_number = {}
        #: Number up to which the leader has taken note of ends.
        self.seen = 0
        self.epoch = 0
        #: Agent's clock up to which the leader grants leases.
        self.grant_until_ms = 0
        #: Worker's clock less the agent's, at most; None before it is known.
        self.clock_offset_ms = None
        self.is_reachable = False
        #: Whether the worker said that it ends now, and whether it has.
        self.is_leaving = False
        self.has_left = False
        self.answered_ms = clock_ms()
        self.version = 1
        self.traits_by_task = {}
        self.pacer = FillerPacer()
        self.costs_by_pair = {}
        self._changed = asyncio.Event()
        self._noted = asyncio.Event()

    # What the worker says.

    def announce(self, announcement):
        """Take a heartbeat; return whether it is news of the present worker."""
        current = self.announcement
        if current is not None and not _is_newer(announcement, current):
            return False
        is_new_incarnation = current is None or (
            (current.worker_id, current.born_ms)
            != (announcement.worker_id, announcement.born_ms)
        )
        was_draining = current is not None and current.is_draining
        self.announcement = announcement
        if is_new_incarnation:
            self._begin_incarnation(announcement.born_ms)
        if is_new_incarnation or announcement.is_draining != was_draining:
            log_decision(
                "worker announced",
                worker_id=announcement.worker_id,
                born_ms=announcement.born_ms,
                sequence=announcement.sequence,
                is_draining=announcement.is_draining,
            )
            self._bump()
        return True

    def leave(self, worker_id):
        """Take the worker's word that it ends now; a call that fails proves it."""
        if self.announcement is not None and self.announcement.worker_id == worker_id:
            self.is_leaving = True
            log_decision("worker leaves", worker_id=worker_id, born_ms=self.born_ms)

    def take_listing(self, listing, listed_ms):
        """Take the worker's two lists, asked for at ``listed_ms``."""
        if self.announcement is not None and listing.born_ms > self.born_ms:
            self._begin_incarnation(listing.born_ms)
        self.answered_ms = self.clock_ms()
        self.observe_clock(listing.clock_ms)
        self.listing = listing
        self.listed_ms = listed_ms
        has_news = not self.is_reachable
        self.is_reachable = True
        for end in listing.ended:
            if end.number > self.seen and end.number not in self.ended_by_number:
                self.ended_by_number[end.number] = end
                has_news = True
        if has_news:
            self._bump()
        self._forget_traits()

    def _forget_traits(self):
        if len(self.traits_by_task) <= MAX_SPARE_TRAITS + len(self.listing.running):
            return
        running = {row.task_id for row in self.listing.running}
        for task_id in [t for t in self.traits_by_task if t not in running]:
            del self.traits_by_task[task_id]

    def _begin_incarnation(self, born_ms):
        self.born_ms = born_ms
        self.listing = None
        self.listed_ms = 0
        self.pacer = FillerPacer()
        self.ended_by_number.clear()
        self.seen = 0
        self.clock_offset_ms = None
        self.is_reachable = False
        self.is_leaving = False
        self.has_left = False
        self._bump()

    def _bump(self):
        self.version += 1
        self._changed.set()
        self._changed = asyncio.Event()

    async def run(self):
        """Keep the worker's lease and lists up to date, for good."""
        while True:
            await self._hold_once()

    async def _hold_once(self):
        worker_id = self.announcement.worker_id if self.announcement else ""
        listed_ms = self.clock_ms()
        until_ms = self.lease_until_ms()
        try:
            listing = await self.edge.hold(
                worker_id, self.epoch, self.seen, until_ms, LIST_WAIT_MS
            )
        except WorkerSilentError as error:
            self._note_silence(error)
            await asyncio.sleep(SILENCE_PAUSE_S)
            return
        if worker_id and self.announcement.worker_id != worker_id:
            return
        self.take_listing(listing, listed_ms)
        await self._pace()
        if self.ended_by_number:
            self._noted.clear()
            try:
                async with asyncio.timeout(NOTE_WAIT_S):
                    await self._noted.wait()
            except TimeoutError:
                # No leader took note in time: list again all the same.
                return

    async def _pace(self):
        changes = self.pacer.update(
            self.announcement.capacity.millicores if self.announcement else 0,
            self.listing.running,
            self.traits_by_task,
            self.costs_by_pair,
        )
        if not changes:
            return
        counters.add("paces", len(changes))
        log_decision(
            "fillers paced",
            changes=[[c.task_id, c.run, c.percent] for c in changes],
            looks_above=self.pacer.samples_above_target,
        )
        worker_id = self.announcement.worker_id if self.announcement else ""
        work = [
            self.edge.pace(worker_id, self.epoch, c.task_id, c.run, c.percent)
            for c in changes
        ]
        for result in await asyncio.gather(*work, return_exceptions=True):
            if isinstance(result, WorkerSilentError):
                log_decision("pace unanswered", error=str(result))
                # All are told again.
                self.pacer.pace_by_run.clear()
            elif isinstance(result, BaseException):
                raise result

    def _note_silence(self, error):
        counters.add("silent_holds")
        if self.is_leaving and not self.has_left:
            self.has_left = True
            self.is_reachable = False
            log_decision("worker left", born_ms=self.born_ms, error=str(error))
            self._bump()
        silent_ms = self.clock_ms() - self.answered_ms
        if self.is_reachable and silent_ms > SILENCE_S * 1000:
            self.is_reachable = False
            log_decision("worker unreachable", silent_ms=silent_ms, error=str(error))
            self._bump()

    def lease_until_ms(self):
        """Return the granted end of the lease on the worker's clock; 0 if not known."""
        if self.clock_offset_ms is None or not self.grant_until_ms:
            return 0
        return max(0, self.grant_until_ms + self.clock_offset_ms)

    def observe_clock(self, worker_clock_ms):
        """Take the worker's clock from an answer that has just come."""
        self.clock_offset_ms = worker_clock_ms - self.clock_ms()

    # What the leader says.

    def accepts(self, epoch):
        """Tell whether a leader of this epoch is to be followed, and follow it."""
        if epoch < self.epoch:
            return False
        if epoch > self.epoch:
            log_decision("leader accepted", epoch=epoch, earlier_epoch=self.epoch)
            self.epoch = epoch
        return True

    async def watch(self, query):
        """Answer the leader once there is news, or its wait is over."""
        if not self.accepts(query.epoch):
            return self._reply()
        self.extend(query.grant_until_ms)
        if query.born_ms == self.born_ms and query.seen > self.seen:
            self._forget_ends(query.seen)
        for traits in query.traits or ():
            self.traits_by_task[traits.task_id] = traits
        for cost in query.costs or ():
            estimate = CostEstimate(cost.per_core, cost.uncertainty)
            pair = (cost.serving_image, cost.filler_image)
            self.costs_by_pair[pair] = estimate
        if self.version <= query.version and query.wait_ms:
            try:
                async with asyncio.timeout(query.wait_ms / 1000):
                    await self._changed.wait()
            except TimeoutError:
                # Nothing is new; the reply shows what runs.
                return self._reply()
        return self._reply()

    def extend(self, grant_until_ms):
        """Take a leader's grant of lease, a time on the agent's clock."""
        self.grant_until_ms = max(self.grant_until_ms, grant_until_ms)

    def _forget_ends(self, seen):
        self.seen = seen
        for number in [n for n in self.ended_by_number if n <= seen]:
            del self.ended_by_number[number]
        self._noted.set()

    def _reply(self):
        return build_watch_reply(self)


def _is_newer(announcement, current):
    if announcement.worker_id != current.worker_id:
        return announcement.born_ms >= current.born_ms
    return (announcement.born_ms, announcement.sequence) > (
        current.born_ms,
        current.sequence,
    )
