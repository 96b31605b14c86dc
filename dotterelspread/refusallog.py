"""Recent refusals of an entry, shown to operators."""

from collections import OrderedDict

from .outcome import Refused
from .views import RefusalView

__all__ = ["RefusalLog"]

#: Maximum number of refusals kept.
MAX_REFUSALS = 1000


class RefusalLog:
    """The most recent refusals by request id.

    Each entry has one, in which all of its interfaces record their refusals.
    """

    __slots__ = ("_views_by_id",)

    def __init__(self):
        self._views_by_id = OrderedDict()

    def note(self, request_id, service, kind, outcome):
        """Record an outcome if it is a refusal."""
        if not isinstance(outcome, Refused):
            return
        self._views_by_id[request_id] = RefusalView(
            request_id, service, kind, outcome.reason.value, outcome.detail
        )
        if len(self._views_by_id) > MAX_REFUSALS:
            self._views_by_id.popitem(last=False)

    def views(self):
        """Return the recorded refusals, oldest first."""
        return list(self._views_by_id.values())

    def find(self, request_id):
        """Return the recorded refusal of a request, or None."""
        return self._views_by_id.get(request_id)
