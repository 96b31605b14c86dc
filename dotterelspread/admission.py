"""Admission of requests: whether an instance can answer one in time.

A request is refused when it arrives rather than after it has waited in vain.
"""

from .outcome import RefusalReason, Refused

__all__ = ["Admission"]

#: Weight of a new service time in the moving average.
SERVICE_TIME_WEIGHT = 0.1
#: Seconds over which the rate of arrivals is averaged.
ARRIVAL_WINDOW_S = 0.5
#: Service time assumed for a kind that has not been run yet, in seconds.
INITIAL_SERVICE_TIME_S = 0.02
#: Longest wait of a request within its kind's share, in service times of the kind.
MAX_WAIT_RATIO_IN_SHARE = 1.25
#: Longest wait of a request over its kind's share, in service times of the kind.
MAX_WAIT_RATIO_OVER_SHARE = 0.5
#: Most requests that wait at an instance, of all kinds.
MAX_WAITING_REQUESTS = 512
#: Seconds after which a refused caller may try again.
RETRY_AFTER_S = 1.0


class Admission:
    """Estimates of service time and demand by kind, and the decision made from them.

    Parameters
    ----------
    queue : Queue
        The queue that admitted requests join.
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
        """Take over a measured service time in seconds."""
        old_s = self.service_s_by_kind.get(kind)
        if old_s is None:
            self.service_s_by_kind[kind] = service_s
        else:
            step_s = SERVICE_TIME_WEIGHT * (service_s - old_s)
            self.service_s_by_kind[kind] = old_s + step_s

    def note_arrival(self, kind, now_s):
        """Count a request, whether it is admitted or not."""
        rate = self._arrival_rate(kind, now_s)
        self.demand_by_kind[kind] = rate + 1 / ARRIVAL_WINDOW_S
        self.last_arrival_s_by_kind[kind] = now_s

    def expected_slots(self, kind, now_s):
        """Return the slots that a kind can count on while the present demand lasts."""
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
        """Return the seconds that a request which arrives now would wait."""
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
        """Return the slot seconds of other kinds' waiting work that go first."""
        return sum(
            min(
                self.queue.count(kind) * self.service_s(kind),
                max(0.0, self.queue.credit(kind, now_s)),
            )
            for kind in self.queue.kinds_by_name
            if kind != excluded_kind
        )

    def refusal(self, kind, deadline_s, running, now_s):
        """Return why a request cannot be admitted; None when it can.

        Parameters
        ----------
        kind : str
            Kind of the request.
        deadline_s : float
            When its answer is due, in seconds on the monotonic clock.
        running : int
            Slots in use.
        now_s : float
            The time.
        """
        wait_s = self.expected_wait_s(kind, running, now_s)
        service_s = self.service_s(kind)
        if now_s >= deadline_s or now_s + wait_s + service_s > deadline_s:
            return Refused(RefusalReason.DEADLINE, "the answer would come too late")
        if len(self.queue) >= MAX_WAITING_REQUESTS:
            detail = "too many requests wait"
            return Refused(RefusalReason.NO_CAPACITY, detail, RETRY_AFTER_S)
        config = self.queue.kinds_by_name.get(kind)
        is_refusable = self.queue.has_shares and (config is None or config.refusable)
        if is_refusable and wait_s > self._max_wait_ratio(kind, now_s) * service_s:
            detail = f"kind {kind} is over its share"
            return Refused(RefusalReason.SHED, detail, RETRY_AFTER_S)
        return None

    def _max_wait_ratio(self, kind, now_s):
        is_in_share = self.queue.credit(kind, now_s) > self.service_s(kind)
        return MAX_WAIT_RATIO_IN_SHARE if is_in_share else MAX_WAIT_RATIO_OVER_SHARE

    def _arrival_rate(self, kind, now_s):
        elapsed_s = now_s - self.last_arrival_s_by_kind.get(kind, now_s)
        remaining_ratio = max(0.0, 1 - elapsed_s / ARRIVAL_WINDOW_S)
        return self.demand_by_kind.get(kind, 0.0) * remaining_ratio
