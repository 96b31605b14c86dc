"""Fleet configuration published by the operators: queues and services."""

from dataclasses import dataclass, field

import msgspec

from ..h1server import H1Limits

__all__ = ["FleetConfiguration", "PermitTiming", "Queue"]


class PermitTiming(msgspec.Struct, array_like=True, frozen=True):
    """Times of a queue's policy service; 0 where they are not known."""

    #: Time of an answer, in addition to that for each worker in the query.
    decide_ms: int = 0
    per_worker_ms: int = 0
    #: Time for which a permit is valid.
    valid_ms: int = 0

    def query_ms(self, worker_count):
        """Return the time of an answer on a number of workers."""
        return self.decide_ms + self.per_worker_ms * worker_count


class Queue(msgspec.Struct, array_like=True, frozen=True):
    """A queue for jobs of one kind: its route, priority and latency objective."""

    name: str
    host: str
    path_prefix: str
    #: Service whose workers run the tasks.
    service: str
    #: Priority; 0 is the highest and may preempt the others.
    priority: int = 0
    #: Number of failures of one task after which its job fails.
    max_attempts: int = 1
    #: Multiple of the job's critical path that is added to the latency objective.
    slack_factor: float = 1.0
    #: Constant part of the latency objective.
    objective_ms: int = 0
    #: Whether a policy service decides which workers may run a step.
    needs_permits: bool = False
    permit_timing: PermitTiming = PermitTiming()


@dataclass(slots=True, frozen=True)
class FleetConfiguration:
    """One published version of the configuration."""

    version: int = -1
    queues_by_name: dict[str, Queue] = field(default_factory=dict)
    #: Limits on the requests of callers.
    limits: H1Limits = field(default_factory=H1Limits)
    #: Services whose workers refuse a start that exceeds their available resources.
    overload_rejecting_services: frozenset[str] = frozenset()

    def match(self, host, path):
        """Return the queue with the longest prefix of ``path`` at ``host``, or None."""
        best = None
        for queue in self.queues_by_name.values():
            if queue.host != host or not path.startswith(queue.path_prefix):
                continue
            if best is None or len(queue.path_prefix) > len(best.path_prefix):
                best = queue
        return best
