"""Selection of the instance that a request is sent to.

Uses power-of-two-choices: the less loaded of two random instances gets the request.
The entry's own data centre is preferred, then its region; other regions only receive
overflow.
"""

from dataclasses import dataclass
from hashlib import blake2b

__all__ = ["Instance", "Load", "choose_instance", "subset_ids"]

#: Number of instances of each distance tier that an entry sends to.
SUBSET_SIZE = 16
#: Load per slot at which an instance counts as full.
FULL_LOAD_RATIO = 1.25
#: Seconds for which a reported load is valid.
MAX_LOAD_AGE_S = 2.0
#: Weight of a new latency in the exponential moving average.
LATENCY_WEIGHT = 0.2
#: Seconds for which a latency is valid; after that a slow instance is tried again.
MAX_LATENCY_AGE_S = 5.0
#: Seconds for which an instance is avoided after a failed connection.
SUSPECT_PERIOD_S = 2.0


@dataclass(slots=True, frozen=True)
class Load:
    """Load that an instance reports with every answer."""

    running: int
    queued: int
    slots: int
    draining: bool = False
    incarnation: int = 0
    configuration_version: int = -1


@dataclass(slots=True)
class Instance:
    """An entry's view of an instance."""

    instance_id: str
    incarnation: int
    address: str
    data_centre: str
    region: str
    services: tuple
    slots: int
    draining: bool = False
    #: Running and queued requests in its last report.
    reported: int = 0
    reported_s: float = float("-inf")
    #: Requests sent to it since that report.
    sent: int = 0
    #: Open attempts of this entry at the instance.
    outstanding: int = 0
    #: Time until which other instances are preferred, after a failed connection.
    suspect_until_s: float = float("-inf")
    #: Exponential moving average of the latency; 0 before the first answer.
    latency_s: float = 0.0
    answered_s: float = float("-inf")

    def note_load(self, load, now_s):
        """Record a reported load; ignore reports of an earlier incarnation."""
        if load is None or 0 < load.incarnation < self.incarnation:
            return
        if load.incarnation > self.incarnation:
            # The instance has restarted and its announcement has not arrived yet.
            self.incarnation = load.incarnation
            self.outstanding = 0
        self.reported = load.running + load.queued
        self.reported_s = now_s
        self.sent = 0
        self.slots = load.slots or self.slots
        self.draining = self.draining or load.draining

    def note_latency(self, latency_s, now_s):
        """Update the average latency with that of an answered request."""
        step_s = LATENCY_WEIGHT * (latency_s - self.latency_s)
        self.latency_s = self.latency_s + step_s if self.latency_s else latency_s
        self.answered_s = now_s

    def note_sent(self):
        """Count a request sent to the instance."""
        self.sent += 1
        self.outstanding += 1

    def load_per_slot(self, now_s):
        """Return the estimated number of requests per slot."""
        is_fresh = now_s - self.reported_s <= MAX_LOAD_AGE_S
        reported = self.reported + self.sent if is_fresh else 0
        return max(reported, self.outstanding) / max(1, self.slots)

    def cost_s(self, now_s):
        """Return the expected latency, which grows with the load."""
        return self.latency_s * (self.load_per_slot(now_s) + 1 / max(1, self.slots))

    def has_latency(self, now_s):
        """Return whether the average latency is recent enough to compare."""
        return self.latency_s > 0 and now_s - self.answered_s <= MAX_LATENCY_AGE_S

    def can_serve(self, service_name):
        """Return whether a request of a service may be sent to the instance."""
        return not self.draining and self.slots > 0 and service_name in self.services


def subset_ids(entry_id, instance_ids, size=SUBSET_SIZE):
    """Return the ids of the instances an entry sends to, by rendezvous hashing."""
    return sorted(instance_ids, key=lambda other: rendezvous(entry_id, other))[:size]


def choose_instance(instances, location, has_link_budget, rng, now_s):
    """Return the instance that a request is sent to, or None.

    Parameters
    ----------
    instances : list of Instance
        Candidates: can serve the request and have not been tried.
    location : EntryLocation
        Id, data centre and region of the entry.
    has_link_budget : callable
        Returns whether the request may use the link between regions.
    rng : random.Random
        Generator for the two choices.
    now_s : float
        Current monotonic time.
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
    """Return the better of two random instances, or None if there are none.

    Compares the expected latency if both have a recent one, else the load.
    """
    if not instances:
        return None
    pair = rng.sample(instances, min(2, len(instances)))
    if all(instance.has_latency(now_s) for instance in pair):
        return min(pair, key=lambda instance: instance.cost_s(now_s))
    return min(pair, key=lambda instance: instance.load_per_slot(now_s))


def subset(entry_id, instances):
    """Return those of the instances that belong to the entry's subset."""
    if len(instances) <= SUBSET_SIZE:
        return instances
    instances_by_id = {instance.instance_id: instance for instance in instances}
    return [instances_by_id[i] for i in subset_ids(entry_id, instances_by_id)]


def rendezvous(entry_id, instance_id):
    """Return the rendezvous-hashing weight of an entry and an instance."""
    return blake2b(f"{entry_id}\0{instance_id}".encode(), digest_size=8).digest()
