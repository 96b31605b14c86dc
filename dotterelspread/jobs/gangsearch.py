"""When the workers for a gang's members are sought again after a search in vain.

A gang whose members fit by number may still find no workers for all of them, because of
reservations or of earlier runs that are being stopped. Such a search takes as long as
the gang has members, so that all of them together get a fixed share of the leader's
time, in turn.
"""

__all__ = ["MAX_MEMBERS_PER_PASS", "GangSearches"]

#: Rate at which members are sought again, for all gangs together.
MEMBERS_PER_S = 4000
#: Number of members sought in vain after which a pass searches for no more gangs.
MAX_MEMBERS_PER_PASS = 1000


class GangSearches:
    """Searches for gangs that found no workers, and when they are due again."""

    __slots__ = ("_due_s_by_step", "_last_due_s", "_members_in_pass")

    def __init__(self):
        #: Leader's clock before which a gang is not sought, by job and step key.
        self._due_s_by_step = {}
        #: Latest of these times.
        self._last_due_s = 0.0
        self._members_in_pass = 0

    def begin_pass(self, now_s):
        """Begin a placement pass."""
        self._members_in_pass = 0
        if self._last_due_s <= now_s:
            self._due_s_by_step.clear()

    def may_search(self, job_id, step_key, now_s):
        """Tell whether a gang may be sought workers for in this pass."""
        if self._members_in_pass >= MAX_MEMBERS_PER_PASS:
            return False
        return now_s >= self._due_s_by_step.get((job_id, step_key), 0.0)

    def note_failure(self, job_id, step_key, members, now_s):
        """Record that a search was in vain.

        Parameters
        ----------
        job_id : str
        step_key : tuple of int
        members : int
            Number of members that were sought workers for.
        now_s : float
        """
        self._members_in_pass += members
        self._last_due_s = max(self._last_due_s, now_s) + members / MEMBERS_PER_S
        self._due_s_by_step[job_id, step_key] = self._last_due_s
