"""HTTP handlers for callers: requests to services, and jobs."""

import hashlib
import itertools
from dataclasses import dataclass

import msgspec
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from .callerrequest import CallerRequestError, read_headers
from .configuration import Urgency
from .httpbody import BodyError, read_body
from .httpproblem import (
    error_response,
    faults_from_error,
    problem_response,
    refusal_from_error,
)
from .jobrequest import read_job
from .outcome import Completed, Outcome, RefusalReason, Refused
from .telemetry import EXPOSITION_TYPE

__all__ = ["CallerHttp", "CallerRequest"]

#: Methods that are forwarded to services.
FORWARDED_METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]
#: Request headers that are not forwarded to the backend server.
UNFORWARDED_HEADERS = frozenset(
    {b"connection", b"content-length", b"host", b"keep-alive", b"te", b"trailer"}
    | {b"traceparent", b"transfer-encoding", b"upgrade"}
)
FINGERPRINT_BYTES = 16


@dataclass(slots=True)
class CallerRequest:
    """A complete request of a caller to a service."""

    request_id: str
    service: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    kind: str
    key: str | None
    #: Seconds within which the caller needs the answer; None for the kind's default.
    deadline_s: float | None
    traceparent: str
    #: Urgency that the caller requests; None for the kind's default.
    urgency: Urgency | None
    labels: dict[str, str]

    @property
    def fingerprint(self):
        """Digest that detects the reuse of an idempotency key for another request."""
        digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
        for part in (self.method.encode(), self.path.encode(), self.body):
            digest.update(len(part).to_bytes(8) + part)
        return digest.digest()


class CallerHttp:
    """HTTP handlers of one entry.

    Parameters
    ----------
    node : Node
    entry : EntryPart
    jobs : JobPart
    configuration : ConfigurationPart
    refusal_log : RefusalLog
    """

    def __init__(self, node, entry, jobs, configuration, refusal_log):
        self._node = node
        self._entry = entry
        self._jobs = jobs
        self._configuration = configuration
        self._refusal_log = refusal_log
        self._limits = node.settings.limits
        # Ids must be unique across entries and across restarts of one entry.
        self._id_prefix = f"{node.settings.instance_id}-{node.incarnation:x}-"
        self._numbers = itertools.count()
        self.is_draining = False

    def routes(self):
        """Return the Starlette routes."""
        service = "/v1/services/{service}"
        return [
            Route(
                service + "/{path:path}", self.run_request, methods=FORWARDED_METHODS
            ),
            Route("/v1/jobs", self.submit_job, methods=["POST"]),
            Route("/v1/jobs/{job_id}", self.show_job, methods=["GET"]),
            Route("/v1/jobs/{job_id}", self.cancel_job, methods=["DELETE"]),
            Route("/healthz", self.health),
            Route("/readyz", self.readiness),
            Route("/metrics", self.metrics),
        ]

    async def run_request(self, request):
        """Forward one request to an instance and return its complete answer."""
        started_s = self._node.now_s()
        request_id = f"{self._id_prefix}{next(self._numbers):x}"
        if self._entry.in_progress >= self._limits.max_requests:
            detail = "too many requests in progress"
            refused = Refused(RefusalReason.SHED, detail, retry_after_s=1.0)
            return self._refuse(request_id, refused, started_s)
        try:
            caller_request = await self._read(request_id, request)
        except (BodyError, CallerRequestError) as error:
            refused = refusal_from_error(error)
            return self._refuse(
                request_id, refused, started_s, faults_from_error(error)
            )
        span = self._node.telemetry.tracing.span(
            "entry.request", caller_request.traceparent
        )
        with span as hop:
            caller_request.traceparent = hop.traceparent
            outcome = await self._entry.handle(caller_request)
            hop.set("outcome", type(outcome).__name__)
        service, kind = self._configured_names(caller_request)
        self._count(request_id, service, kind, outcome, started_s)
        if isinstance(outcome, Completed):
            return _answer(outcome)
        return problem_response(outcome, request_id)

    async def _read(self, request_id, request):
        headers = read_headers(request.headers.raw)
        return CallerRequest(
            request_id,
            request.path_params["service"],
            request.method,
            _path(request),
            tuple(_forwarded_headers(request.headers.raw)),
            await read_body(request, self._limits),
            headers.kind,
            headers.key or None,
            headers.deadline_s,
            headers.traceparent,
            headers.urgency,
            headers.labels,
        )

    def _configured_names(self, caller_request):
        """Return the configured service and kind names; empty when unknown.

        Names that a caller invents must not become labels of a counter, as the number
        of label values would be unbounded.
        """
        configuration = self._entry.state.configuration
        service = configuration and configuration.services_by_name.get(
            caller_request.service
        )
        if not service:
            return "", ""
        kind = caller_request.kind or service.default_kind
        return service.name, kind if kind in service.kinds_by_name else ""

    def _refuse(self, request_id, refused, started_s, faults=()):
        self._count(request_id, "", "", refused, started_s)
        return problem_response(refused, request_id, faults)

    def _count(self, request_id, service, kind, outcome, started_s):
        duration_s = self._node.now_s() - started_s
        self._node.telemetry.count_request(service, kind, outcome, duration_s)
        self._refusal_log.note(request_id, service, kind, outcome)

    async def submit_job(self, request):
        """Accept a job once it has been written to the platform's log."""
        request_id = f"{self._id_prefix}{next(self._numbers):x}"
        try:
            body = await read_body(request, self._limits)
            key = read_headers(request.headers.raw).key
            job = read_job(body)
        except (BodyError, CallerRequestError) as error:
            return error_response(error)
        outcome, job_id = await self._jobs.submit(job, key)
        if outcome is not None:
            self._refusal_log.note(request_id, "", "job", outcome)
            return problem_response(outcome, request_id)
        return JSONResponse(
            {"job_id": job_id}, 202, headers={"Location": f"/v1/jobs/{job_id}"}
        )

    async def show_job(self, request):
        """Return the state of a job's tasks."""
        reply = await self._jobs.show(request.path_params["job_id"])
        if isinstance(reply, Outcome):
            return problem_response(reply)
        return JSONResponse(msgspec.to_builtins(reply))

    async def cancel_job(self, request):
        """Cancel the tasks of a job that have not ended."""
        job_id = request.path_params["job_id"]
        outcome = await self._jobs.cancel(job_id)
        if outcome is not None:
            return problem_response(outcome)
        return JSONResponse({"job_id": job_id, "cancelled": True}, 202)

    async def health(self, request):
        """Report that the process is alive."""
        return JSONResponse({"status": "ok"})

    async def readiness(self, request):
        """Report whether the load balancer may send requests to this entry."""
        is_ready = self._configuration.is_ready and not self.is_draining
        body = {"ready": is_ready, "draining": self.is_draining}
        return JSONResponse(body, 200 if is_ready else 503)

    async def metrics(self, request):
        """Return the process's metrics."""
        return Response(self._node.telemetry.exposition(), media_type=EXPOSITION_TYPE)


def _path(request):
    path = request.path_params["path"]
    query = request.url.query
    return f"{path}?{query}" if query else path


def _forwarded_headers(raw_headers):
    for name, value in raw_headers:
        if name not in UNFORWARDED_HEADERS:
            yield name.decode("latin-1"), value.decode("latin-1")


def _answer(outcome):
    response = Response(outcome.body, outcome.status)
    response.raw_headers.extend(
        (name.lower().encode("latin-1"), value.encode("latin-1"))
        for name, value in outcome.headers
    )
    return response
