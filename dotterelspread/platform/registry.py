"""HTTP handler of the registry at which the worker of an instance registers."""

from ..decisionlog import log_decision
from ..h1server import H1Response
from .heartbeats import (
    DEREGISTER_PREFIX,
    HEARTBEAT_PREFIX,
    HeartbeatError,
    check_worker_id,
    read_deregistration,
    read_heartbeat,
)

__all__ = ["RegistryHandler"]

#: Longest part of the path and query of a rejected call that is logged.
MAX_LOGGED_TARGET = 200


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
            worker_id = request.path[len(HEARTBEAT_PREFIX) :]
            return _answer("heartbeat", self._apply_heartbeat, worker_id, request)
        if request.path.startswith(DEREGISTER_PREFIX):
            worker_id = request.path[len(DEREGISTER_PREFIX) :]
            return _answer(
                "deregistration", self._apply_deregistration, worker_id, request
            )
        return H1Response(404)

    def _apply_heartbeat(self, worker_id, body):
        self._agent.announce(read_heartbeat(worker_id, body))

    def _apply_deregistration(self, worker_id, body):
        check_worker_id(worker_id)
        self._agent.leave(worker_id, read_deregistration(body))


def _answer(name, apply, worker_id, request):
    try:
        apply(worker_id, request.body)
    except HeartbeatError as error:
        target = request.target[:MAX_LOGGED_TARGET]
        log_decision(f"{name} rejected", target=target, error=str(error))
        return H1Response(400)
    return H1Response(200, b"{}")
