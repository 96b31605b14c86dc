"""Polls the worker of an agent: renews its lease and lists its runs."""

import asyncio
from contextlib import suppress

from ..decisionlog import log_decision
from .pacesending import send_paces
from .strayruns import stop_stray_runs
from .workeradapter import WorkerReplyError

__all__ = ["WorkerPoller"]

#: Longest time that a worker waits for the end of a run before it lists its runs.
LISTING_POLL_TIMEOUT_MS = 500
#: Timeouts of the first attempts of a call to what may be another incarnation, which
#: takes calls to earlier ones until one attempt is executed. The last attempt has the
#: timeout of the adapter. The first one is shorter than a busy worker may take.
SHORT_ATTEMPT_TIMEOUTS_S = (0.02, 0.11, 0.17)
#: Longest wait for the leader to acknowledge ended runs before they are listed again.
ACKNOWLEDGEMENT_TIMEOUT_S = 0.3


class _InterruptedError(Exception):
    """A call was given up, since the worker has to be called under another session."""


class WorkerPoller:
    """Loop of one agent, with one call to the worker at a time.

    Parameters
    ----------
    agent : Agent
    """

    __slots__ = ("_agent", "_has_failed", "_heartbeat", "_is_interrupted", "_waiting")

    def __init__(self, agent):
        self._agent = agent
        #: Whether the latest call got no lists.
        self._has_failed = False
        self._heartbeat = asyncio.Event()
        #: Call that waits for the end of a run; None if there is none.
        self._waiting = None
        self._is_interrupted = False

    def interrupt(self):
        """Give up a call that waits for the end of a run, and make the next one."""
        if self._waiting is not None:
            self._is_interrupted = True
            self._waiting.cancel()

    def wake(self):
        """End a wait for the next attempt, since a heartbeat shows that it is up."""
        self._heartbeat.set()

    async def run(self):
        """Poll the worker indefinitely."""
        while True:
            await self._poll()

    async def _poll(self):
        agent = self._agent
        worker_id, born_ms = agent.worker_id, agent.born_ms
        session_number = agent.session.number
        listed_ms = agent.clock_ms()
        try:
            listing = await self._call(worker_id)
        except _InterruptedError:
            return
        except WorkerReplyError as error:
            self._has_failed = True
            agent.handle_failure(error)
            await self._wait_to_retry()
            return
        self._has_failed = False
        agent.session.accept()
        if worker_id != agent.worker_id:
            return
        if born_ms != agent.born_ms and agent.is_other_incarnation(listing.born_ms):
            # The reply may be the last one of an incarnation that has ended meanwhile.
            return
        if agent.listing is None or agent.is_other_incarnation(listing.born_ms):
            self._log_first_listing(listing, session_number)
        agent.apply_listing(listing, listed_ms)
        if session_number == agent.session.number:
            agent.bound_residual_lease()
        await stop_stray_runs(agent)
        await send_paces(agent)
        if agent.ended.by_number:
            # Unless a leader acknowledges the ends in time, the runs are listed again.
            await agent.ended.wait_acknowledged(ACKNOWLEDGEMENT_TIMEOUT_S)

    async def _call(self, worker_id):
        """Return the worker's lists, by several attempts if it may have restarted."""
        for timeout_s in SHORT_ATTEMPT_TIMEOUTS_S if self._is_urgent() else ():
            with suppress(TimeoutError):
                async with asyncio.timeout(timeout_s):
                    return await self._hold(worker_id)
        return await self._hold(worker_id)

    async def _hold(self, worker_id):
        agent = self._agent
        until_ms, seen = 0, 0
        if agent.is_in_session:
            until_ms, seen = agent.lease_until_ms(), agent.acknowledged_number()
        token = agent.session.token
        wait_ms = self._wait_ms()
        call = agent.adapter.hold(worker_id, token, seen, until_ms, wait_ms)
        return await (self._wait_for(call) if wait_ms else call)

    async def _wait_for(self, call):
        """Return what a call returns, unless it is interrupted."""
        self._is_interrupted = False
        self._waiting = asyncio.ensure_future(call)
        try:
            return await self._waiting
        except asyncio.CancelledError:
            if self._is_interrupted:
                raise _InterruptedError from None
            raise
        finally:
            self._waiting = None

    def _wait_ms(self):
        """Return how long the worker waits for the end of a run before it replies."""
        return 0 if self._is_urgent() else LISTING_POLL_TIMEOUT_MS

    def _is_urgent(self):
        """Tell whether a reply is needed at once.

        Nothing is known of an incarnation before its first listing, another one may
        answer after a failure, and calls to earlier ones may change it before the first
        call under its own session.
        """
        agent = self._agent
        is_fenced = agent.residual_lease.is_bounded
        return agent.listing is None or self._has_failed or not is_fenced

    async def _wait_to_retry(self):
        self._heartbeat.clear()
        with suppress(TimeoutError):
            async with asyncio.timeout(self._agent.retry_interval_s()):
                await self._heartbeat.wait()

    def _log_first_listing(self, listing, session_number):
        """Log the first lists of an incarnation."""
        log_decision(
            "incarnation listed",
            worker_id=self._agent.worker_id,
            born_ms=listing.born_ms,
            known_born_ms=self._agent.born_ms,
            session=session_number,
            worker_clock_ms=listing.clock_ms,
            runs=len(listing.running),
        )
