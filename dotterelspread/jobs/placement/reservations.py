"""Capacity for waiting work: its assignment for the next seconds.

A task that does not fit now gets a reservation: the worker and the time at which it is
expected to fit. Other tasks may use that room if they end before, with a margin, or if
enough remains for the reserved task beside them. Reservations last for one placement
pass and are made anew in the next one from the state of the cell.

Within a priority the order of placement puts jobs with little work first, so that new
short jobs would always come before a large one that waits. A job that has waited since
an earlier pass therefore claims its room before the pass begins. A claim holds against
jobs of other queues in the same class of the order, as long as they can start after the
claimed time and still have half of their slack; the order within a queue is kept.

Serving tasks neither hold reservations nor observe them: they do not end by themselves,
and they are to start at once.
"""

from dataclasses import replace

from ..cell import StartRun
from ..reportedeffects import ReservationsMade
from .gaps import GapKeeper
from .ordering import placement_class, yield_end_s
from .reservedroom import (
    Reservation,
    count_leaving_room,
    latest_end_s,
    leaves_room,
)
from .scoring import MIN_FILLER_SPEED_RATIO
from .staleruns import ready_by_step
from .startsearch import StartSearch
from .timeline import need_of, use_of

__all__ = ["Reservations", "make_reservations"]

#: Maximum number of reserved tasks in a pass: some large steps.
MAX_RESERVED_TASKS = 64
#: Number of steps of one queue and label that reservations may stop in a pass; those
#: behind them wait for the next one. Bounds the time of a pass with a long backlog.
BACKFILL_DEPTH = 8
#: Time since a job was accepted from which it claims its room; by then it has been
#: tried in earlier passes.
MIN_CLAIM_AGE_S = 0.3
#: Multiple of its run time after which a job that waits without progress is placed
#: without reservations, since its estimated start has proved wrong.
MAX_WAIT_RATIO = 3.0


def make_reservations(cell, jobs, workers, stale_task_ids, now_s):
    """Return the `Reservations` of a placement pass, or None if they are off.

    Parameters
    ----------
    cell : Cell
    jobs : list of Job
        Jobs with tasks to place, in the order of placement.
    workers : list of Worker
        Workers that accept tasks.
    stale_task_ids : set of str
    now_s : float
    """
    if not cell.placement_policy.is_on:
        return None
    reservations = Reservations(cell, workers, now_s)
    if cell.placement_policy.keeps_gaps:
        reservations.keep_gaps(jobs)
    if cell.placement_policy.reserved_jobs:
        reservations.claim(jobs, stale_task_ids)
    return reservations


class Reservations:
    """The reservations of one placement pass."""

    def __init__(self, cell, workers, now_s):
        self._cell = cell
        self._now_s = now_s
        self._by_worker = {}
        #: Start of the first reserved task, by job and step key.
        self._start_by_step = {}
        self._count = 0
        self._backfills = 0
        #: Ids of jobs with claims.
        self._claiming = set()
        #: Claims with the ids of their workers, by job and step key.
        self._claims_by_step = {}
        #: Jobs that hold reservations against all later ones, by queue.
        self._holders_by_queue = {}
        #: Number of steps that were stopped, by queue and label.
        self._blocked_by_kind = {}
        #: `GapKeeper`, or None if small tasks may go anywhere.
        self._gaps = None
        self._search = StartSearch(cell, workers, now_s)
        self._class_by_job = {}
        #: Whether a worker was passed over since `reset_blocked`.
        self.is_blocked = False

    def keep_gaps(self, jobs):
        """Let small tasks avoid the room that the largest waiting ones could use."""
        self._gaps = GapKeeper(self._cell, jobs)

    def _held(self, worker):
        return self._by_worker.get(worker.worker_id, ())

    # Claims, before the jobs are placed.

    def claim(self, jobs, stale_task_ids):
        """Reserve for the first waiting jobs of each queue, before any is placed."""
        tried_by_queue = {}
        for job in jobs:
            queue = self._cell.queue_of(job)
            tried = tried_by_queue.get(queue.name, 0)
            if tried >= self._cell.placement_policy.reserved_jobs:
                continue
            tried_by_queue[queue.name] = tried + 1
            if self._now_s - job.first_seen_s < MIN_CLAIM_AGE_S:
                continue
            claim = (queue.name, self._class_of(job)[0])
            groups = ready_by_step(self._cell, job, stale_task_ids)
            for step_key, keys in groups.items():
                step = job.spec.steps[step_key[1]]
                if self._reserve(job, queue, step_key, len(keys), step, claim):
                    self._claiming.add(job.job_id)

    def release(self, job):
        """Drop the claims of a job when its turn in the order has come."""
        if job.job_id not in self._claiming:
            return
        for worker_id, held in list(self._by_worker.items()):
            others = [one for one in held if one.job_id != job.job_id]
            if len(others) == len(held):
                continue
            self._count -= len(held) - len(others)
            if others:
                self._by_worker[worker_id] = others
            else:
                del self._by_worker[worker_id]

    def _class_of(self, job):
        """Return the class of a job in the order, and until when it may yield."""
        found = self._class_by_job.get(job.job_id)
        if found is None:
            queue = self._cell.queue_of(job)
            found = (
                placement_class(self._cell, job, self._now_s),
                yield_end_s(queue, job),
            )
            self._class_by_job[job.job_id] = found
        return found

    # Reservations, after a job was tried.

    def hold(self, job, step_key, count):
        """Reserve for tasks of a step that were not placed, if the job is one of few.

        Parameters
        ----------
        job : Job
        step_key : tuple of int
            Occurrence and number of the step.
        count : int
            Number of its tasks that wait.
        """
        queue = self._cell.queue_of(job)
        holders = self._holders_by_queue.setdefault(queue.name, set())
        if job.job_id not in holders:
            if len(holders) >= self._cell.placement_policy.reserved_jobs:
                return
            holders.add(job.job_id)
        if self._renew(job, step_key, count):
            return
        step = job.spec.steps[step_key[1]]
        self._reserve(job, queue, step_key, count, step, None)

    def _renew(self, job, step_key, count):
        """Hold what the job had claimed for later; return whether that was anything.

        A second search would find much the same, since the claims kept the room free.
        """
        later = [
            (worker_id, one)
            for worker_id, one in self._claims_by_step.get((job.job_id, step_key), ())
            if one.start_s > self._now_s
        ]
        for worker_id, one in later[:count]:
            held = self._by_worker.setdefault(worker_id, [])
            held.append(replace(one, claim=None))
        self._count += len(later[:count])
        return bool(later)

    def _reserve(self, job, queue, step_key, count, step, claim):
        """Reserve for up to ``count`` tasks of a step; return whether any was."""
        count = min(count, MAX_RESERVED_TASKS - self._count)
        # A gang needs all members; permits hold on few workers and for a short time.
        if count < (step.count if step.is_gang else 1) or step.is_service:
            return False
        if queue.needs_permits or self._has_waited_too_long(job, queue, step):
            return False
        need, use = need_of(step, MIN_FILLER_SPEED_RATIO), use_of(step)
        found = self._search.find(
            job, step_key, count, need, use, queue.service, self._held
        )
        if not found or (step.is_gang and len(found) < step.count):
            return False
        first_s, last_s = found[0][0], found[-1][0]
        for start_s, worker in found:
            one = Reservation(
                job.job_id, last_s if step.is_gang else start_s, need, use, claim
            )
            self._by_worker.setdefault(worker.worker_id, []).append(one)
            if claim is not None:
                claims = self._claims_by_step.setdefault((job.job_id, step_key), [])
                claims.append((worker.worker_id, one))
        self._count += len(found)
        start_s = last_s if step.is_gang else first_s
        if start_s > self._now_s:
            self._start_by_step.setdefault((job.job_id, step_key), start_s)
        return True

    def _has_waited_too_long(self, job, queue, step):
        waited_s = self._now_s - max(job.last_active_s, job.first_seen_s)
        expected = self._cell.run_times.expect(queue.name, step)
        return waited_s > MAX_WAIT_RATIO * expected.seconds

    # Use by others.

    def reset_blocked(self):
        """Clear `is_blocked` before the next step."""
        self.is_blocked = False

    def count_block(self, job, step):
        """Count a step that reservations have stopped."""
        kind = (job.spec.queue.name, step.required_label)
        self._blocked_by_kind[kind] = self._blocked_by_kind.get(kind, 0) + 1

    def skips(self, job, step):
        """Return whether a step is left out since many of its kind were stopped."""
        kind = (job.spec.queue.name, step.required_label)
        return (
            self._blocked_by_kind.get(kind, 0) >= BACKFILL_DEPTH
            and not step.is_service
            and job.job_id not in self._claiming
        )

    def allows(self, job, step, worker):
        """Return whether a task of a step may start on a worker now."""
        held = self._by_worker.get(worker.worker_id)
        if held is None or step.is_service:
            return True
        held = self._holding_against(job, held)
        if not held:
            return True
        end_s = latest_end_s(self._cell, job, step, worker, self._now_s)
        is_free = leaves_room(
            self._cell, worker, held, use_of(step), self._now_s, end_s
        )
        self.is_blocked |= not is_free
        return is_free

    def count_allowed(self, job, step, worker, limit):
        """Return how many tasks of a step may start on a worker now, at most.

        Reservations from the expected end of the tasks on are not counted, since the
        tasks are expected to have released their room by then.
        """
        held = self._by_worker.get(worker.worker_id)
        if held is None or step.is_service:
            return limit
        held = self._holding_against(job, held)
        if not held:
            return limit
        expected = self._cell.run_times.expect(job.spec.queue.name, step)
        end_s = self._now_s + expected.seconds
        count = count_leaving_room(
            self._cell, step, worker, held, self._now_s, end_s, limit
        )
        self.is_blocked |= count < limit
        return count

    def _holding_against(self, job, held):
        found = []
        for one in held:
            if one.job_id == job.job_id:
                continue
            if one.claim is not None:
                queue_name, claim_class = one.claim
                job_class, until_s = self._class_of(job)
                if queue_name == job.spec.queue.name or claim_class != job_class:
                    continue
                if one.start_s >= until_s:
                    continue
            found.append(one)
        return found

    def note_starts(self, effects):
        """Count the starts on workers with reservations of other jobs."""
        for effect in effects:
            if isinstance(effect, StartRun):
                job_id = effect.run.job_id
                held = self._by_worker.get(effect.worker.worker_id, ())
                self._backfills += any(one.job_id != job_id for one in held)

    def gap_loss(self, step, worker):
        """Return how many large tasks would find no room any more; see `GapKeeper`."""
        return self._gaps.loss(step, worker) if self._gaps is not None else 0

    def effects(self):
        """Return the effects that log and count; remembers what was logged."""
        made = tuple(
            (job_id, step_key, round(start_s - self._now_s, 3))
            for (job_id, step_key), start_s in self._start_by_step.items()
            if (job_id, step_key) not in self._cell.logged_reservations
        )
        self._cell.logged_reservations = frozenset(self._start_by_step)
        if not made and not self._backfills:
            return []
        return [ReservationsMade(made, self._backfills)]
