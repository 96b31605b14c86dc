"""Leader announcements: the leader periodically notifies each entry."""

import asyncio
from dataclasses import dataclass, field

from ..decisionlog import log_decision
from ..gen.peer.ttypes import LeaderNotice, NoticeReply
from ..peer import PeerError
from . import clock

__all__ = ["LeaderView", "announce_once", "announce_periodically"]

#: Interval between notices to one entry.
NOTICE_INTERVAL_S = 0.5
#: Timeout of a notice.
NOTICE_TIMEOUT_S = 0.8
#: Age of the last notice up to which callers' requests are forwarded to its leader.
NOTICE_LIFETIME_S = 2.5
#: Age of the last notice from which the leader counts as silent: two notices missed.
LEADER_TIMEOUT_S = 1.2


@dataclass(slots=True)
class LeaderView:
    """An entry's view of the current leader, updated by notices."""

    epoch: int = -1
    address: str = ""
    last_notice_s: float = 0.0
    #: Whether the store had confirmed the leadership shortly before the last notice.
    is_confirmed: bool = False
    #: Leaders that have sent notices to this process. They rely on its answers.
    heard_addresses: set[str] = field(default_factory=set)
    _changed: asyncio.Event = field(default_factory=asyncio.Event)

    def receive(self, notice):
        """Process a notice and reply with the latest known epoch."""
        self.heard_addresses.add(notice.address)
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
        return NoticeReply(self.epoch)

    def note_epoch(self, epoch):
        """Record that an epoch has a leader, which may be in this process."""
        if epoch > self.epoch:
            self.epoch = epoch
            self._changed.set()
            self._changed = asyncio.Event()

    async def wait_for_change(self):
        """Wait until a later epoch is known."""
        await self._changed.wait()

    def current(self):
        """Return the leader's address, or an empty string without a recent notice."""
        age_s = clock.now_s() - self.last_notice_s
        return self.address if age_s < NOTICE_LIFETIME_S else ""

    @property
    def has_leader(self):
        """Whether a notice arrived within `LEADER_TIMEOUT_S`."""
        return clock.now_s() - self.last_notice_s < LEADER_TIMEOUT_S


async def announce_periodically(leader, address):
    """Notify the entry at ``address`` periodically, for as long as the term lasts."""
    while True:
        await announce_once(leader, address)
        await asyncio.sleep(NOTICE_INTERVAL_S)


async def announce_once(leader, address):
    """Notify the entry at ``address`` of the leader and whether it is confirmed.

    A leader that is not confirmed may be replaced.
    """
    notice = LeaderNotice(
        leader.epoch, leader.settings.peer_address, leader.is_confirmed
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
        leader.grant_authority.entry_answers.observe(address, sent_s)
        if reply.has_ended_terms:
            leader.end_earlier_term(address)
