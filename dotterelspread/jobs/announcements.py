"""Decides which heartbeats are those of the agent's worker.

Heartbeats may be late or come from another writer. The worker's own lists, which the
agent reads over its own connection, decide which incarnation answers; of a heartbeat
that doesn't fit those before it, the next one must confirm it.
"""

from dataclasses import replace

from ..decisionlog import log_decision

__all__ = ["AnnouncementFilter"]

#: Largest distance between the sequence numbers of two heartbeats of which the later
#: may follow the earlier one, or arrive late after it.
MAX_SEQUENCE_DISTANCE = 100


class AnnouncementFilter:
    """Latest announcements of the worker and of a possible successor."""

    __slots__ = ("_earlier", "_unconfirmed", "current", "successor")

    def __init__(self):
        #: `Announcement` in effect; None before the first.
        self.current = None
        #: Latest heartbeat of an incarnation that does not answer yet; None if none.
        self.successor = None
        #: Heartbeat that takes effect if another one follows it; None if none.
        self._unconfirmed = None
        #: Latest heartbeat of another worker that started before the current one.
        self._earlier = None

    def adopt(self, announcement):
        """Put an announcement into effect; tell whether it says anything new."""
        is_changed = self.current is None or (
            _without_changing_fields(self.current)
            != _without_changing_fields(announcement)
        )
        if is_changed:
            _log_announced(announcement)
        self.current = announcement
        self.successor = None
        self._unconfirmed = None
        self._earlier = None
        return is_changed

    def accepts(self, announcement, listed_born_ms):
        """Return whether a heartbeat takes effect now.

        Parameters
        ----------
        announcement : Announcement
        listed_born_ms : int or None
            Start time in the worker's latest list, 0 if it names none; None if the
            worker has not answered since it was first announced.
        """
        current = self.current
        if current is None:
            return True
        if listed_born_ms is None:
            is_same = announcement.worker_id == current.worker_id
            return not is_same or _order(announcement) > _order(current)
        born_ms = listed_born_ms or current.born_ms
        if announcement.born_ms and announcement.born_ms < born_ms:
            self._note_earlier(announcement)
            return False
        if announcement.worker_id != current.worker_id or (
            listed_born_ms and announcement.born_ms > listed_born_ms
        ):
            self.successor = announcement
            return False
        if listed_born_ms and current.born_ms not in (0, listed_born_ms):
            return True
        return self._is_confirmed(announcement)

    def _note_earlier(self, announcement):
        """Record the second heartbeat of another worker that started before this one.

        The first one may be late; after the second, its clock may have been set back.
        """
        if announcement.worker_id == self.current.worker_id:
            return
        earlier, self._earlier = self._earlier, announcement
        if earlier is not None and _follows(announcement, earlier):
            self.successor = announcement

    def _is_confirmed(self, announcement):
        if _follows(announcement, self.current):
            return True
        if announcement.sequence <= self.current.sequence and _is_near(
            announcement, self.current
        ):
            return False
        earlier, self._unconfirmed = self._unconfirmed, announcement
        return earlier is not None and _confirms(announcement, earlier)


def _log_announced(announcement):
    log_decision(
        "worker announced",
        worker_id=announcement.worker_id,
        born_ms=announcement.born_ms,
        sequence=announcement.sequence,
        service=announcement.service,
        is_draining=announcement.is_draining,
        cold_ms=announcement.cold_ms,
    )


def _without_changing_fields(announcement):
    """Return an announcement without the fields that differ in each heartbeat."""
    return replace(announcement, sequence=0, cold_ms=int(announcement.cold_ms > 0))


def _order(announcement):
    return announcement.born_ms, announcement.sequence


def _follows(later, earlier):
    return later.sequence > earlier.sequence and _is_near(later, earlier)


def _confirms(later, earlier):
    """Tell whether the second heartbeat of a row that differs may take effect.

    Its capacity may be another one again, as long as it changes.
    """
    return _follows(later, replace(earlier, capacity=later.capacity))


def _is_near(left, right):
    """Tell whether two heartbeats describe one incarnation at about one time."""
    distance = abs(left.sequence - right.sequence)
    return distance <= MAX_SEQUENCE_DISTANCE and _traits(left) == _traits(right)


def _traits(announcement):
    """Return what is the same in all heartbeats of an incarnation."""
    return (
        announcement.born_ms,
        announcement.service,
        announcement.data_centre,
        announcement.labels,
        announcement.rack,
        announcement.capacity,
    )
