"""Forwards callers' requests about jobs from an entry to the leader.

If the leader is unreachable, a request that was not sent is refused at once with a
retry-after time. A request that was sent is retried until the caller's deadline, which
is safe since submissions are idempotent by job id.
"""

import asyncio

import msgspec

from ..decisionlog import log_decision
from ..gen.peer.ttypes import WorkReply, WorkRequest, WorkResult
from ..peer import PeerError, PeerLostError, PeerUnsentError
from . import clock
from .committing import DeposedError
from .jobacceptance import InfeasibleError, StoreUnresponsiveError
from .records import decode_spec

__all__ = ["Forwarder", "Verb", "make_request"]

#: Longest time that a request waits for a leader to be known before it is refused.
LEADER_LOOKUP_TIMEOUT_S = 0.12
#: Interval between lookups of the leader.
LEADER_LOOKUP_INTERVAL_S = 0.03
#: Timeout of one call to the leader before it is retried.
CALL_TIMEOUT_S = 1.0
#: Smallest remaining time in which another attempt is made.
MIN_ATTEMPT_TIMEOUT_S = 0.02
#: Retry-after time of a refused request.
RETRY_AFTER_MS = 1000
#: Retry-after time of an infeasible job, which needs operators to add a kind of worker.
INFEASIBLE_RETRY_AFTER_MS = 30_000


class Verb:
    """Operation of a request about a job or a queue."""

    SUBMIT = "submit"
    CANCEL = "cancel"
    STATE = "state"
    PENDING = "pending"


class Forwarder:
    """Answers the `WorkRequest`s of one entry.

    Parameters
    ----------
    candidate : LeaderCandidate
    pool : PeerPool
    """

    __slots__ = ("_candidate", "_handlers_by_verb", "_pool")

    def __init__(self, candidate, pool):
        self._candidate = candidate
        self._pool = pool
        self._handlers_by_verb = {
            Verb.SUBMIT: self._submit,
            Verb.CANCEL: self._cancel,
            Verb.STATE: self._state,
            Verb.PENDING: self._pending,
        }

    async def ask(self, request):
        """Return the `WorkReply` to a caller's request within its deadline."""
        view = self._candidate.view
        began_s = clock.now_s()
        deadline_s = began_s + request.remaining_ms / 1000
        was_sent = False
        while True:
            remaining_s = deadline_s - clock.now_s()
            if remaining_s < MIN_ATTEMPT_TIMEOUT_S:
                break
            request.remaining_ms = int(remaining_s * 1000)
            asked_epoch = view.epoch
            reply, may_have_run = await self._attempt(request, remaining_s)
            was_sent = was_sent or may_have_run
            if reply is not None and _is_final(reply, was_sent):
                return reply
            if view.epoch > asked_epoch:
                continue
            if not was_sent and clock.now_s() - began_s > LEADER_LOOKUP_TIMEOUT_S:
                break
            await asyncio.sleep(LEADER_LOOKUP_INTERVAL_S)
        if was_sent and request.verb in (Verb.SUBMIT, Verb.CANCEL):
            return WorkReply(WorkResult.UNKNOWN, reason="the leader did not answer")
        return refuse("no leader is known")

    async def _attempt(self, request, remaining_s):
        """Return a reply or None, and whether the request may have been executed."""
        if self._candidate.leader is not None:
            reply = await self.handle(request)
            return reply, reply.result == WorkResult.UNKNOWN
        address = self._candidate.view.current()
        if not address or address == self._candidate.settings.peer_address:
            return None, False
        timeout_s = min(remaining_s, CALL_TIMEOUT_S)
        try:
            reply = await self._call(address, request, timeout_s)
        except PeerUnsentError:
            return None, False
        except PeerError as error:
            log_decision(
                "no reply from the leader",
                job_id=request.job_id,
                verb=request.verb,
                leader=address,
                error=str(error),
            )
            self._pool.replace_connection(address)
            return None, True
        if _is_refusal(reply) and reply.reason == NOT_LEADING:
            return None, False
        return reply, reply.result == WorkResult.UNKNOWN

    async def _call(self, address, request, timeout_s):
        """Return the reply of the leader at ``address``.

        The call is abandoned once another leader is known, since the process at this
        address may have failed without closing its connections.
        """
        sent = asyncio.Event()
        call = asyncio.ensure_future(
            self._pool.call(address, "work", request, timeout_s, sent.set)
        )
        change = asyncio.ensure_future(self._candidate.view.wait_for_change())
        try:
            await asyncio.wait({call, change}, return_when=asyncio.FIRST_COMPLETED)
            if call.done():
                return call.result()
        finally:
            change.cancel()
            call.cancel()
        if sent.is_set():
            raise PeerLostError(f"{address}: another leader is known")
        raise PeerUnsentError(f"{address}: another leader is known")

    async def handle(self, request):
        """Answer a request as the leader, or refuse it if another process leads."""
        leader = self._candidate.leader
        if leader is None or leader.is_deposed:
            return refuse(NOT_LEADING)
        handler = self._handlers_by_verb[request.verb]
        try:
            async with asyncio.timeout(request.remaining_ms / 1000):
                return await handler(leader, request)
        except TimeoutError:
            return WorkReply(WorkResult.UNKNOWN, reason="not committed in time")
        except DeposedError as error:
            return WorkReply(WorkResult.UNKNOWN, reason=str(error))

    async def _submit(self, leader, request):
        try:
            spec = decode_spec(request.spec)
        except msgspec.DecodeError as error:
            return refuse(f"job not understood: {error}")
        try:
            await leader.submit(spec)
        except StoreUnresponsiveError as error:
            return refuse(str(error))
        except InfeasibleError as error:
            return refuse(str(error), INFEASIBLE_RETRY_AFTER_MS)
        return WorkReply(WorkResult.DONE)

    async def _cancel(self, leader, request):
        if await leader.cancel(request.job_id):
            return WorkReply(WorkResult.DONE)
        return await self._deny(leader)

    async def _state(self, leader, request):
        state = leader.state_of(request.job_id)
        if state is None:
            return await self._deny(leader)
        return WorkReply(WorkResult.DONE, state=state.name)

    async def _pending(self, leader, request):
        return WorkReply(WorkResult.DONE, pending=leader.count_pending(request.queue))

    async def _deny(self, leader):
        """Reply that a job does not exist, or refuse if this is not certain."""
        try:
            await leader.confirm_term()
        except StoreUnresponsiveError as error:
            return refuse(str(error))
        return WorkReply(WorkResult.NOT_FOUND)


#: Reason of a refusal by a process that is not the leader.
NOT_LEADING = "not leading"


def refuse(reason, retry_after_ms=RETRY_AFTER_MS):
    """Return the reply to a request that was not executed."""
    return WorkReply(WorkResult.REFUSED, reason=reason, retry_after_ms=retry_after_ms)


def make_request(verb, job_id, queue_name, deadline_ms, spec=b""):
    """Return the `WorkRequest` for a verb."""
    return WorkRequest(verb, job_id, queue_name, spec, deadline_ms)


def _is_final(reply, was_sent):
    """Tell whether a reply goes to the caller instead of causing a retry.

    A refusal of a retry does not tell the outcome of an earlier call that may have been
    executed.
    """
    if reply.result == WorkResult.UNKNOWN:
        return False
    return not (was_sent and _is_refusal(reply))


def _is_refusal(reply):
    return reply.result == WorkResult.REFUSED
