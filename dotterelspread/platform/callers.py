"""HTTP handler of the callers' requests to an entry."""

import math
import time

from ..counters import counters
from ..decisionlog import log_decision
from ..gen.peer.ttypes import WorkResult
from ..h1server import H1Response
from ..jobs.forwarding import Verb, make_request
from ..jobs.records import encode_spec
from ..supervision import log_unexpected
from .jobdocument import (
    DEADLINE_HEADER,
    JobDocumentError,
    encode_pending,
    encode_state,
    is_job_id,
    read_job_document,
)

__all__ = ["CallerHandler"]

#: Deadline of a request without a deadline header.
DEFAULT_DEADLINE_MS = 3000
#: Part of the caller's deadline that is reserved for sending the response.
ANSWER_MARGIN_MS = 60
MIN_DEADLINE_MS = 50
#: Longest deadline; a longer one in the header is cut to it.
MAX_DEADLINE_MS = 600_000
MAX_DEADLINE_DIGITS = 15
_VERBS_BY_METHOD = {"POST": Verb.SUBMIT, "GET": Verb.STATE, "DELETE": Verb.CANCEL}


class CallerHandler:
    """Handles the HTTP requests of callers.

    Parameters
    ----------
    forwarder : Forwarder
    configuration : callable
        Returns the `FleetConfiguration` in force.
    """

    __slots__ = ("_configuration", "_forwarder")

    def __init__(self, forwarder, configuration):
        self._forwarder = forwarder
        self._configuration = configuration

    async def handle(self, request):
        """Return the `H1Response` to an `H1Request`."""
        started_s = time.monotonic()
        configuration = self._configuration()
        if configuration.version < 0:
            return _unavailable(1000)
        queue = configuration.match(request.headers.get("host", ""), request.path)
        if queue is None:
            return H1Response(404)
        verb = _VERBS_BY_METHOD.get(request.method)
        if verb is None:
            return H1Response(405)
        job_id = request.path[len(queue.path_prefix) :]
        if not job_id:
            if verb != Verb.STATE:
                return H1Response(405)
            verb = Verb.PENDING
        elif not is_job_id(job_id):
            return H1Response(400 if verb == Verb.SUBMIT else 410)
        response, reason = await self._forward_safely(request, queue, verb, job_id)
        duration_s = time.monotonic() - started_s
        counters.add("requests", verb=verb, status=response.status)
        counters.observe("request", duration_s, verb=verb)
        if verb != Verb.STATE or response.status != 200:
            log_decision(
                "answered",
                job_id=job_id,
                verb=verb,
                queue=queue.name,
                version=configuration.version,
                status=response.status,
                reason=reason,
                took_ms=round(duration_s * 1000, 1),
            )
        return response

    async def _forward_safely(self, request, queue, verb, job_id):
        try:
            return await self._forward(request, queue, verb, job_id)
        except Exception as error:
            # The request may have reached the leader, so it does not count as refused.
            log_unexpected("caller request", error, job_id=job_id, verb=verb)
            return H1Response(504), "unexpected error"

    async def _forward(self, request, queue, verb, job_id):
        spec = b""
        if verb == Verb.SUBMIT:
            wall_ms = time.time_ns() // 1_000_000
            try:
                document = read_job_document(job_id, queue, request.body, wall_ms)
            except JobDocumentError as error:
                return H1Response(400, str(error).encode(), {}, "text/plain"), "invalid"
            spec = encode_spec(document)
        deadline_ms = _deadline_ms(request)
        work = make_request(verb, job_id, queue.name, deadline_ms, spec)
        reply = await self._forwarder.ask(work)
        return _make_response(verb, reply), reply.reason


def _deadline_ms(request):
    text = request.headers.get(DEADLINE_HEADER, "")
    deadline_ms = DEFAULT_DEADLINE_MS
    if text.isdecimal() and text.isascii():
        deadline_ms = int(text[:MAX_DEADLINE_DIGITS])
    deadline_ms = min(MAX_DEADLINE_MS, deadline_ms)
    return max(MIN_DEADLINE_MS, deadline_ms - ANSWER_MARGIN_MS)


def _make_response(verb, reply):
    if reply.result == WorkResult.DONE:
        if verb == Verb.STATE:
            return H1Response(200, encode_state(reply.state))
        if verb == Verb.PENDING:
            return H1Response(200, encode_pending(reply.pending))
        return H1Response(200)
    if reply.result == WorkResult.NOT_FOUND:
        return H1Response(410)
    if reply.result == WorkResult.REFUSED:
        return _unavailable(reply.retry_after_ms)
    return H1Response(504)


def _unavailable(retry_after_ms):
    seconds = max(1, math.ceil((retry_after_ms or 1000) / 1000))
    return H1Response(503, headers={"Retry-After": str(seconds)})
