"""The address at which the worker of an instance announces itself."""

from ..decisionlog import log_decision
from ..h1server import H1Response
from .heartbeats import HEARTBEAT_PREFIX, LEAVE_PREFIX, HeartbeatError, read_heartbeat

__all__ = ["RegistryHandler"]


class RegistryHandler:
    """Answers the HTTP requests of the worker beside an agent.

    Parameters
    ----------
    agent : Agent
    """

    __slots__ = ("_agent",)

    def __init__(self, agent):
        self._agent = agent

    async def handle(self, request):
        """Return the `H1Response` to an `H1Request`."""
        if request.path.startswith(HEARTBEAT_PREFIX):
            return self._beat(request)
        if request.path.startswith(LEAVE_PREFIX):
            worker_id = request.path[len(LEAVE_PREFIX) :]
            self._agent.leave(worker_id)
            return H1Response(200, b"{}")
        return H1Response(404)

    def _beat(self, request):
        worker_id = request.path[len(HEARTBEAT_PREFIX) :]
        try:
            announcement = read_heartbeat(worker_id, request.body)
        except HeartbeatError as error:
            log_decision("heartbeat not used", worker_id=worker_id, error=str(error))
            return H1Response(400)
        self._agent.announce(announcement)
        return H1Response(200, b"{}")
