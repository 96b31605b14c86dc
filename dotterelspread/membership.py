"""Members of the system according to the ``membership`` stream.

`MembershipState` is a pure function of the stream. Knowledge of members from heartbeats
and peers is in `heartbeat`.
"""

from dataclasses import dataclass, replace
from functools import singledispatchmethod

from .gen.peer import ttypes
from .record import (
    InstanceAnnounced,
    InstanceDraining,
    InstanceLeft,
    MembershipSnapshot,
)
from .reducer import Effect
from .snapshot import StreamState

__all__ = [
    "STREAM",
    "Member",
    "MemberAged",
    "MemberRead",
    "MembershipAged",
    "MembershipState",
    "member_from_message",
    "member_to_message",
]

#: Name of the stream of members.
STREAM = "membership"
#: Maximum snapshots without an announcement before a member is removed.
MAX_AGE_SNAPSHOTS = 2


@dataclass(slots=True, frozen=True)
class Member:
    """What is known of one incarnation of a process."""

    announced: InstanceAnnounced
    is_draining: bool = False
    #: True when it has announced its departure.
    has_left: bool = False

    @property
    def instance_id(self):
        """Identifier of the instance."""
        return self.announced.instance_id

    @property
    def incarnation(self):
        """Number of the process's start, larger for a later one."""
        return self.announced.incarnation

    @property
    def role(self):
        """``entry`` or ``agent``."""
        return self.announced.role

    def merge(self, other):
        """Return this merged with ``other``, both of one instance.

        The higher incarnation wins; within one, draining and leaving are irreversible.
        """
        if other.incarnation > self.incarnation:
            return other
        if other.incarnation < self.incarnation:
            return self
        is_draining = self.is_draining or other.is_draining
        return Member(self.announced, is_draining, self.has_left or other.has_left)


def member_to_message(member):
    """Return the Thrift message that passes ``member`` between peers."""
    announced = member.announced
    return ttypes.Member(
        instance_id=announced.instance_id,
        incarnation=announced.incarnation,
        role=announced.role,
        peer_address=announced.peer_address,
        data_centre=announced.data_centre,
        region=announced.region,
        rack=announced.rack,
        services=list(announced.services),
        slots=announced.slots,
        draining=member.is_draining,
        cell=announced.cell,
    )


def member_from_message(message):
    """Return the `Member` in a Thrift message, or None when it names no address.

    A sender already known to the receiver gives only its id and incarnation.
    """
    if not (message.instance_id and message.incarnation and message.peer_address):
        return None
    announced = InstanceAnnounced(
        message.instance_id,
        message.incarnation,
        message.role or "",
        message.peer_address,
        message.data_centre or "",
        message.region or "",
        message.rack or "",
        tuple(message.services or ()),
        message.slots or 0,
        cell=message.cell or "",
    )
    return Member(announced, bool(message.draining))


@dataclass(slots=True, frozen=True)
class MemberRead(Effect):
    """The stream contains new information on a member."""

    member: Member


@dataclass(slots=True, frozen=True)
class MemberAged(Effect):
    """A member was removed for not announcing itself in the stream."""

    member: Member


@dataclass(slots=True, frozen=True)
class MembershipAged(Effect):
    """The age of all members grew by one snapshot; each must announce itself again."""


class MembershipState(StreamState):
    """Members according to the stream alone; maintained by a `Replica`.

    Each snapshot made with knowledge of the previous one increases the age of all
    members by one; a member older than `MAX_AGE_SNAPSHOTS` is removed. Dead members
    thus expire independently of clocks, and all readers agree.
    """

    __slots__ = ("aged_at", "ages_by_id", "members_by_id")

    snapshot_type = MembershipSnapshot
    # Members announce themselves after each snapshot, which restores lost records.
    is_recoverable = True

    def __init__(self):
        self.members_by_id = {}
        self.ages_by_id = {}
        self.aged_at = -1

    def apply(self, offset, record, now_s):
        """Change the members by one record and return effects."""
        return self._apply(record, offset)

    @singledispatchmethod
    def _apply(self, record, offset):
        return []

    @_apply.register
    def _(self, record: InstanceAnnounced, offset):
        known = self.members_by_id.get(record.instance_id)
        member = Member(record)
        if known is not None:
            if known.incarnation > record.incarnation:
                return []
            member = known.merge(member)
        self.ages_by_id[record.instance_id] = 0
        return [*self._replace_at_address(member), *self._set(member, known)]

    @_apply.register
    def _(self, record: InstanceDraining, offset):
        known = self.members_by_id.get(record.instance_id)
        if known is None or known.incarnation != record.incarnation:
            return []
        return self._set(replace(known, is_draining=True), known)

    @_apply.register
    def _(self, record: InstanceLeft, offset):
        known = self.members_by_id.get(record.instance_id)
        if known is None or known.incarnation != record.incarnation:
            return []
        self._remove(record.instance_id)
        return [MemberRead(replace(known, is_draining=True, has_left=True))]

    @_apply.register
    def _(self, record: MembershipSnapshot, offset):
        if record.as_of <= self.aged_at:
            return []
        self.aged_at = offset
        effects = [MembershipAged()]
        for instance_id in list(self.members_by_id):
            self.ages_by_id[instance_id] += 1
            if self.ages_by_id[instance_id] > MAX_AGE_SNAPSHOTS:
                effects.append(MemberAged(self._remove(instance_id)))
        return effects

    def to_snapshot(self, as_of, sequences):
        """Return the `MembershipSnapshot` of the members."""
        members = self.members_by_id.values()
        return MembershipSnapshot(
            as_of,
            tuple(member.announced for member in members),
            tuple(member.instance_id for member in members if member.is_draining),
            tuple(self.ages_by_id[member.instance_id] for member in members),
            self.aged_at,
            sequences,
        )

    def restore(self, snapshot, now_s):
        """Restore the members from a `MembershipSnapshot` and return effects."""
        draining_ids = set(snapshot.draining_ids)
        ages = snapshot.ages or (0,) * len(snapshot.announced)
        for announced, age in zip(snapshot.announced, ages, strict=False):
            instance_id = announced.instance_id
            member = Member(announced, instance_id in draining_ids)
            self.members_by_id[instance_id] = member
            self.ages_by_id[instance_id] = age
        self.aged_at = snapshot.aged_at
        return [MemberRead(member) for member in self.members_by_id.values()]

    def _set(self, member, known):
        self.members_by_id[member.instance_id] = member
        return [] if member == known else [MemberRead(member)]

    def _remove(self, instance_id):
        del self.ages_by_id[instance_id]
        return self.members_by_id.pop(instance_id)

    def _replace_at_address(self, member):
        """Remove older instances at the address that ``member`` now uses."""
        address = member.announced.peer_address
        replaced = [
            other
            for other in self.members_by_id.values()
            if other.announced.peer_address == address
            and other.instance_id != member.instance_id
            and other.incarnation < member.incarnation
        ]
        return [
            MemberRead(replace(self._remove(other.instance_id), has_left=True))
            for other in replaced
        ]
