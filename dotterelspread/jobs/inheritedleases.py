"""Until when a successor has to count leases that earlier leaders may have granted."""

from dataclasses import dataclass

from .leaseend import lease_end_s
from .records import Suspension

__all__ = ["InheritedLeases"]

#: Time left to the first reports of the agents, which tell of ends and crashes.
MIN_WAIT_S = 0.5


@dataclass(slots=True, frozen=True)
class InheritedLeases:
    """What a successor knows of leases at its takeover.

    Once a leader has suspended the grants to a worker, its record tells for how long
    leases may last on. The remaining time that a record gives was right before the
    record was appended, so before the claim that followed it: counted from the
    takeover it ends no earlier than the leases do. Each leader counts its part of the
    time on its own clock, and `lease_end_s` allows for the drift of all of them, so
    that no clock readings are compared.
    """

    #: Leader's clock at the takeover.
    now_s: float
    lease_ms: int
    max_lease_ms: int
    #: Longest time for which earlier leaders still grant leases; 0 if none does.
    grant_s: float
    #: Epoch of the previous leader.
    epoch: int
    suspensions_by_id: dict[str, Suspension]
    #: Workers that may hold a residual lease.
    residual_ids: frozenset[str]

    def is_suspended(self, worker_id):
        """Tell whether the previous leader granted a worker no leases at its end."""
        suspension = self.suspensions_by_id.get(worker_id)
        return suspension is not None and suspension.epoch == self.epoch

    @property
    def granted_end_s(self):
        """Time by which all leases that earlier leaders may yet grant have expired."""
        return lease_end_s(self.now_s + self.grant_s, self.lease_ms)

    def end_s(self, worker_id):
        """Return the time by which the leases of a worker have expired."""
        is_suspended = self.is_suspended(worker_id)
        end_s = self.granted_end_s
        if is_suspended:
            end_s = lease_end_s(self.now_s, self.lease_ms)
        if worker_id in self.residual_ids:
            end_s = max(end_s, lease_end_s(self.now_s, self.max_lease_ms))
        if is_suspended:
            remaining_ms = self.suspensions_by_id[worker_id].remaining_ms
            if remaining_ms is not None:
                wait_s = max(MIN_WAIT_S, remaining_ms / 1000)
                end_s = min(end_s, self.now_s + wait_s)
        return end_s
