"""The configuration that operators publish for a fleet: queues and services."""

from dataclasses import dataclass, field

import msgspec

from ..h1server import H1Limits

__all__ = ["FleetConfiguration", "Queue"]


class Queue(msgspec.Struct, array_like=True, frozen=True):
    """Where callers submit jobs of one kind, and how its tasks are treated."""

    name: str
    host: str
    path_prefix: str
    #: Service whose workers run the tasks.
    service: str
    #: Urgency; 0 comes first and may preempt the others.
    priority: int = 0
    #: Failures of one task after which its job has failed.
    max_attempts: int = 1
    #: Part of the latency objective that grows with the job's chain of work.
    slack_factor: float = 1.0
    #: Part of the latency objective that does not, in milliseconds.
    objective_ms: int = 0
    #: Whether a policy service says which workers may run a step.
    needs_permits: bool = False


@dataclass(slots=True, frozen=True)
class FleetConfiguration:
    """One published version."""

    version: int = -1
    queues_by_name: dict[str, Queue] = field(default_factory=dict)
    #: Bounds on what callers may send.
    limits: H1Limits = field(default_factory=H1Limits)
    #: Services whose workers refuse starts for which they have no room.
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
