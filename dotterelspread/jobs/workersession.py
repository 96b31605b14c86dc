"""Sessions of an agent with the incarnations of its worker, and their fencing tokens.

A worker that starts again under its id takes calls that were meant for its earlier
incarnation. The agent therefore begins a session with each incarnation and calls it
under a fencing token that is higher than those of all earlier sessions. From its first
such call on, the worker refuses calls of earlier sessions, however late they arrive.

Only the agent beside a worker calls it, so that the numbers of its sessions are its own
and serve as tokens. The first one of a process is the time of day, with which a process
can call the worker at once, before any leader has polled it. Which leader may give
orders is decided by the agent, by the leader's epoch.
"""

__all__ = ["MAX_SESSION_NUMBER", "WorkerSession"]

#: Largest number that every worker represents exactly.
MAX_SESSION_NUMBER = 2**53 - 1
#: Distance to the next session after a refused token that was not earlier than the time
#: of day, in milliseconds. It doubles with each refusal that follows.
FIRST_REFUSAL_STEP_MS = 1000
#: Largest such distance, so that no series of refusals uses the numbers up.
MAX_REFUSAL_STEP_MS = 3_600_000


class WorkerSession:
    """Latest session of an agent with its worker.

    The time of day may have been set back since an earlier process of the agent began
    its sessions. The leader tells the latest session that it has heard of, and no call
    under a session that no leader has confirmed may change what the worker runs.

    Parameters
    ----------
    first_number : int
        Number of the first session: the time of day in milliseconds.
    """

    __slots__ = (
        "_confirmed_number",
        "_has_passed_to_time",
        "_is_reported",
        "_latest_reported",
        "_refusal_step_ms",
        "epoch",
        "has_been_confirmed",
        "number",
    )

    def __init__(self, first_number):
        #: Epoch of the leader that the agent follows.
        self.epoch = 0
        #: Number of the session.
        self.number = max(1, min(first_number, MAX_SESSION_NUMBER))
        #: Latest session that the leader of this epoch has heard of.
        self._confirmed_number = 0
        #: Whether this process has told the leader of this epoch the number.
        self._is_reported = False
        #: Latest number that this process has told any leader; None if none.
        self._latest_reported = None
        #: Whether the leader of this epoch has heard of the session, or that of an
        #: earlier epoch of one with the same incarnation.
        self.has_been_confirmed = False
        self._refusal_step_ms = FIRST_REFUSAL_STEP_MS
        #: Whether the token is the time of day after a refusal.
        self._has_passed_to_time = False

    @property
    def token(self):
        """Fencing token of the calls of this session."""
        return self.number

    @property
    def is_confirmed(self):
        """Whether the leader of this epoch has heard of the session."""
        return self._confirmed_number == self.number

    def follow(self, epoch):
        """Follow the leader of a later epoch, which has not heard of the session.

        The worker may still execute calls for orders of earlier leaders. It refuses
        them once it is called under the next session.
        """
        self.epoch = epoch
        self._confirmed_number = 0
        self._refusal_step_ms = FIRST_REFUSAL_STEP_MS
        has_been_confirmed = self.has_been_confirmed
        self.begin_next()
        self.has_been_confirmed = has_been_confirmed

    def confirm(self, number):
        """Apply the number of the latest session that the leader has heard of.

        Parameters
        ----------
        number : int or None
            0 if it has heard of none; None if it does not tell.

        Returns
        -------
        bool
            Whether an earlier process has begun a session that is not earlier, so that
            the worker may have taken its calls too.
        """
        is_behind = (number or 0) >= self.number and self._is_of_other_process(number)
        if number is None:
            number = self.number
        elif number > self.number or not self._is_reported and number == self.number:
            # Earlier processes have begun the sessions up to this number.
            self._begin(number + 1)
        self._confirmed_number = max(self._confirmed_number, number)
        if self.is_confirmed:
            self.has_been_confirmed = True
        return is_behind

    def report(self):
        """Return the number for a reply to the leader."""
        self._is_reported = True
        self._latest_reported = self.number
        return self.number

    def _is_of_other_process(self, number):
        """Tell whether only another process can have told a leader of a number.

        A leader asks for the next session by the number after the latest.
        """
        return self._latest_reported is None or number > self._latest_reported + 1

    def begin_next(self):
        """Begin a session with another incarnation."""
        self._begin(self.number + 1)

    def pass_refused(self, time_of_day_ms):
        """Begin a later session after the worker has refused the token as outdated.

        Another process of the agent has begun sessions that no leader has heard of. The
        time of day passes them, unless it was set back since.
        """
        if time_of_day_ms > self.number and not self._has_passed_to_time:
            self._begin(time_of_day_ms)
            self._has_passed_to_time = True
            return
        self._begin(self.number + self._refusal_step_ms)
        self._refusal_step_ms = min(2 * self._refusal_step_ms, MAX_REFUSAL_STEP_MS)

    def accept(self):
        """Record that the worker has accepted the token."""
        self._has_passed_to_time = False
        self._refusal_step_ms = FIRST_REFUSAL_STEP_MS

    def _begin(self, number):
        self.number = min(number, MAX_SESSION_NUMBER)
        self._is_reported = False
        self.has_been_confirmed = False
