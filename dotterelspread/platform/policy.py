"""HTTP client of the policy service."""

import msgspec

from ..h1client import H1Client, H1Error
from ..jobs.permits import PermitService, PermitServiceError
from .decoding import Count, DecodingError, decode_json

__all__ = ["PlatformPermits"]

#: Time allowed for an answer in addition to that which the service takes by itself.
ASK_TIMEOUT_MARGIN_S = 4.0
JSON_HEADER = {"Content-Type": "application/json"}


class _Allowed(msgspec.Struct):
    # Rows of a worker and the permit that a start on it must carry.
    allowed: list[tuple[str, str]] = msgspec.field(name="Allowed")
    valid_ms: Count = msgspec.field(name="ValidMs", default=0)


class PlatformPermits(PermitService):
    """`PermitService` on the policy service, over HTTP.

    Parameters
    ----------
    address : str
        ``host:port``; empty if there is no policy service.
    """

    def __init__(self, address):
        self._client = H1Client(address) if address else None

    def close(self):
        """Close all connections."""
        if self._client is not None:
            self._client.close()

    async def ask(self, step_id, worker_ids, expected_s):
        """Request the permits of a step; see `PermitService.ask`."""
        if self._client is None:
            raise PermitServiceError("no policy service address in the settings")
        body = msgspec.json.encode({"Step": step_id, "Workers": worker_ids})
        timeout_s = expected_s + ASK_TIMEOUT_MARGIN_S
        try:
            reply = await self._client.call(
                "POST", "/api/advise", timeout_s, body, JSON_HEADER
            )
        except H1Error as error:
            raise PermitServiceError(str(error)) from error
        if reply.status != 200:
            raise PermitServiceError(f"request failed: status {reply.status}")
        try:
            answer = decode_json(reply.body, _Allowed)
        except DecodingError as error:
            raise PermitServiceError(f"invalid reply: {error}") from error
        return dict(answer.allowed), answer.valid_ms
