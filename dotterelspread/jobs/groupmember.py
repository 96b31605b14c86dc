"""Membership of an entry in the group of the log store whose turns the leaders take."""

from ..decisionlog import log_decision
from .journal import JournalError
from .records import CELL_STREAM

__all__ = ["GroupMember"]

GROUP = "leaders"


class GroupMember:
    """Joins and leaves the group for one process.

    Parameters
    ----------
    settings : ProcessSettings
    journal : Journal
    """

    __slots__ = ("_generation", "_journal", "_settings", "is_holder", "is_member")

    def __init__(self, settings, journal):
        self._settings = settings
        self._journal = journal
        self._generation = 0
        self.is_member = False
        #: Whether the latest reply assigned the group's only partition to this process.
        self.is_holder = False

    async def join(self):
        """Join the group or renew the membership; return whether the store replied."""
        try:
            membership = await self._journal.join(
                GROUP,
                self._settings.instance_id,
                CELL_STREAM,
                self._settings.store.min_member_ttl_ms,
                self._generation,
            )
        except JournalError as error:
            log_decision("join failed", error=str(error))
            return False
        self.is_member = True
        self.is_holder = membership.is_holder
        self._generation = membership.generation
        return True

    async def leave(self):
        """Leave the group, so that its partition is assigned to another member."""
        if not self.is_member:
            return
        self.is_member = self.is_holder = False
        try:
            await self._journal.leave(GROUP, self._settings.instance_id)
        except JournalError as error:
            # Not retried, since the membership expires on its own.
            log_decision("group not left; its membership will expire", error=str(error))
