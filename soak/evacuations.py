"""Evacuations of data centres in the soak test, and the check that they take effect."""

from dotterelspread.jobs import clock
from tests.builders_evacuation import EVACUATE_S

from .places import DATA_CENTRES

__all__ = ["Evacuations"]

#: Names that may be evacuated; no worker is in the last one.
NAMES = (*DATA_CENTRES, "nowhere")
#: Most evacuations at the same time. One data centre always takes starts.
MAX_EVACUATED = len(DATA_CENTRES) - 1


class Evacuations:
    """Evacuates data centres through the store, and checks the starts of workers.

    Parameters
    ----------
    store : SoakStore
    checker : Checker
        Receives the violations.
    """

    def __init__(self, store, checker):
        self._store = store
        self._checker = checker
        #: When the store acknowledged each evacuation that has not been revoked.
        self._since_s_by_name = {}
        self.count = 0
        #: Longest time from an evacuation to a start in its data centre.
        self.max_start_delay_s = 0.0

    def names_to_choose(self):
        """Return the names that may be evacuated now."""
        if len(self._since_s_by_name) >= MAX_EVACUATED:
            return []
        return [name for name in NAMES if name not in self._since_s_by_name]

    def evacuate(self, name):
        """Evacuate a data centre; the store acknowledges it at once."""
        self._store.write_key(f"evacuate/{name}", b"{}")
        self._since_s_by_name[name] = clock.now_s()
        self.count += 1

    def restore(self, name):
        """Revoke the evacuation of a data centre."""
        self._store.write_key(f"evacuate/{name}", b"")
        del self._since_s_by_name[name]

    def start_delay_s(self, data_centre):
        """Return how long ago a data centre was evacuated; 0 if it is not evacuated."""
        now_s = clock.now_s()
        return now_s - self._since_s_by_name.get(data_centre, now_s)

    def check_start(self, worker, task_id, delay_s):
        """Check a start that reached its worker with the given `start_delay_s`."""
        self.max_start_delay_s = max(self.max_start_delay_s, delay_s)
        if delay_s > EVACUATE_S:
            self._checker.violations.append(
                f"{task_id} starts on {worker.worker_id}, {delay_s:.2f} s after the "
                f"evacuation of {worker.data_centre}"
            )
