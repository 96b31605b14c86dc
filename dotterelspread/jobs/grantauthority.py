"""Whether a leader may grant leases, and for which leases its successor has to wait."""

import asyncio

from ..decisionlog import log_decision
from . import clock
from .earlierleaders import CONFIRMED_GRANT_S, MAX_UNCONFIRMED_GRANT_S
from .entryanswers import ANSWER_LIFETIME_S, EntryAnswers
from .leaseend import MAX_CLOCK_DRIFT_RATIO

__all__ = ["GrantAuthority"]

#: Interval at which the answers of silent entries are reviewed.
WAIVER_INTERVAL_S = 1.0


class GrantAuthority:
    """Authority of one term to grant leases, and that of the terms before it.

    Parameters
    ----------
    committer : Committer
    earlier_leaders : EarlierLeaders
    waived_addresses : frozenset of str
        Entries whose answers an earlier leader may not need.
    """

    __slots__ = (
        "_began_s",
        "_bound_s",
        "_committer",
        "_earlier_waivers",
        "_recorded_waivers",
        "earlier_leaders",
        "entry_answers",
    )

    def __init__(self, committer, earlier_leaders, waived_addresses):
        self._committer = committer
        self.earlier_leaders = earlier_leaders
        self.entry_answers = EntryAnswers()
        #: On `clock.elapsed_s`; earlier leaders' appends were confirmed before it.
        self._began_s = clock.elapsed_s()
        #: When an entry that binds the earlier leaders answered with this term's epoch.
        self._bound_s = None
        self._earlier_waivers = waived_addresses
        #: Entries of which the journal records a waiver.
        self._recorded_waivers = waived_addresses

    @property
    def may_grant(self):
        """Whether leases may be granted within the time that a successor allows for."""
        unconfirmed_s = self._committer.unconfirmed_s
        if unconfirmed_s < CONFIRMED_GRANT_S:
            return True
        is_recent = unconfirmed_s < MAX_UNCONFIRMED_GRANT_S
        confirmed_s = clock.elapsed_s() - unconfirmed_s
        return is_recent and self.entry_answers.are_complete(confirmed_s)

    def end_earlier_term(self, address):
        """Record that an earlier leader has ended; return whether that is news."""
        if not self.earlier_leaders.end(address):
            return False
        self._committer.update_earlier_leaders(self.earlier_leaders)
        return True

    def observe_reply(self, address, reply, sent_s):
        """Apply the reply of an entry to a notice that was sent at ``sent_s``."""
        self.entry_answers.observe(address, sent_s, reply.process_number)
        if address in self._earlier_waivers:
            # Earlier leaders may not need its answers.
            return
        if self.earlier_leaders.bind(reply.heard_addresses or ()):
            self._bound_s = clock.elapsed_s()
            log_decision(
                "earlier leaders bound",
                entry=address,
                addresses=sorted(self.earlier_leaders.addresses),
            )

    def _earlier_grants_end_s(self):
        """Return when the earlier leaders have stopped to grant leases."""
        max_grant_s = self.earlier_leaders.max_grant_s
        end_s = self._began_s + max_grant_s * MAX_CLOCK_DRIFT_RATIO
        if self._bound_s is None:
            return end_s
        # An answer that was sent before it still counts for its lifetime.
        return max(end_s, self._bound_s + ANSWER_LIFETIME_S * MAX_CLOCK_DRIFT_RATIO)

    def expire_earlier_leaders(self):
        """Forget earlier leaders that can grant no more; return if that is news."""
        is_over = clock.elapsed_s() > self._earlier_grants_end_s()
        if not is_over or self.earlier_leaders.have_all_ended:
            return False
        self.earlier_leaders.end_all()
        self._committer.update_earlier_leaders(self.earlier_leaders)
        return True

    async def waive_silent_entries(self):
        """Give up the answers of entries that may have been removed for good."""
        while True:
            await asyncio.sleep(WAIVER_INTERVAL_S)
            waivable = self.entry_answers.waivable_addresses
            await self._record_waivers(waivable)
            self.entry_answers.waive(waivable)

    async def _record_waivers(self, waivable):
        """Record waivers of these entries and of those that earlier leaders waived."""
        if self.earlier_leaders.have_all_ended:
            self._earlier_waivers = frozenset()
        waivers = waivable | self._earlier_waivers
        if waivers == self._recorded_waivers:
            return
        self._committer.update_waivers(waivers)
        await self._committer.wait_committed()
        self._recorded_waivers = waivers
        log_decision("waivers of entries recorded", entries=sorted(waivers))
