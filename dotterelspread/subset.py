"""Selection of the agents that a process monitors by heartbeats.

Each process monitors a subset, so that no agent is monitored by all processes.
"""

from .heartbeatevents import PeerStatus
from .routing import subset_ids

__all__ = ["monitored_ids"]


def monitored_ids(own, announcements, status_of):
    """Return the ids of the agents that a process monitors.

    Parameters
    ----------
    own : InstanceAnnounced
        Announcement of the process itself.
    announcements : iterable of InstanceAnnounced
        Announcements of all agents that have not left.
    status_of : callable
        Returns the `PeerStatus` of an agent by its id.

    Returns
    -------
    frozenset of str
    """
    if own.role == "agent":
        return _next_in_cell_ids(own, announcements, status_of)
    return _routed_ids(own, announcements)


def _next_in_cell_ids(own, announcements, status_of):
    """Return the id of the agent that an agent monitors: the next in its cell's ring.

    Each agent is monitored by its predecessor by id; if that fails too, by the one
    before it.
    """
    ids = sorted(
        announced.instance_id
        for announced in announcements
        if announced.cell == own.cell
        and status_of(announced.instance_id) is not PeerStatus.GONE
    )
    later = [other for other in ids if other > own.instance_id]
    return frozenset((later or ids)[:1])


def _routed_ids(own, announcements):
    """Return the ids of the agents that an entry may route requests to."""
    ids_by_group = {}
    for announced in announcements:
        group = (announced.services, _distance(own, announced))
        ids_by_group.setdefault(group, []).append(announced.instance_id)
    chosen = (subset_ids(own.instance_id, ids) for ids in ids_by_group.values())
    return frozenset().union(*chosen)


def _distance(own, announced):
    """Return 0 for the same data centre, 1 for the same region, 2 otherwise."""
    if announced.region != own.region:
        return 2
    return 0 if announced.data_centre == own.data_centre else 1
