"""Chooses tasks to throttle or evict when an instance is short of resources.

Throttling comes first, since it loses no work. Evictions follow in ascending order of
urgency and of the work lost.
"""

from dataclasses import dataclass, field

from .resources import Resources

__all__ = ["PressureControl", "Victim", "choose_victims", "room_after"]

#: CPU utilization above which tasks are throttled.
MAX_UTILIZATION_RATIO = 1.0
#: CPU utilization below which the shares of throttled tasks rise again.
LOW_UTILIZATION_RATIO = 0.85
#: Time that a shortage must last despite throttling before a task is evicted.
EVICTION_DELAY_S = 20.0
#: Time between two evictions or changes of shares, so that each can take effect.
MIN_CHANGE_INTERVAL_S = 10.0
#: Smallest share that a task is throttled to, and the step by which shares rise.
MIN_SHARE = 0.1
SHARE_STEP = 0.2


@dataclass(slots=True, frozen=True)
class Victim:
    """A running task that may be evicted."""

    task_id: str
    reserved: Resources
    urgency: int
    #: Seconds of work since its latest checkpoint.
    unsaved_s: float
    #: Number of times that the task was released before.
    releases: int = 0

    @property
    def cost(self):
        """Sort key: urgency, then unsaved work, weighted by the number of releases."""
        return (self.urgency, self.unsaved_s * (1 + self.releases), self.task_id)


def room_after(room, victims):
    """Return the free resources after the victims are evicted."""
    for victim in victims:
        room = room + victim.reserved
    return room


def choose_victims(victims, room, needed):
    """Return the cheapest victims whose eviction makes room for ``needed``.

    Parameters
    ----------
    victims : iterable of Victim
    room : Resources
        Resources that are free without any eviction.
    needed : Resources

    Returns
    -------
    list of Victim
        Empty if there is room already; None if evicting all victims is not enough.
    """
    chosen = []
    for victim in sorted(victims, key=lambda victim: victim.cost):
        if needed.fits_in(room_after(room, chosen)):
            break
        if not _frees_shortage(victim, room_after(room, chosen), needed):
            continue
        chosen.append(victim)
    if not needed.fits_in(room_after(room, chosen)):
        return None
    for victim in reversed(list(chosen)):
        others = [other for other in chosen if other is not victim]
        if needed.fits_in(room_after(room, others)):
            chosen = others
    return chosen


def _frees_shortage(victim, room, needed):
    """Return whether a victim frees some of a resource that is still short."""
    short = needed - room
    freed = victim.reserved
    return (
        (short.millicores > 0 and freed.millicores > 0)
        or (short.memory_mb > 0 and freed.memory_mb > 0)
        or (short.accelerators > 0 and freed.accelerators > 0)
    )


@dataclass(slots=True)
class PressureControl:
    """Throttles and evicts tasks by measured usage, with hysteresis.

    Call `update` with each new usage report. Shares fall at once and rise in steps. A
    shortage of CPU leads to an eviction only if throttling does not end it; a shortage
    of memory does so without throttling.
    """

    shares_by_id: dict[str, float] = field(default_factory=dict)
    short_since_s: float | None = None
    changed_s: float = float("-inf")

    def update(self, now_s, capacity, used_by_id, reserved_by_id):
        """Return the new shares, and the resources to free by eviction.

        Returns
        -------
        tuple of (dict of str to float, Resources)
            Changed shares by task id, and the resources to free, 0 for none.
        """
        used = sum(used_by_id.values(), Resources())
        gone_ids = self.shares_by_id.keys() - used_by_id.keys()
        for task_id in gone_ids:
            del self.shares_by_id[task_id]
        memory_short_mb = used.memory_mb - capacity.memory_mb
        if memory_short_mb > 0 and now_s - self.changed_s >= MIN_CHANGE_INTERVAL_S:
            self.changed_s = now_s
            return {}, Resources(memory_mb=memory_short_mb)
        utilization = used.millicores / max(capacity.millicores, 1)
        if utilization > MAX_UTILIZATION_RATIO:
            return self._throttle_or_evict(
                now_s, used, capacity, used_by_id, reserved_by_id
            )
        self.short_since_s = None
        if (
            utilization < LOW_UTILIZATION_RATIO
            and now_s - self.changed_s >= MIN_CHANGE_INTERVAL_S
        ):
            return self._raise_shares(now_s), Resources()
        return {}, Resources()

    def _throttle_or_evict(self, now_s, used, capacity, used_by_id, reserved_by_id):
        if self.short_since_s is None:
            self.short_since_s = now_s
        if now_s - self.changed_s < MIN_CHANGE_INTERVAL_S:
            return {}, Resources()
        shares_by_id = {}
        for task_id, amount in used_by_id.items():
            reserved = reserved_by_id.get(task_id, amount).millicores
            share = self.shares_by_id.get(task_id, 1.0)
            if amount.millicores > reserved and share > MIN_SHARE:
                share = max(MIN_SHARE, share * reserved / amount.millicores)
                shares_by_id[task_id] = share
        if shares_by_id:
            self.shares_by_id |= shares_by_id
            self.changed_s = now_s
            return shares_by_id, Resources()
        if now_s - self.short_since_s < EVICTION_DELAY_S:
            return {}, Resources()
        self.changed_s = now_s
        return {}, Resources(millicores=used.millicores - capacity.millicores)

    def _raise_shares(self, now_s):
        changed_by_id = {
            task_id: min(1.0, share + SHARE_STEP)
            for task_id, share in self.shares_by_id.items()
            if share < 1.0
        }
        if changed_by_id:
            self.shares_by_id |= changed_by_id
            self.changed_s = now_s
        return changed_by_id
