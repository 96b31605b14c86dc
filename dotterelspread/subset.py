"""Which agents a process asks for heartbeats, so that none is asked by all."""

from .heartbeatevents import PeerStatus
from .routing import subset_ids

__all__ = ["monitored_ids"]


def monitored_ids(own, announcements, status_of):
    """Return the ids of the agents whose state a process needs to know.

    Parameters
    ----------
    own : InstanceAnnounced
        Of the process itself.
    announcements : iterable of InstanceAnnounced
        Of all agents that have not left.
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
    """Return the agent that an agent watches: the next of its cell, by id.

    Each is watched by one other; when that one dies too, the one before it does.
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
    """Return the agents that requests of an entry may be routed to."""
    ids_by_group = {}
    for announced in announcements:
        group = (announced.services, _distance(own, announced))
        ids_by_group.setdefault(group, []).append(announced.instance_id)
    chosen = (subset_ids(own.instance_id, ids) for ids in ids_by_group.values())
    return frozenset().union(*chosen)


def _distance(own, announced):
    """Return 0 for the own data centre, 1 for the own region, 2 for another."""
    if announced.region != own.region:
        return 2
    return 0 if announced.data_centre == own.data_centre else 1
