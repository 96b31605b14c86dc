"""Terms of the leader of a virtual fleet, and entries that are cut off."""

from contextlib import contextmanager

__all__ = [
    "cut_from_agents",
    "cut_from_store",
    "epoch_of",
    "expect_same_term",
    "leader_of",
]


def leader_of(fleet):
    """Return the entry whose term is confirmed by the store, or None."""
    leading = (
        e
        for e in fleet.entries
        if e.candidate.leader and e.candidate.leader.is_confirmed
    )
    return next(leading, None)


def epoch_of(fleet):
    """Return the epoch of the confirmed leader."""
    return leader_of(fleet).candidate.leader.epoch


@contextmanager
def expect_same_term(fleet):
    """Expect that the confirmed leader is in the same term when the context ends."""
    epoch = epoch_of(fleet)
    yield
    assert epoch_of(fleet) == epoch


def cut_from_store(fleet, entries, mode="silent"):
    """Make the store fail for some entries."""
    for entry in entries:
        fleet.store.mode_by_node[entry.address] = mode


def cut_from_agents(fleet, entries):
    """Cut some entries off from all agents."""
    for entry in entries:
        for agent in fleet.agents:
            fleet.cut(entry, agent)
