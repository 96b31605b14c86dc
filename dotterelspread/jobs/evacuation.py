"""Data centres that operators have evacuated: nothing more is started there.

Operators write one key for each of them to the stream of the configuration. Each entry
follows that stream; the leader uses what its own process has read. Runs that have
started go on.
"""

from ..decisionlog import log_decision
from ..reducer import reduce
from . import clock
from .cell import Evacuated
from .placement.placing import place

__all__ = ["EvacuatedDataCentres", "start_validity_s"]

#: Share of the time that the platform allows for starts after an evacuation. Starts are
#: sent until the stream was read this long ago; the rest covers a call to the worker.
MAX_AGE_RATIO = 0.5
#: Time for which a restored data centre gets no new tasks: that of the poll with which
#: the leader tells its agents, which refuse starts until then.
RESTORE_DELAY_S = 1.0
#: Time for which workers of a restored data centre count as cold: by then the leader
#: has got a heartbeat of theirs, which are sent every 1.5 s, in a report after 0.7 s.
ASSUMED_COLD_S = 2.5
#: Largest number of data centres in a log line.
MAX_LOGGED_NAMES = 20


class EvacuatedDataCentres:
    """The evacuated data centres, as last read from the store.

    Parameters
    ----------
    read_name : callable
        Returns the data centre that a record's key evacuates; empty for other keys.
    on_change : callable
        Called with the new names after each change.
    """

    __slots__ = ("_on_change", "_read_name", "known_s", "names")

    def __init__(self, read_name, on_change):
        self.names = frozenset()
        #: When the latest answered read was sent, on `clock.elapsed_s`. What the store
        #: had acknowledged by then is in `names`.
        self.known_s = float("-inf")
        self._read_name = read_name
        self._on_change = on_change

    @property
    def age_s(self):
        """Seconds since `known_s`, including suspensions of the instance."""
        return clock.elapsed_s() - self.known_s

    def replace(self, records, known_s):
        """Apply the newest record of each key; a missing key was removed."""
        self._apply(frozenset(), records, known_s)

    def update(self, records, known_s):
        """Apply records that follow those applied before."""
        self._apply(self.names, records, known_s)

    def _apply(self, names, records, known_s):
        changed = set(names)
        for record in records:
            name = self._read_name(record.key)
            if name and record.value:
                changed.add(name)
            elif name:
                changed.discard(name)
        self.known_s = max(self.known_s, known_s)
        if changed != self.names:
            self.names = frozenset(changed)
            log_decision(
                "evacuated data centres changed",
                evacuated=sorted(changed)[:MAX_LOGGED_NAMES],
                count=len(changed),
            )
            self._on_change(self.names)


def start_validity_s(evacuations, evacuate_ms):
    """Return for how many seconds from now a start may be sent to its worker.

    It is not positive if the evacuated data centres were read too long ago, and None
    if the platform states no limit.

    Parameters
    ----------
    evacuations : EvacuatedDataCentres
    evacuate_ms : int
        Time after an evacuation in which starts are allowed; 0 for no limit.
    """
    if not evacuate_ms:
        return None
    return evacuate_ms / 1000 * MAX_AGE_RATIO - evacuations.age_s


@reduce.register
def _(event: Evacuated, cell):
    restored = cell.evacuated_data_centres - event.data_centres
    cell.evacuated_data_centres = event.data_centres
    for worker in cell.workers_by_id.values():
        worker.is_evacuated = worker.data_centre in event.data_centres
        if worker.data_centre in restored:
            worker.backoff_until_s = max(
                worker.backoff_until_s, event.now_s + RESTORE_DELAY_S
            )
            worker.assumed_cold_until_s = event.now_s + ASSUMED_COLD_S
    return place(cell, event.now_s)
