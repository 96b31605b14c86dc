"""Sessions of an agent with the incarnations of its worker, and their fencing tokens.

A worker that starts again under its id takes calls that were meant for its earlier
incarnation. The agent therefore begins a session with each incarnation and calls it
under a fencing token that is higher than those of all earlier sessions. From its first
such call on, the worker refuses calls of earlier sessions, however late they arrive.
"""

__all__ = ["MAX_SESSIONS", "WorkerSession"]

#: Number of sessions in one epoch of the leader that fencing tokens can tell apart.
MAX_SESSIONS = 1 << 20
#: Largest number that is kept under a later leader, under which that many incarnations
#: and refusals may follow.
MAX_KEPT_NUMBER = MAX_SESSIONS // 2


class WorkerSession:
    """Latest session of an agent with its worker.

    An agent process does not know the sessions of earlier ones; the leader tells it the
    latest session that it has heard of. No call under an unconfirmed session may change
    what the worker runs, since the next agent process might use the same number.
    """

    __slots__ = (
        "_confirmed_number",
        "_is_reported",
        "_refusal_step",
        "epoch",
        "has_been_confirmed",
        "number",
    )

    def __init__(self):
        #: Epoch of the leader that the agent follows.
        self.epoch = 0
        #: Number of the session; 0 until a leader has told the latest one.
        self.number = 0
        self._confirmed_number = 0
        #: Whether this process has told the leader of this epoch the number.
        self._is_reported = False
        #: Whether the leader of this or of an earlier epoch has heard of the session.
        self.has_been_confirmed = False
        #: Number of sessions that the next refused token passes.
        self._refusal_step = 1

    @property
    def token(self):
        """Fencing token of the calls of this session."""
        return self.epoch * MAX_SESSIONS + self.number

    @property
    def has_begun(self):
        """Whether the token is higher than those of all earlier sessions."""
        return self.number > 0

    @property
    def is_confirmed(self):
        """Whether the leader of this epoch has heard of the session."""
        return self.has_begun and self._confirmed_number == self.number

    def follow(self, epoch):
        """Follow the leader of a later epoch, which has not heard of the session."""
        self.epoch = epoch
        self._confirmed_number = 0
        # It may have heard of the same number from an earlier process of the agent.
        self._is_reported = False
        self._refusal_step = 1
        if self.number > MAX_KEPT_NUMBER:
            # As in a new process; any token of this epoch is higher than the earlier.
            self.number = 0

    def confirm(self, number):
        """Apply the number of the latest session that the leader has heard of.

        Parameters
        ----------
        number : int or None
            0 if it has heard of none; None if it does not tell.
        """
        if number is None:
            number = self.number = self.number or 1
        elif number > self.number or not self._is_reported and number == self.number:
            # Earlier processes have begun the sessions up to this number.
            self._begin(number + 1)
        self._confirmed_number = max(self._confirmed_number, number)
        if self.is_confirmed:
            self.has_been_confirmed = True

    def report(self):
        """Return the number for a reply to the leader."""
        self._is_reported = self.has_begun
        return self.number

    def begin_next(self):
        """Begin a session with another incarnation."""
        if self.has_begun:
            self._begin(self.number + 1)

    def pass_refused(self):
        """Begin a later session after the worker has refused the token as outdated.

        An earlier process of the agent has begun sessions that no leader has heard of.
        """
        if self.has_begun:
            self._begin(self.number + self._refusal_step)
            self._refusal_step *= 2

    def accept(self):
        """Record that the worker has accepted the token."""
        self._refusal_step = 1

    def _begin(self, number):
        self.number = min(number, MAX_SESSIONS - 1)
        self._is_reported = False
        self.has_been_confirmed = False
