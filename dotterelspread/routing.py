"""Which instance a request is sent to.

Of two instances taken at random the less loaded one gets the request. The entry's own
data centre goes first, then its region; other regions only take overflow.
"""

from dataclasses import dataclass
from hashlib import blake2b

__all__ = ["Instance", "Load", "choose_instance", "subset_ids"]

#: Instances of one service and data centre that an entry sends to.
SUBSET_SIZE = 16
#: Load per slot from which on an instance counts as full.
FULL_LOAD_RATIO = 1.25
#: Seconds for which a reported load is believed.
MAX_LOAD_AGE_S = 2.0
#: Weight of a new latency in the moving average.
LATENCY_WEIGHT = 0.2
#: Seconds for which a latency is believed; a slow instance is tried again after that.
MAX_LATENCY_AGE_S = 5.0
#: Seconds for which an instance is avoided after a failed connection.
SUSPECT_PERIOD_S = 2.0


@dataclass(slots=True, frozen=True)
class Load:
    """What an instance says of itself with every answer."""

    running: int
    queued: int
    slots: int
    draining: bool = False
    incarnation: int = 0
    configuration_version: int = -1


@dataclass(slots=True)
class Instance:
    """An instance as an entry knows it."""

    instance_id: str
    incarnation: int
    address: str
    data_centre: str
    region: str
    services: tuple
    slots: int
    draining: bool = False
    #: Requests there when it last reported.
    reported: int = 0
    reported_s: float = float("-inf")
    #: Requests sent since that report.
    sent: int = 0
    #: Requests of this entry that have not ended.
    outstanding: int = 0
    #: Until when others are preferred, as a connection to it failed.
    suspect_until_s: float = float("-inf")
    #: Moving average of the time to an answer; 0 when there was none.
    latency_s: float = 0.0
    answered_s: float = float("-inf")

    def note_load(self, load, now_s):
        """Take over a reported load."""
        if load is None or 0 < load.incarnation < self.incarnation:
            return
        if load.incarnation > self.incarnation:
            # It has restarted, and its announcement is still on the way.
            self.incarnation = load.incarnation
            self.outstanding = 0
        self.reported = load.running + load.queued
        self.reported_s = now_s
        self.sent = 0
        self.slots = load.slots or self.slots
        self.draining = self.draining or load.draining

    def note_latency(self, latency_s, now_s):
        """Take over the time that a completed request took."""
        step_s = LATENCY_WEIGHT * (latency_s - self.latency_s)
        self.latency_s = self.latency_s + step_s if self.latency_s else latency_s
        self.answered_s = now_s

    def note_sent(self):
        """Count a request that is sent there."""
        self.sent += 1
        self.outstanding += 1

    def load_per_slot(self, now_s):
        """Return the estimated requests there for each slot."""
        is_fresh = now_s - self.reported_s <= MAX_LOAD_AGE_S
        reported = self.reported + self.sent if is_fresh else 0
        return max(reported, self.outstanding) / max(1, self.slots)

    def cost_s(self, now_s):
        """Return the latency to expect, growing with the load."""
        return self.latency_s * (self.load_per_slot(now_s) + 1 / max(1, self.slots))

    def has_latency(self, now_s):
        """Tell whether the average latency is recent enough to compare."""
        return self.latency_s > 0 and now_s - self.answered_s <= MAX_LATENCY_AGE_S

    def can_serve(self, service_name):
        """Tell whether a request of a service may be sent there."""
        return not self.draining and self.slots > 0 and service_name in self.services


def subset_ids(entry_id, instance_ids, size=SUBSET_SIZE):
    """Return the instances that an entry sends to, by rendezvous hashing."""
    return sorted(instance_ids, key=lambda other: rendezvous(entry_id, other))[:size]


def choose_instance(instances, location, has_link_budget, rng, now_s):
    """Return the instance that a request is sent to; None when there is none.

    Parameters
    ----------
    instances : list of Instance
        Those that can serve the request and have not been tried.
    place : Place
        The entry's id, data centre and region.
    may_cross : callable
        Tells whether the request may use the link between regions.
    rng : random.Random
        Source of the two choices.
    now_s : float
        The time.
    """
    own_region = [i for i in instances if i.region == location.region]
    tiers = [
        [i for i in own_region if i.data_centre == location.data_centre],
        [i for i in own_region if i.data_centre != location.data_centre],
        [i for i in instances if i.region != location.region],
    ]
    if not has_link_budget():
        tiers.pop()
    fallback = None
    for tier in tiers:
        candidate = choose_of_two(subset(location.entry_id, tier), rng, now_s)
        if candidate is None:
            continue
        if candidate.load_per_slot(now_s) < FULL_LOAD_RATIO:
            return candidate
        fallback = fallback or candidate
    return fallback


def choose_of_two(instances, rng, now_s):
    """Return the less loaded of two random instances; None when there are none."""
    if not instances:
        return None
    pair = rng.sample(instances, min(2, len(instances)))
    if all(instance.has_latency(now_s) for instance in pair):
        return min(pair, key=lambda instance: instance.cost_s(now_s))
    return min(pair, key=lambda instance: instance.load_per_slot(now_s))


def subset(entry_id, instances):
    """Return the entry's subset of some instances."""
    if len(instances) <= SUBSET_SIZE:
        return instances
    instances_by_id = {instance.instance_id: instance for instance in instances}
    return [instances_by_id[i] for i in subset_ids(entry_id, instances_by_id)]


def rendezvous(entry_id, instance_id):
    """Return the weight of a pair in rendezvous hashing."""
    return blake2b(f"{entry_id}\0{instance_id}".encode(), digest_size=8).digest()
