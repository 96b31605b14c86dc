"""How much a running task needs, learned from the usage that its worker reports."""

from .resources import Resources

__all__ = ["recommended_reservation"]

#: Seconds of observation before a reservation may shrink below what was declared.
MIN_OBSERVATION_S = 30.0
#: Margin above the measured peak, as a fraction of the peak.
PEAK_MARGIN_RATIO = 0.1
#: Part of a reservation that shrinking must free to be worth a record.
MIN_SHRINK_RATIO = 0.2


def recommended_reservation(task, peak, observed_s):
    """Return the resources that a task's owner should reserve for it.

    Parameters
    ----------
    task : CellTask
    peak : Resources
        Largest amounts measured on this instance.
    observed_s : float
        Time for which usage was measured without throttling; 0 if the reservation must
        not shrink.

    Returns
    -------
    Resources
        The largest of the demand, the declared amount and the peak, for each resource.
        After enough observation, the peak with a margin if that frees enough, otherwise
        the present reservation or the peak, whichever is larger.
    """
    if observed_s < MIN_OBSERVATION_S:
        return task.demand.at_least(task.spec.declared).at_least(peak)
    shrunk = Resources(
        int(peak.millicores * (1 + PEAK_MARGIN_RATIO)),
        int(peak.memory_mb * (1 + PEAK_MARGIN_RATIO)),
        task.spec.declared.accelerators,
    )
    freed = task.reserved - shrunk
    is_worthwhile = (
        freed.millicores > MIN_SHRINK_RATIO * task.reserved.millicores
        or freed.memory_mb > MIN_SHRINK_RATIO * task.reserved.memory_mb
    )
    return shrunk if is_worthwhile else task.reserved.at_least(peak)
