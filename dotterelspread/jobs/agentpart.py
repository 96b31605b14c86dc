"""Agent of a worker: renews the worker's lease, tracks its runs and follows one leader.

It extends the worker's lease no further than the leader grants and rejects leaders of
earlier epochs. `workerpolling` calls the worker, `orderhandler` executes orders and
`watchreply` builds the reports.
"""

import asyncio

from ..counters import counters
from ..decisionlog import log_decision
from . import clock
from .announcements import AnnouncementFilter
from .departure import Departure
from .endedruns import EndedRuns
from .leasegrant import LeaseGrant
from .pacing import FillerPacer
from .pacingfacts import PacingFacts
from .replybounds import CheckpointRotation
from .residuallease import ResidualLease
from .watchreply import build_watch_reply
from .workeradapter import WorkerFencedError, WorkerGoneError
from .workerclock import WorkerClock
from .workerpolling import WorkerPoller
from .workersession import WorkerSession

__all__ = ["Agent"]

#: Time without a reply after which the worker is reported as unreachable.
WORKER_TIMEOUT_S = 1.0
#: Time without a poll of the leader after which an agent competes with no other process
#: for its worker; polls follow each other within 0.7 s.
LEADER_TIMEOUT_MS = 2000


class Agent:
    """State of an agent, with its calls to the worker and from the leader.

    Parameters
    ----------
    adapter : WorkerAdapter
    max_lease_ms : int
        Longest lease that the worker grants.
    clock_ms : callable
        The agent's clock, which must include suspensions of the instance.
    wall_clock_ms : callable
        Time of day, which the restart of a process or of the instance does not reset.
    """

    def __init__(
        self,
        adapter,
        max_lease_ms,
        clock_ms=clock.boottime_ms,
        wall_clock_ms=clock.wall_ms,
    ):
        self.adapter = adapter
        self.clock_ms = clock_ms
        self._announcements = AnnouncementFilter()
        #: Start time of the incarnation of `listing` and `ended`.
        self.born_ms = 0
        #: Whether it has announced itself; its kind is unknown until then.
        self.is_announced = False
        self.listing = None
        self.listed_ms = 0
        self.ended = EndedRuns()
        self._wall_clock_ms = wall_clock_ms
        self.session = WorkerSession(wall_clock_ms())
        self.grant = LeaseGrant(max_lease_ms, clock_ms)
        self._max_lease_ms = max_lease_ms
        self.residual_lease = ResidualLease(max_lease_ms, clock_ms)
        #: Task id and number of the runs that calls to an earlier incarnation may have
        #: started in this one.
        self.early_runs = frozenset()
        self.worker_clock = WorkerClock(clock_ms)
        self.is_reachable = False
        #: Whether the leader says that operators have evacuated the data centre.
        self.is_evacuated = False
        #: When the worker is no longer cold, by its latest heartbeat.
        self.cold_until_ms = 0
        self.departure = Departure()
        #: When a start last got no answer, which the worker may still execute. An
        #: earlier process of the agent may have sent one.
        self.start_unanswered_ms = clock_ms()
        self.answered_ms = clock_ms()
        #: When the leader last polled this agent.
        self._polled_ms = 0
        self.version = 1
        self.pacing_facts = PacingFacts()
        self.pacer = FillerPacer()
        self.checkpoint_rotation = CheckpointRotation()
        self._poller = WorkerPoller(self)
        self._changed = asyncio.Event()

    # Heartbeats and replies of the worker.

    def announce(self, announcement):
        """Apply a heartbeat; return False if it does not take effect now."""
        self._poller.wake()
        listed_born_ms = self.listing.born_ms if self.listing else None
        takes_effect = self._announcements.accepts(announcement, listed_born_ms)
        if takes_effect:
            self._adopt(announcement)
        return takes_effect

    @property
    def announcement(self):
        """Latest `Announcement` of the worker; None before the first."""
        return self._announcements.current

    @property
    def epoch(self):
        """Epoch of the leader that this agent follows."""
        return self.session.epoch

    @property
    def is_in_session(self):
        """Whether calls may change what the worker that was listed last runs."""
        return self.listing is not None and self.session.is_confirmed

    @property
    def worker_id(self):
        """Id of the announced worker; empty before the first heartbeat."""
        return self.announcement.worker_id if self.announcement else ""

    def _adopt(self, announcement):
        current = self.announcement
        born_ms = announcement.born_ms or self.born_ms
        is_new_incarnation = current is None or (
            (current.worker_id, self.born_ms) != (announcement.worker_id, born_ms)
        )
        is_changed = self._announcements.adopt(announcement)
        if is_new_incarnation:
            self._begin_incarnation(announcement.born_ms)
        self.is_announced = True
        self.cold_until_ms = self.clock_ms() + announcement.cold_ms
        if is_changed:
            self._increment_version()

    def leave(self, worker_id, born_ms=0):
        """Record that the worker says that it shuts down; it may live on.

        Parameters
        ----------
        worker_id : str
        born_ms : int
            Start time of the incarnation that shuts down; 0 if unknown.
        """
        is_known = self.announcement and self.announcement.worker_id == worker_id
        if is_known and not (self.born_ms and self.is_other_incarnation(born_ms)):
            self.departure.announce(self.clock_ms())
            self._increment_version()
            log_decision("worker leaves", worker_id=worker_id, born_ms=self.born_ms)
        else:
            log_decision("shutdown ignored", worker_id=worker_id, born_ms=born_ms)

    def apply_listing(self, listing, listed_ms):
        """Apply the lists of running and ended runs, requested at ``listed_ms``."""
        self._apply_born(listing.born_ms)
        self.answered_ms = self.clock_ms()
        self.worker_clock.observe(listing.clock_ms)
        self.listing = listing
        self.listed_ms = listed_ms
        has_returned = self.departure.observe_answer(listed_ms)
        has_ended_runs = self.ended.add(listing.ended)
        if has_returned or has_ended_runs or not self.is_reachable:
            self._increment_version()
        self.is_reachable = True
        self.pacing_facts.discard_idle(listing.running)

    def bound_residual_lease(self):
        """Record that the latest lists are of a call under the session's own token."""
        if not self.residual_lease.is_bounded:
            self.residual_lease.bound()
            self.early_runs = frozenset(
                (row.task_id, row.run) for row in self.listing.running
            )

    def _unbound_residual_lease(self):
        """Record that the worker may have taken calls to earlier incarnations."""
        self.residual_lease = ResidualLease(self._max_lease_ms, self.clock_ms)
        self.early_runs = frozenset()

    def _apply_born(self, born_ms):
        """Begin the incarnation that a list of the worker names."""
        if self.announcement is None or not born_ms:
            return
        if self.is_other_incarnation(born_ms):
            # The worker that answers is the current one, whatever its start time.
            is_announced = self.is_announced and not self.born_ms
            self._begin_incarnation(born_ms)
            # A heartbeat without a start time may be of this incarnation.
            self.is_announced = is_announced
        successor = self._announcements.successor
        if successor is not None and self._is_this_incarnation(successor):
            self._adopt(successor)

    def is_other_incarnation(self, born_ms):
        """Tell whether a start time is not that of the present incarnation."""
        return born_ms not in (0, self.born_ms)

    def _is_this_incarnation(self, announcement):
        return (
            announcement.worker_id == self.announcement.worker_id
            and announcement.born_ms == self.born_ms
        )

    def _begin_incarnation(self, born_ms):
        self.born_ms = born_ms
        self.is_announced = False
        self.listing = None
        self.listed_ms = 0
        self.pacer = FillerPacer()
        self.ended.clear()
        self.worker_clock = WorkerClock(self.clock_ms)
        self.session.begin_next()
        self._unbound_residual_lease()
        self.is_reachable = False
        self.departure = Departure()
        self._increment_version()

    def _increment_version(self):
        self.version += 1
        self._changed.set()
        self._changed = asyncio.Event()

    async def run(self):
        """Renew the worker's lease and refresh its lists indefinitely."""
        await self._poller.run()

    def acknowledged_number(self):
        """Return the number up to which the worker may discard ends; 0 if it has.

        A late call must not acknowledge ends of a later incarnation.
        """
        number = self.ended.acknowledged
        is_due = any(end.number <= number for end in self.listing.ended)
        return number if is_due else 0

    def handle_failure(self, error):
        """Apply a poll of the worker that returned no lists."""
        counters.add("silent_holds")
        now_ms = self.clock_ms()
        if isinstance(error, WorkerFencedError):
            counters.add("fenced_holds")
            if now_ms - self._polled_ms <= LEADER_TIMEOUT_MS:
                # Without a leader, another process of this agent may have its place.
                self.pass_refused_session()
                self._increment_version()
        if self.departure.observe_failure(error, now_ms):
            self.is_reachable = False
            # Another incarnation answers the next call.
            self.session.begin_next()
            log_decision(
                "worker gone",
                born_ms=self.born_ms,
                has_left=self.departure.has_left,
                error=str(error),
            )
            self._increment_version()
        silent_ms = now_ms - self.answered_ms
        if self.is_reachable and silent_ms > WORKER_TIMEOUT_S * 1000:
            self.is_reachable = False
            log_decision("worker unreachable", silent_ms=silent_ms, error=str(error))
            self._increment_version()
        successor = self._announcements.successor
        is_gone = isinstance(error, WorkerGoneError) or not self.is_reachable
        if successor is not None and is_gone:
            self._adopt_other(successor)

    def _adopt_other(self, successor):
        # The same worker's next incarnation is taken up when it answers.
        if successor.worker_id != self.worker_id:
            self._adopt(successor)

    def retry_interval_s(self):
        """Return the delay before a failed call to the worker is retried."""
        return self.departure.retry_interval_s(
            self.clock_ms(), self.start_unanswered_ms
        )

    def lease_until_ms(self):
        """Return the granted end of the lease on the worker's clock; 0 if none."""
        if self.grant.until_ms <= self.clock_ms():
            # A later incarnation might take an end that is over for a time to come.
            return 0
        return self.worker_clock.convert(self.grant.until_ms)

    # Calls of the leader.

    def accepts(self, epoch):
        """Follow the leader of this epoch, or return False if the epoch is outdated."""
        if epoch < self.epoch:
            return False
        if epoch > self.epoch:
            log_decision("leader accepted", epoch=epoch, earlier_epoch=self.epoch)
            self.session.follow(epoch)
        return True

    def confirm_session(self, number):
        """Apply the latest session that the leader has heard of; None if unknown."""
        if self.session.confirm(number):
            self._unbound_residual_lease()
            # Until the next call, the worker takes calls to earlier incarnations.
            self._poller.interrupt()

    def pass_refused_session(self):
        """Begin a later session after the worker has refused the token as outdated."""
        self.session.pass_refused(self._wall_clock_ms())
        self._unbound_residual_lease()

    async def watch(self, query):
        """Answer the leader's long poll after a change or at the end of the wait."""
        if not self.accepts(query.epoch):
            return self._reply(query)
        self._polled_ms = self.clock_ms()
        self.confirm_session(query.session)
        self._note_evacuation(query)
        self.grant.extend(query.grant_until_ms)
        # What the leader has acknowledged makes room in the reply for later ends.
        has_next_ends = self._acknowledge_ends(query) and bool(self.ended.by_number)
        self.pacing_facts.apply(query)
        if self.version <= query.version and query.wait_ms and not has_next_ends:
            try:
                async with asyncio.timeout(query.wait_ms / 1000):
                    await self._changed.wait()
            except TimeoutError:
                # Nothing changed; the reply still carries the running tasks.
                return self._reply(query)
        return self._reply(query)

    def _acknowledge_ends(self, query):
        """Discard acknowledged ends; tell whether any are newly acknowledged."""
        is_this_incarnation = query.born_ms == self.born_ms
        return is_this_incarnation and self.ended.acknowledge(query.seen)

    def _note_evacuation(self, query):
        if query.evacuated is None and not query.version:
            # The leader does not know yet which worker this is.
            return
        is_evacuated = bool(query.evacuated)
        if is_evacuated != self.is_evacuated:
            self.is_evacuated = is_evacuated
            log_decision("evacuation learned", is_evacuated=is_evacuated)

    def _reply(self, query):
        return build_watch_reply(self, bool(query.accepts_partial_ends))
