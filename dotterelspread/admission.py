"""Admission control: whether an instance can answer a request before its deadline.

A request that would miss its deadline is refused on arrival instead of after queueing.
"""

from .outcome import RefusalReason, Refused

__all__ = ["Admission"]

#: Weight of a new service time in the exponential moving average.
SERVICE_TIME_WEIGHT = 0.1
#: Seconds over which the arrival rate is averaged.
ARRIVAL_WINDOW_S = 0.5
#: Service time assumed for a kind that has not been executed yet.
INITIAL_SERVICE_TIME_S = 0.02
#: Maximum wait within the kind's share, as a multiple of its service time.
MAX_WAIT_RATIO_IN_SHARE = 1.25
#: Maximum wait beyond the kind's share, as a multiple of its service time.
MAX_WAIT_RATIO_OVER_SHARE = 0.5
#: Maximum number of queued requests at an instance, over all kinds.
MAX_WAITING_REQUESTS = 512
#: Seconds after which a refused caller may retry.
RETRY_AFTER_S = 1.0


class Admission:
    """Admission decisions, based on estimated service time and demand of each kind.

    Parameters
    ----------
    queue : Queue
        Queue of the admitted requests.
    """

    __slots__ = (
        "demand_by_kind",
        "last_arrival_s_by_kind",
        "queue",
        "service_s_by_kind",
    )

    def __init__(self, queue):
        self.queue = queue
        self.service_s_by_kind = {}
        self.demand_by_kind = {}
        self.last_arrival_s_by_kind = {}

    def service_s(self, kind):
        """Return the estimated service time of a kind in seconds."""
        return self.service_s_by_kind.get(kind, INITIAL_SERVICE_TIME_S)

    def note_service(self, kind, service_s):
        """Update the average service time of a kind with a measured one."""
        old_s = self.service_s_by_kind.get(kind)
        if old_s is None:
            self.service_s_by_kind[kind] = service_s
        else:
            step_s = SERVICE_TIME_WEIGHT * (service_s - old_s)
            self.service_s_by_kind[kind] = old_s + step_s

    def note_arrival(self, kind, now_s):
        """Count an arriving request, whether or not it is admitted."""
        rate = self._arrival_rate(kind, now_s)
        self.demand_by_kind[kind] = rate + 1 / ARRIVAL_WINDOW_S
        self.last_arrival_s_by_kind[kind] = now_s

    def expected_slots(self, kind, now_s):
        """Return the number of slots available to a kind at the current demand."""
        kinds_by_name = self.queue.kinds_by_name
        demand = {
            name: self._arrival_rate(name, now_s) * self.service_s(name)
            for name in kinds_by_name
        }
        if not self.queue.has_shares or kind not in kinds_by_name:
            return float(self.queue.slots)
        slots = self.queue.slots
        used = {
            name: min(config.share * slots, demand[name])
            for name, config in kinds_by_name.items()
        }
        spare = slots - sum(used.values())
        urgency = kinds_by_name[kind].urgency
        for name, config in kinds_by_name.items():
            if config.urgency > urgency:
                spare -= max(0.0, demand[name] - used[name])
        guaranteed = kinds_by_name[kind].share * slots
        return max(guaranteed, used[kind] + max(0.0, spare))

    def expected_wait_s(self, kind, running, now_s):
        """Return the seconds that a request arriving now would wait in the queue."""
        if running < self.queue.slots and not len(self.queue):
            return 0.0
        slots = self.expected_slots(kind, now_s)
        if slots <= 0:
            return float("inf")
        work_s = self.queue.count_ahead(kind) * self.service_s(kind)
        credit_s = self.queue.credit(kind, now_s)
        own_s = min(work_s, max(0.0, credit_s))
        entitled_s = own_s + self._entitled_work_s(kind, now_s)
        next_free_s = self.service_s(kind) / self.queue.slots
        own_rate_s = (work_s - own_s + max(0.0, -credit_s)) / slots
        return next_free_s + entitled_s / self.queue.slots + own_rate_s

    def _entitled_work_s(self, excluded_kind, now_s):
        """Return the slot seconds of queued work of other kinds that has precedence."""
        return sum(
            min(
                self.queue.count(kind) * self.service_s(kind),
                max(0.0, self.queue.credit(kind, now_s)),
            )
            for kind in self.queue.kinds_by_name
            if kind != excluded_kind
        )

    def refusal(self, kind, deadline_s, running, now_s):
        """Return the refusal of a request, or None if it is admitted.

        Parameters
        ----------
        kind : str
            Kind of the request.
        deadline_s : float
            Deadline of the answer, in monotonic seconds.
        running : int
            Number of slots in use.
        now_s : float
            Current monotonic time.
        """
        wait_s = self.expected_wait_s(kind, running, now_s)
        service_s = self.service_s(kind)
        if now_s >= deadline_s or now_s + wait_s + service_s > deadline_s:
            return Refused(
                RefusalReason.DEADLINE,
                "the request cannot be answered before its deadline",
            )
        if len(self.queue) >= MAX_WAITING_REQUESTS:
            detail = "the queue of the instance is full"
            return Refused(RefusalReason.NO_CAPACITY, detail, RETRY_AFTER_S)
        config = self.queue.kinds_by_name.get(kind)
        is_refusable = self.queue.has_shares and (config is None or config.refusable)
        if is_refusable and wait_s > self._max_wait_ratio(kind, now_s) * service_s:
            detail = f"requests of kind {kind} exceed its share"
            return Refused(RefusalReason.SHED, detail, RETRY_AFTER_S)
        return None

    def _max_wait_ratio(self, kind, now_s):
        is_in_share = self.queue.credit(kind, now_s) > self.service_s(kind)
        return MAX_WAIT_RATIO_IN_SHARE if is_in_share else MAX_WAIT_RATIO_OVER_SHARE

    def _arrival_rate(self, kind, now_s):
        elapsed_s = now_s - self.last_arrival_s_by_kind.get(kind, now_s)
        remaining_ratio = max(0.0, 1 - elapsed_s / ARRIVAL_WINDOW_S)
        return self.demand_by_kind.get(kind, 0.0) * remaining_ratio
