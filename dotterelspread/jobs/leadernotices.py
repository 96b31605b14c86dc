"""Leader announcements: the leader periodically notifies each entry."""

import asyncio
import secrets
from dataclasses import dataclass, field
from functools import partial

from ..decisionlog import log_decision
from ..gen.peer.ttypes import LeaderNotice, NoticeReply
from ..peer import PeerError
from . import clock

__all__ = ["AbilityMonitor", "LeaderView", "announce_once", "announce_periodically"]

#: Interval between notices to one entry.
NOTICE_INTERVAL_S = 0.5
#: Timeout of a notice.
NOTICE_TIMEOUT_S = 0.8
#: Age of the last notice up to which callers' requests are forwarded to its leader.
NOTICE_LIFETIME_S = 2.5


@dataclass(slots=True)
class LeaderView:
    """An entry's view of the current leader, updated by notices."""

    epoch: int = -1
    address: str = ""
    last_notice_s: float = 0.0
    #: When the epoch became known.
    epoch_known_s: float = 0.0
    #: Whether the store had confirmed the leadership shortly before the last notice.
    is_confirmed: bool = False
    #: When the first of the latest notices in a row without a confirmation arrived.
    unconfirmed_since_s: float | None = None
    #: Some of the agents that the leader does not reach; empty if it reaches most.
    lost_agents: tuple[str, ...] = ()
    #: Leaders that have sent notices to this process. They rely on its answers.
    heard_addresses: set[str] = field(default_factory=set)
    #: Those of them that tell its answers from those of others at its address.
    bound_addresses: set[str] = field(default_factory=set)
    #: Tells this process from others at its address.
    process_number: int = field(default_factory=partial(secrets.randbits, 62))
    _changed: asyncio.Event = field(default_factory=asyncio.Event)

    def receive(self, notice):
        """Process a notice and reply with the latest known epoch."""
        self.heard_addresses.add(notice.address)
        self.bound_addresses.discard(notice.address)
        if notice.tells_processes_apart:
            self.bound_addresses.add(notice.address)
        if notice.epoch > self.epoch:
            log_decision(
                "leader known",
                epoch=notice.epoch,
                address=notice.address,
                earlier_epoch=self.epoch,
            )
        if notice.epoch >= self.epoch:
            self.note_epoch(notice.epoch)
            self.address = notice.address
            self.is_confirmed = notice.confirmed
            self.last_notice_s = clock.now_s()
            self.lost_agents = tuple(notice.lost_agents or ())
            if notice.confirmed:
                self.unconfirmed_since_s = None
            elif self.unconfirmed_since_s is None:
                self.unconfirmed_since_s = self.last_notice_s
        return NoticeReply(
            self.epoch,
            heard_addresses=sorted(self.bound_addresses),
            process_number=self.process_number,
        )

    def note_epoch(self, epoch):
        """Record that an epoch has a leader, which may be in this process."""
        if epoch > self.epoch:
            self.epoch = epoch
            self.epoch_known_s = clock.now_s()
            self.unconfirmed_since_s = None
            self.lost_agents = ()
            self._changed.set()
            self._changed = asyncio.Event()

    async def wait_for_change(self):
        """Wait until a later epoch is known."""
        await self._changed.wait()

    def current(self):
        """Return the leader's address, or an empty string without a recent notice."""
        age_s = clock.now_s() - self.last_notice_s
        return self.address if age_s < NOTICE_LIFETIME_S else ""


class AbilityMonitor:
    """Wakes the loops that notify the entries when the leader's ability has changed.

    The ability depends on all agents, so it is evaluated once for all entries.
    """

    __slots__ = ("_changed", "is_confirmed", "reaches_agents")

    def __init__(self):
        self.is_confirmed = True
        self.reaches_agents = True
        self._changed = asyncio.Event()

    def update(self, is_confirmed, reaches_agents):
        """Record whether the store confirms the leader, and it reaches most agents."""
        if (is_confirmed, reaches_agents) != (self.is_confirmed, self.reaches_agents):
            self.is_confirmed = is_confirmed
            self.reaches_agents = reaches_agents
            self._changed.set()
            self._changed = asyncio.Event()

    def next_change(self):
        """Return an event that is set by the first change after this call."""
        return self._changed


async def announce_periodically(leader, address):
    """Notify the entry at ``address`` periodically, for as long as the term lasts.

    That the leader has become unable to lead, or able again, is notified at once.
    """
    while True:
        # Taken before the call, since its notice may not tell of a change during it.
        change = leader.ability.next_change()
        await announce_once(leader, address)
        try:
            async with asyncio.timeout(NOTICE_INTERVAL_S):
                await change.wait()
        except TimeoutError:
            # Nothing changed; the next notice is due.
            continue


async def announce_once(leader, address):
    """Notify the entry at ``address`` of the leader and whether it is able to lead.

    A leader that is not confirmed, or has lost most agents, may be replaced.
    """
    # At the time limit, readings of the clock differ slightly. A notice that denies the
    # change that it is sent for would stand until the next one.
    is_confirmed = leader.is_confirmed and leader.ability.is_confirmed
    notice = LeaderNotice(
        leader.epoch,
        leader.settings.peer_address,
        is_confirmed,
        leader.agent_reach.sample_lost(),
        tells_processes_apart=True,
    )
    sent_s = clock.elapsed_s()
    try:
        reply = await leader.pool.call(address, "lead", notice, NOTICE_TIMEOUT_S)
    except PeerError:
        # The entry is gone or unreachable; the next notice retries.
        leader.pool.replace_connection(address)
    else:
        if reply.epoch > leader.epoch:
            leader.depose("an entry knows a later epoch")
            return
        leader.grant_authority.observe_reply(address, reply, sent_s)
        if reply.has_ended_terms:
            leader.end_earlier_term(address)
