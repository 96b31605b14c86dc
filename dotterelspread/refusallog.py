"""The refusals that an entry gave lately, for operators."""

from collections import OrderedDict

from .outcome import Refused
from .views import RefusalView

__all__ = ["RefusalLog"]

#: Refusals kept.
MAX_REFUSALS = 1000


class RefusalLog:
    """Remembers the latest refusals by the id of their request.

    Use one in each entry; all of its edges note what they refuse.
    """

    __slots__ = ("_views_by_id",)

    def __init__(self):
        self._views_by_id = OrderedDict()

    def note(self, request_id, service, kind, outcome):
        """Remember an outcome if it is a refusal."""
        if not isinstance(outcome, Refused):
            return
        self._views_by_id[request_id] = RefusalView(
            request_id, service, kind, outcome.reason.value, outcome.detail
        )
        if len(self._views_by_id) > MAX_REFUSALS:
            self._views_by_id.popitem(last=False)

    def views(self):
        """Return the refusals kept, the oldest first."""
        return list(self._views_by_id.values())

    def find(self, request_id):
        """Return the refusal of a request; None when it is not kept."""
        return self._views_by_id.get(request_id)
