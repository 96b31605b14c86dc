"""How entries learn who leads: the leader tells each of them again and again."""

import asyncio
from dataclasses import dataclass, field

from ..decisionlog import log_decision
from ..gen.peer.ttypes import LeaderNotice, NoticeReply
from ..peer import PeerError
from . import clock

__all__ = ["LeaderView", "announce_once", "announce_to"]

#: Seconds between two notices to an entry.
NOTICE_INTERVAL_S = 0.5
#: Seconds to wait for the answer to a notice.
NOTICE_TIMEOUT_S = 0.8
#: Age up to which callers' requests are sent to the leader that a notice named.
NOTICE_LIFETIME_S = 2.5
#: Age up to which a notice says that its leader works: two notices are missing then.
LEADER_SILENCE_S = 1.2


@dataclass(slots=True)
class LeaderView:
    """The leader as an entry last heard of it."""

    epoch: int = -1
    address: str = ""
    heard_s: float = 0.0
    #: Whether the store had confirmed the lead shortly before the latest notice.
    is_confirmed: bool = False
    _changed: asyncio.Event = field(default_factory=asyncio.Event)

    def take(self, notice):
        """Take a notice and answer it with the latest epoch known."""
        if notice.epoch > self.epoch:
            log_decision(
                "leader known",
                epoch=notice.epoch,
                address=notice.address,
                earlier_epoch=self.epoch,
            )
        if notice.epoch >= self.epoch:
            self.follow(notice.epoch)
            self.address = notice.address
            self.is_confirmed = notice.confirmed
            self.heard_s = clock.now_s()
        return NoticeReply(self.epoch)

    def follow(self, epoch):
        """Note that the leader of an epoch works, perhaps in this process."""
        if epoch > self.epoch:
            self.epoch = epoch
            self._changed.set()
            self._changed = asyncio.Event()

    async def wait_for_change(self):
        """Wait until another leader is known."""
        await self._changed.wait()

    def current(self):
        """Return the leader's address, or an empty text if none was heard lately."""
        age_s = clock.now_s() - self.heard_s
        return self.address if age_s < NOTICE_LIFETIME_S else ""

    @property
    def is_led(self):
        """Whether a leader was heard lately."""
        return clock.now_s() - self.heard_s < LEADER_SILENCE_S


async def announce_to(leader, address):
    """Tell the entry at ``address`` who leads, for as long as the term lasts."""
    while True:
        await announce_once(leader, address)
        await asyncio.sleep(NOTICE_INTERVAL_S)


async def announce_once(leader, address):
    """Tell the entry at ``address`` who leads, and whether another may take over."""
    notice = LeaderNotice(
        leader.epoch, leader.settings.peer_address, leader.is_confirmed
    )
    try:
        reply = await leader.pool.call(address, "lead", notice, NOTICE_TIMEOUT_S)
    except PeerError:
        # The entry is gone or cut off; a later notice tells it.
        leader.pool.replace_connection(address)
    else:
        if reply.epoch > leader.epoch:
            leader.depose("an entry knows a later epoch")
