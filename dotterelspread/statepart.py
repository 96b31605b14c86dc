"""Serves the states of streams to peers that lack them."""

from .gen.peer.ttypes import StateReply
from .node import Part

__all__ = ["StatePart", "join_parts"]


class StatePart(Part):
    """Answers peers' queries for the states that this process maintains.

    Parameters
    ----------
    node : Node
    replicas : iterable of ReplicaPart
    """

    def __init__(self, node, replicas):
        super().__init__(node)
        self._replicas_by_stream = {part.state.stream: part for part in replicas}

    def handlers_by_method(self):
        """Return the handlers of state queries."""
        return {"state": self._state}

    async def _state(self, query):
        replica = self._replicas_by_stream.get(query.stream)
        if replica is None:
            return StateReply(as_of=-1, state=b"")
        return replica.state_reply()


def join_parts(members, configuration, evacuations):
    """Connect configuration versions to heartbeats, and state queries to members.

    Parameters
    ----------
    members : MemberPart
    configuration : ConfigurationPart
    evacuations : EvacuationPart
    """
    configuration.replica.find_addresses = members.peer_addresses
    evacuations.replica.find_addresses = members.peer_addresses
    evacuations.find_addresses = members.peer_addresses
    configuration.on_change(lambda version: members.note_version(version.number))
    members.on_newer_version(configuration.fetch)
