"""Agent of a worker: renews the worker's lease, tracks its runs and follows one leader.

It extends the worker's lease no further than the leader grants and rejects leaders of
earlier epochs. `orderhandler` executes orders, `watchreply` builds the reports.
"""

import asyncio

from ..counters import counters
from ..decisionlog import log_decision
from . import clock
from .leasegrant import LeaseGrant
from .pacing import FillerPacer
from .paircost import CostEstimate
from .watchreply import build_watch_reply
from .workeradapter import WorkerReplyError

__all__ = ["Agent"]

#: Longest time that a worker waits for the end of a run before it lists its runs.
LISTING_POLL_TIMEOUT_MS = 500
#: Delay before a failed call to the worker is retried.
HOLD_RETRY_INTERVAL_S = 0.2
#: Time without a reply after which the worker is reported as unreachable.
WORKER_TIMEOUT_S = 1.0
#: Longest wait for the leader to acknowledge ended runs before they are listed again.
ACKNOWLEDGEMENT_TIMEOUT_S = 0.3
#: Number of tasks that are not running whose traits are kept.
MAX_IDLE_TASK_TRAITS = 500


class Agent:
    """State of an agent, with its calls to the worker and from the leader.

    Parameters
    ----------
    adapter : WorkerAdapter
    max_lease_ms : int
        Longest lease that the worker grants.
    clock_ms : callable
        The agent's clock, which must include suspensions of the instance.
    """

    def __init__(self, adapter, max_lease_ms, clock_ms=clock.boottime_ms):
        self.adapter = adapter
        self.clock_ms = clock_ms
        #: Latest `Announcement` of the worker; None before the first.
        self.announcement = None
        #: Latest heartbeat of another worker than the current one; None if none.
        self._successor = None
        #: Start time of the incarnation of `listing` and `ended_by_number`.
        self.born_ms = 0
        self.listing = None
        self.listed_ms = 0
        self.ended_by_number = {}
        #: Number up to which the leader has acknowledged ended runs.
        self.seen = 0
        self.epoch = 0
        self.grant = LeaseGrant(max_lease_ms, clock_ms)
        #: Lower bound of the worker's clock minus the agent's; None if unknown.
        self.clock_offset_ms = None
        self.is_reachable = False
        #: Whether the worker has announced its shutdown, and whether it has ended.
        self.is_leaving = self.has_left = False
        self.answered_ms = clock_ms()
        self.version = 1
        self.traits_by_task = {}
        self.pacer = FillerPacer()
        self.costs_by_pair = {}
        self._changed = asyncio.Event()
        self._acknowledged = asyncio.Event()

    # Heartbeats and replies of the worker.

    def announce(self, announcement):
        """Apply a heartbeat; return False if it does not take effect now."""
        current = self.announcement
        if current is not None and announcement.worker_id != current.worker_id:
            if self.is_reachable:
                # Taken up once the current worker fails: it may come from a stranger.
                self._successor = announcement
                return False
            is_newer = announcement.born_ms >= current.born_ms
            has_answered = self.listing is not None
            if has_answered and not is_newer:
                return False
        elif current is not None and not _is_newer(announcement, current):
            return False
        self._adopt(announcement)
        return True

    def _adopt(self, announcement):
        current = self.announcement
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
            self._increment_version()

    def leave(self, worker_id):
        """Record that the worker is shutting down; a failed call confirms its end."""
        if self.announcement is not None and self.announcement.worker_id == worker_id:
            self.is_leaving = True
            log_decision("worker leaves", worker_id=worker_id, born_ms=self.born_ms)

    def apply_listing(self, listing, listed_ms):
        """Apply the lists of running and ended runs, requested at ``listed_ms``."""
        if self.announcement is not None and listing.born_ms > self.born_ms:
            self._begin_incarnation(listing.born_ms)
        self.answered_ms = self.clock_ms()
        self.observe_clock(listing.clock_ms)
        self.listing = listing
        self.listed_ms = listed_ms
        is_changed = not self.is_reachable
        self.is_reachable = True
        for end in listing.ended:
            if end.number > self.seen and end.number not in self.ended_by_number:
                self.ended_by_number[end.number] = end
                is_changed = True
        if is_changed:
            self._increment_version()
        self._discard_idle_traits()

    def _discard_idle_traits(self):
        if len(self.traits_by_task) <= MAX_IDLE_TASK_TRAITS + len(self.listing.running):
            return
        running = {row.task_id for row in self.listing.running}
        for task_id in [t for t in self.traits_by_task if t not in running]:
            del self.traits_by_task[task_id]

    def _begin_incarnation(self, born_ms):
        self.born_ms = born_ms
        self._successor = None
        self.listing = None
        self.listed_ms = 0
        self.pacer = FillerPacer()
        self.ended_by_number.clear()
        self.seen = 0
        self.clock_offset_ms = None
        self.is_reachable = False
        self.is_leaving = self.has_left = False
        self._increment_version()

    def _increment_version(self):
        self.version += 1
        self._changed.set()
        self._changed = asyncio.Event()

    async def run(self):
        """Renew the worker's lease and refresh its lists indefinitely."""
        while True:
            await self._hold_once()

    async def _hold_once(self):
        worker_id = self.announcement.worker_id if self.announcement else ""
        listed_ms = self.clock_ms()
        until_ms = self.lease_until_ms()
        # Nothing is known of an incarnation before its first listing.
        wait_ms = LISTING_POLL_TIMEOUT_MS if self.listing is not None else 0
        try:
            listing = await self.adapter.hold(
                worker_id, self.epoch, self.seen, until_ms, wait_ms
            )
        except WorkerReplyError as error:
            self._handle_hold_failure(error)
            await asyncio.sleep(HOLD_RETRY_INTERVAL_S)
            return
        if worker_id and self.announcement.worker_id != worker_id:
            return
        self.apply_listing(listing, listed_ms)
        await self._pace()
        if self.ended_by_number:
            self._acknowledged.clear()
            try:
                async with asyncio.timeout(ACKNOWLEDGEMENT_TIMEOUT_S):
                    await self._acknowledged.wait()
            except TimeoutError:
                # No leader has acknowledged the ends in time; list the runs again.
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
        calls = [
            self.adapter.pace(worker_id, self.epoch, c.task_id, c.run, c.percent)
            for c in changes
        ]
        for result in await asyncio.gather(*calls, return_exceptions=True):
            if isinstance(result, WorkerReplyError):
                log_decision(
                    "worker did not confirm a new pace; all paces will be sent again",
                    error=str(result),
                )
                # Forces all paces to be sent again.
                self.pacer.pace_by_run.clear()
            elif isinstance(result, BaseException):
                raise result

    def _handle_hold_failure(self, error):
        counters.add("silent_holds")
        if self.is_leaving and not self.has_left:
            self.has_left = True
            self.is_reachable = False
            log_decision("worker left", born_ms=self.born_ms, error=str(error))
            self._increment_version()
        silent_ms = self.clock_ms() - self.answered_ms
        if self.is_reachable and silent_ms > WORKER_TIMEOUT_S * 1000:
            self.is_reachable = False
            log_decision("worker unreachable", silent_ms=silent_ms, error=str(error))
            self._increment_version()
        if self._successor is not None:
            self._adopt(self._successor)

    def lease_until_ms(self):
        """Return the granted end of the lease on the worker's clock; 0 if unknown."""
        return self.to_worker_clock(self.grant.until_ms)

    def to_worker_clock(self, until_ms):
        """Convert a time from the agent's to the worker's clock; 0 if unknown."""
        if self.clock_offset_ms is None or not until_ms:
            return 0
        return max(0, until_ms + self.clock_offset_ms)

    def observe_clock(self, worker_clock_ms):
        """Update the clock offset from a reply that has just arrived."""
        self.clock_offset_ms = worker_clock_ms - self.clock_ms()

    # Calls of the leader.

    def accepts(self, epoch):
        """Follow the leader of this epoch, or return False if the epoch is outdated."""
        if epoch < self.epoch:
            return False
        if epoch > self.epoch:
            log_decision("leader accepted", epoch=epoch, earlier_epoch=self.epoch)
            self.epoch = epoch
        return True

    async def watch(self, query):
        """Answer the leader's long poll after a change or at the end of the wait."""
        if not self.accepts(query.epoch):
            return self._reply()
        self.grant.extend(query.grant_until_ms)
        if query.born_ms == self.born_ms and query.seen > self.seen:
            self._discard_acknowledged_ends(query.seen)
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
                # Nothing changed; the reply still carries the running tasks.
                return self._reply()
        return self._reply()

    def _discard_acknowledged_ends(self, seen):
        self.seen = seen
        for number in [n for n in self.ended_by_number if n <= seen]:
            del self.ended_by_number[number]
        self._acknowledged.set()

    def _reply(self):
        return build_watch_reply(self)


def _is_newer(announcement, current):
    return (announcement.born_ms, announcement.sequence) > (
        current.born_ms,
        current.sequence,
    )
