"""Feedback control of batch tasks by the estimated slowdown of each program.

Programs get cores in ascending order of their slowdown per core, as long as the
expected tail latency, plus a margin for the model's uncertainty, stays within the
target. Shares fall at once and rise slowly. A task is evicted only after its program
has been throttled to almost nothing for a long time, and only one task at a time.
"""

import math

from ..controller import BatchDecision, Controller, cheapest_victim, cores_by_program
from ..interference import InterferenceModel

__all__ = ["FeedbackController"]

#: Standard deviations added to an estimate: minimum, and addition at latency weight 1.
MIN_UNCERTAINTY_FACTOR = 0.3
LATENCY_UNCERTAINTY_FACTOR = 0.6

#: Margin below the target in log latency: minimum, and addition at latency weight 1.
MIN_LOG_MARGIN = 0.06
LATENCY_LOG_MARGIN = 0.06

MAX_SHARE_RISE_PER_S = 0.04

#: Smallest change of a share that is applied.
MIN_SHARE_CHANGE = 0.02

#: Time without rises after a report above target, and between two evictions; it covers
#: the lag of usage reports.
COOLDOWN_S = 30.0

#: Factor on all shares after a report above target that the model did not predict.
BACKOFF_FACTOR = 0.7

#: Share below which a program counts as starved.
STARVATION_SHARE = 0.1

#: Time that a program must be starved before a task is evicted: minimum, and addition
#: at batch weight 1.
MIN_EVICTION_DELAY_S = 300.0
BATCH_EVICTION_DELAY_S = 600.0


class FeedbackController(Controller):
    """Keeps the service's tail latency within target at the least cost to batch tasks.

    It is meant for instances that run a service beside batch tasks.
    """

    name = "feedback"

    def __init__(self, target_s, objectives):
        super().__init__(target_s, objectives)
        self.model = InterferenceModel(target_s)
        latency, batch = objectives.latency_weight, objectives.batch_weight
        self._uncertainty_factor = (
            MIN_UNCERTAINTY_FACTOR + LATENCY_UNCERTAINTY_FACTOR * latency
        )
        self._max_log_latency = math.log(target_s) - (
            MIN_LOG_MARGIN + LATENCY_LOG_MARGIN * latency
        )
        self._eviction_delay_s = MIN_EVICTION_DELAY_S + BATCH_EVICTION_DELAY_S * batch
        self._share_by_program = {}
        self._starved_since_s = {}
        self._decided_s = None
        self._backed_off_s = -math.inf
        self._evicted_s = -math.inf
        self._is_above_target = False

    def report(self, sample):
        """Update the model; if the latency is above target, back off next time."""
        self.model.observe(sample)
        if sample.p99_s > self.target_s and sample.end_s > self._backed_off_s:
            self._is_above_target = True

    def decide(self, now_s, load, tasks):
        """Return shares by program, and at most one task to evict."""
        wanted = cores_by_program(tasks)
        target_by_program = self._target_shares(load, wanted)
        self._move_shares(now_s, target_by_program)
        shares = {program: self._share_by_program[program] for program in wanted}
        running = {program: shares[program] * wanted[program] for program in wanted}
        self.model.history.record(now_s, running)
        total = sum(wanted.values())
        share = sum(running.values()) / total if total else 1.0
        victim = self._choose_victim(now_s, tasks)
        if victim is None:
            reason = self._reason(shares)
            return BatchDecision(share, shares, reason=reason)
        reason = f"{victim.program} starved for {self._eviction_delay_s:.0f} s"
        return BatchDecision(share, shares, (victim.task_id,), reason)

    def _target_shares(self, load, wanted):
        """Return each program's largest share that keeps the latency within target."""
        mean, deviation = self.model.baseline(load)
        room = self._max_log_latency - mean - self._uncertainty_factor * deviation
        costs = {}
        for program in wanted:
            estimate = self.model.slowdown_estimate(program, load)
            cost = estimate.slowdown + self._uncertainty_factor * estimate.uncertainty
            costs[program] = max(cost, 0.0)
        target_by_program = {}
        for program in sorted(wanted, key=lambda name: (costs[name], name)):
            cost = costs[program] * wanted[program]
            affordable = cost <= 0.0 or cost <= room
            target_by_program[program] = 1.0 if affordable else max(room / cost, 0.0)
            room -= target_by_program[program] * cost
        return target_by_program

    def _move_shares(self, now_s, target_by_program):
        """Move the shares towards their targets: down at once, up at a limited rate."""
        elapsed_s = 0.0 if self._decided_s is None else now_s - self._decided_s
        self._decided_s = now_s
        if self._is_above_target:
            self._is_above_target = False
            self._backed_off_s = now_s
            for program in self._share_by_program:
                self._share_by_program[program] *= BACKOFF_FACTOR
        may_rise = now_s >= self._backed_off_s + COOLDOWN_S
        rise = MAX_SHARE_RISE_PER_S * elapsed_s if may_rise else 0.0
        moved = {}
        for program, target in target_by_program.items():
            share = self._share_by_program.get(program, min(target, 0.5))
            if (
                target < share - MIN_SHARE_CHANGE
                or target > share + MIN_SHARE_CHANGE
                or target == 0.0
            ):
                share = min(target, share + rise)
            moved[program] = share
        self._share_by_program = moved

    def _choose_victim(self, now_s, tasks):
        """Return the cheapest task of the programs starved for too long, or None."""
        starved_since_s = {}
        for program, share in self._share_by_program.items():
            if share < STARVATION_SHARE:
                starved_since_s[program] = self._starved_since_s.get(program, now_s)
        self._starved_since_s = starved_since_s
        if now_s < self._evicted_s + COOLDOWN_S:
            return None
        overdue = {
            p
            for p, since_s in starved_since_s.items()
            if now_s >= since_s + self._eviction_delay_s
        }
        victim = cheapest_victim([task for task in tasks if task.program in overdue])
        if victim is not None:
            self._evicted_s = now_s
        return victim

    def _reason(self, shares):
        throttled = sorted(p for p, share in shares.items() if share < 1.0)
        if not throttled:
            return "service within target"
        return f"throttled for the service's p99: {', '.join(throttled)}"
