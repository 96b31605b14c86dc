"""HTTP handler of the registry at which the worker of an instance registers."""

from ..decisionlog import log_decision
from ..h1server import H1Response
from .heartbeats import (
    DEREGISTER_PREFIX,
    HEARTBEAT_PREFIX,
    HeartbeatError,
    read_heartbeat,
)

__all__ = ["RegistryHandler"]


class RegistryHandler:
    """Handles the registry requests of the worker on the agent's instance.

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
            return self._handle_heartbeat(request)
        if request.path.startswith(DEREGISTER_PREFIX):
            worker_id = request.path[len(DEREGISTER_PREFIX) :]
            self._agent.leave(worker_id)
            return H1Response(200, b"{}")
        return H1Response(404)

    def _handle_heartbeat(self, request):
        worker_id = request.path[len(HEARTBEAT_PREFIX) :]
        try:
            announcement = read_heartbeat(worker_id, request.body)
        except HeartbeatError as error:
            log_decision("heartbeat rejected", worker_id=worker_id, error=str(error))
            return H1Response(400)
        self._agent.announce(announcement)
        return H1Response(200, b"{}")
