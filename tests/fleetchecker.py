"""Invariants of the runs on all workers, checked on the events that workers report."""

from dotterelspread.jobs import clock
from dotterelspread.jobs.agentreport import RunEnd
from dotterelspread.jobs.spec import parse_task_id
from dotterelspread.resources import Resources

__all__ = ["Checker"]


#: Longest time from the acknowledgement of an end to a call that starts its task.
MAX_START_AFTER_END_S = 1.0


class Checker:
    """Checks the invariants on the events of the workers and collects violations."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.violations = []
        self.worker_ids_by_task_id = {}
        self.done = {}
        self.acknowledged_done = set()
        #: When an end of each task was first acknowledged, also if it was void.
        self.noted_s_by_task_id = {}
        #: When each job was first shown as complete.
        self.shown_s_by_job_id = {}
        self.ends_by_incarnation = {}
        self.acknowledged_by_incarnation = {}
        self.void_ends_by_incarnation = {}
        self.runs = 0
        #: Incarnations that crashed under a run of a task.
        self.crashed_by_task_id = {}

    def add_violation(self, text):
        self.violations.append(f"{clock.now_s():.3f} {text}")

    def count_ends(self, worker):
        return len(
            self.ends_by_incarnation.setdefault((worker.number, worker.incarnation), [])
        )

    def record_start(self, worker, order):
        self.runs += 1
        task_id = order.task_id
        for other in self.fleet.workers:
            other.end_due_runs()
        others = self.worker_ids_by_task_id.setdefault(task_id, set())
        if others:
            self.add_violation(f"{task_id} run {order.run} also on {others}")
        others.add(worker.worker_id)
        if task_id in self.acknowledged_done:
            self.add_violation(f"{task_id} starts after its end was acknowledged")
        job_id, key = parse_task_id(task_id)
        self._check_time(worker, job_id, order)
        spec = self.fleet.specs.get(job_id)
        if spec is None or order.program != spec.program:
            self.add_violation(f"{task_id} was not submitted")
            return
        self._check_dependencies(task_id, spec, key)
        self._check_capacity(worker)

    def _check_time(self, worker, job_id, order):
        """Check that no agent starts a task long after an end of it was noted."""
        sent_s = worker.start_sent_s_by_run.get((order.task_id, order.run), 0.0)
        noted_s = self.noted_s_by_task_id.get(order.task_id, sent_s)
        ended_s = min(noted_s, self.shown_s_by_job_id.get(job_id, sent_s))
        if sent_s > ended_s + MAX_START_AFTER_END_S:
            self.add_violation(f"{order.task_id} is started long after its end")

    def _check_dependencies(self, task_id, spec, key):
        for earlier in spec.steps[key[1]].depends_on:
            for index in range(spec.steps[earlier].count):
                other = f"{spec.job_id}.{key[0]}.{earlier}.{index}"
                if other not in self.done:
                    self.add_violation(f"{task_id} starts before {other} has ended")

    def _check_capacity(self, worker):
        total = Resources()
        for task_id in worker.running:
            job_id, key = parse_task_id(task_id)
            total = total + self.fleet.specs[job_id].steps[key[1]].reserved
        if not total.fits_in(worker.largest_recent_capacity()):
            self.add_violation(f"{worker.worker_id} is over its capacity: {total}")

    def record_end(self, worker, task_id, run, how):
        self.worker_ids_by_task_id.setdefault(task_id, set()).discard(worker.worker_id)
        if how is None:
            return
        ends = self.ends_by_incarnation.setdefault(
            (worker.number, worker.incarnation), []
        )
        ends.append((task_id, how))
        if how == RunEnd.COMPLETED:
            self.done.setdefault(task_id, clock.now_s())

    def record_crash(self, worker):
        incarnation = (worker.number, worker.incarnation)
        for task_id in worker.running:
            self.crashed_by_task_id.setdefault(task_id, set()).add(incarnation)

    def count_crashes(self, job_id):
        """Return the largest number of workers that crashed under a task of a job."""
        return max(
            (
                len(crashed)
                for task_id, crashed in self.crashed_by_task_id.items()
                if parse_task_id(task_id)[0] == job_id
            ),
            default=0,
        )

    def _is_batch(self, task_id):
        job_id, key = parse_task_id(task_id)
        return not self.fleet.specs[job_id].steps[key[1]].is_service

    def record_lease_expiry(self, worker):
        """Void the run ends that were not acknowledged before the lease expired."""
        incarnation = (worker.number, worker.incarnation)
        self.void_ends_by_incarnation[incarnation] = len(
            self.ends_by_incarnation.get(incarnation, ())
        )

    def record_acknowledgement(self, worker, seen):
        incarnation = (worker.number, worker.incarnation)
        ends = self.ends_by_incarnation.setdefault(incarnation, [])
        first = self.acknowledged_by_incarnation.get(incarnation, 0)
        for number in range(first, seen):
            task_id, how = ends[number]
            if how == RunEnd.COMPLETED and self._is_batch(task_id):
                self.noted_s_by_task_id.setdefault(task_id, clock.now_s())
            is_void = number < self.void_ends_by_incarnation.get(incarnation, 0)
            if how == RunEnd.COMPLETED and not is_void and self._is_batch(task_id):
                self.acknowledged_done.add(task_id)
        self.acknowledged_by_incarnation[incarnation] = max(first, seen)
