"""The one client of the service that knows the queues' policies."""

import msgspec

from ..h1client import H1Client, H1Error
from ..jobs.permits import PermitService, PermitServiceError

__all__ = ["PlatformPermits"]

#: Seconds to wait for an answer: the service takes its time for each worker named.
ASK_TIMEOUT_S = 4.0
JSON_HEADER = {"Content-Type": "application/json"}


class _Allowed(msgspec.Struct):
    # Rows of a worker and the text that a start there has to carry.
    allowed: list[tuple[str, str]] = msgspec.field(name="Allowed")
    valid_ms: int = msgspec.field(name="ValidMs", default=0)


class PlatformPermits(PermitService):
    """The policy service over HTTP.

    Parameters
    ----------
    address : str
        ``host:port``; empty where there is none.
    """

    def __init__(self, address):
        self._client = H1Client(address) if address else None

    def close(self):
        """End all connections."""
        if self._client is not None:
            self._client.close()

    async def ask(self, step_id, worker_ids):
        """Ask about a step; see `PermitService.ask`."""
        if self._client is None:
            raise PermitServiceError("the settings name no policy service")
        body = msgspec.json.encode({"Step": step_id, "Workers": worker_ids})
        try:
            reply = await self._client.call(
                "POST", "/api/advise", ASK_TIMEOUT_S, body, JSON_HEADER
            )
        except H1Error as error:
            raise PermitServiceError(str(error)) from error
        if reply.status != 200:
            raise PermitServiceError(f"status {reply.status}")
        try:
            answer = msgspec.json.decode(reply.body, type=_Allowed)
        except (msgspec.DecodeError, ValueError) as error:
            raise PermitServiceError(f"answer not understood: {error}") from error
        return dict(answer.allowed), answer.valid_ms
