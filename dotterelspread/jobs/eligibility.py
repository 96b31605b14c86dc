"""Decides whether an entry takes part in the leader election and claims leadership.

What counts is what the leader can do: whether the store confirms it, whether its
notices arrive, and whether it reaches agents that this entry reaches. Near and large
entries act first; the others act a little later, as stand-ins.
"""

import enum
from dataclasses import dataclass

__all__ = ["Move", "Standing", "choose_move", "failback_wait_s", "vacancy_s"]

#: Age of the last notice from which a leader counts as silent: two notices missed.
LEADER_TIMEOUT_S = 1.2
#: Time for which a leader is without confirmation, silent or cut off from the agents
#: before stand-ins act. It exceeds the time that the holder among near and large
#: entries needs to take over.
STAND_IN_DELAY_S = 0.8
#: Time for which a leader is cut off from agents before near and large entries act.
#: After a restart of agents, this entry may reach them just before the leader does.
CUT_OFF_DELAY_S = 0.3
#: Time after a start without any notice before stand-ins act, as other entries may be
#: about to start.
STARTUP_DELAY_S = 3.0
#: Further time before a member claims that does not hold the group's partition, if the
#: leader itself says that it is unable to lead. The holder may be unable to claim, and
#: a failed member holds the partition for up to 1 s.
HOLDER_TURN_S = 0.7
#: Time allowed to a leader for the next confirmation after a store outage that also
#: affected this entry: the longest timeout of an append.
RECONFIRMATION_TIMEOUT_S = 1.6
#: Time after which a leader leaves the group that reads from the store, but is not
#: confirmed or has lost most agents.
LEADER_LEAVES_AFTER_S = 0.3
#: Shortest and longest time with working calls to the store, and in which a stand-in
#: leads, before a near and large entry replaces it. It doubles with each short term
#: that the entry has lost.
MIN_FAILBACK_WAIT_S = 5.0
MAX_FAILBACK_WAIT_S = 60.0


class Move(enum.Enum):
    """Action of an entry in the leader election."""

    #: Leave the group, or stay out of it.
    ABSTAIN = enum.auto()
    #: Be a member of the group.
    JOIN = enum.auto()
    #: Claim the leadership.
    CLAIM = enum.auto()


@dataclass(slots=True, frozen=True)
class Standing:
    """State of the entry, the leader and the store as known to it; ages in seconds."""

    has_configuration: bool = True
    #: Whether this entry is near the store and among the largest ones.
    is_suitable: bool = True
    #: Whether this entry leads.
    is_leading: bool = False
    #: Age of the first sign that its own term is not confirmed or reaches no agents.
    own_fault_s: float | None = None
    #: Whether a claim may be made: no own term or takeover has just ended.
    may_claim: bool = True
    #: Whether this entry leaves its turn to others after an own claim or term failed.
    is_yielding: bool = False
    #: Whether the group's partition is assigned to this entry.
    is_holder: bool = False
    #: Time since the start of the process or the end of its latest term.
    watched_s: float = 1000.0
    #: Age of the leader's latest notice; None if none has ever arrived.
    notice_age_s: float | None = 0.0
    #: Age of the first notice in a row that the store does not confirm the leader.
    unconfirmed_s: float | None = None
    #: Time since this entry first reached agents that the leader does not reach.
    cut_off_s: float | None = None
    #: Whether neither the leader nor this entry reaches most agents.
    shares_agent_loss: bool = False
    #: Whether the leader is near the store and large enough beside this entry.
    is_leader_suitable: bool = True
    #: Time for which this entry has known the leader.
    leader_known_s: float = 1000.0
    #: Time since the latest call to the store that failed.
    store_works_s: float = 1000.0
    #: Time for which the store must work before this entry replaces a stand-in.
    failback_wait_s: float = MIN_FAILBACK_WAIT_S
    #: Offset that differs between entries, so that they do not claim at once.
    offset_s: float = 0.0


def choose_move(standing):
    """Return the `Move` of an entry with a `Standing`."""
    if not standing.has_configuration:
        return Move.ABSTAIN
    if standing.is_leading:
        return _choose_as_leader(standing)
    if standing.is_yielding:
        return Move.ABSTAIN
    if not standing.may_claim:
        return Move.JOIN if standing.is_suitable else Move.ABSTAIN
    vacant_s = vacancy_s(standing)
    if vacant_s is None:
        return _choose_beside_leader(standing)
    delay_s = _delay_s(standing)
    if vacant_s < delay_s:
        return Move.JOIN if standing.is_suitable else Move.ABSTAIN
    if _may_be_reconfirmed(standing):
        return Move.JOIN
    if standing.is_holder:
        return Move.CLAIM
    # Silence alone may be a fault between this entry and a healthy leader, which then
    # holds the partition.
    is_reported = _has_notices(standing) and _is_inability_reported(standing)
    is_turn_over = vacant_s > delay_s + HOLDER_TURN_S + standing.offset_s
    return Move.CLAIM if is_reported and is_turn_over else Move.JOIN


def vacancy_s(standing):
    """Return for how long no leader has been able to lead; None if one is."""
    signs = [standing.unconfirmed_s, standing.cut_off_s]
    if standing.notice_age_s is None:
        signs.append(standing.watched_s)
    elif standing.notice_age_s > LEADER_TIMEOUT_S:
        silent_s = standing.notice_age_s - LEADER_TIMEOUT_S
        signs.append(min(silent_s, standing.watched_s))
    return max((sign for sign in signs if sign is not None), default=None)


def failback_wait_s(lost_terms):
    """Return for how long the store must work before a stand-in is replaced.

    Parameters
    ----------
    lost_terms : int
        Number of short terms in a row that this entry has lost.
    """
    return min(MIN_FAILBACK_WAIT_S * 2**lost_terms, MAX_FAILBACK_WAIT_S)


def _choose_as_leader(standing):
    # A leader that is to be replaced does not occupy the partition of the group. One
    # without confirmation for a moment keeps it, as does one whose membership expires
    # since the store does not serve it at all: the outage may concern all entries. An
    # able stand-in keeps it too, so that entries that its notices do not reach do not
    # replace it.
    own_fault_s = standing.own_fault_s
    is_able = own_fault_s is None or own_fault_s < LEADER_LEAVES_AFTER_S
    if not is_able and standing.store_works_s < own_fault_s:
        return Move.JOIN
    return Move.JOIN if is_able else Move.ABSTAIN


def _choose_beside_leader(standing):
    """Choose beside a leader that is able to lead.

    The group may reassign its partition at any time. A failover delays all starts by a
    second, so it needs a reason.
    """
    if not standing.is_suitable or standing.shares_agent_loss:
        return Move.ABSTAIN
    if standing.is_leader_suitable:
        return Move.JOIN
    # The stand-in holds the partition, so the offsets alone tell the claims apart.
    works_s = min(standing.store_works_s, standing.watched_s, standing.leader_known_s)
    wait_s = standing.failback_wait_s + standing.offset_s
    return Move.CLAIM if works_s >= wait_s else Move.JOIN


def _delay_s(standing):
    if standing.is_suitable:
        is_confirmed = standing.unconfirmed_s is None
        is_able = _has_notices(standing) and is_confirmed
        return CUT_OFF_DELAY_S if is_able else 0.0
    return STARTUP_DELAY_S if standing.notice_age_s is None else STAND_IN_DELAY_S


def _has_notices(standing):
    age_s = standing.notice_age_s
    return age_s is not None and age_s <= LEADER_TIMEOUT_S


def _is_inability_reported(standing):
    return standing.unconfirmed_s is not None or standing.cut_off_s is not None


def _may_be_reconfirmed(standing):
    """Return whether the leader may be confirmed soon after an outage of the store."""
    is_recent = standing.store_works_s < RECONFIRMATION_TIMEOUT_S
    return _has_notices(standing) and is_recent
