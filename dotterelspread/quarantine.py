"""Tells faulty jobs from faulty workers in one cell and quarantines the workers.

All decisions are a pure function of the task starts and ends in the cell's stream,
applied in offset order, so that every member of the cell reaches the same decisions.
Offsets take the place of a clock for probes and retries.
"""

import enum
from dataclasses import dataclass

import msgspec

from .evidence import EndedRunEvidence, WorkerEvidence
from .jobfault import JobTable, JobTableState

__all__ = ["QuarantineError", "QuarantineState", "Standing", "StartDecision"]

#: Largest fraction of a cell's workers in quarantine at a time. One worker may always
#: be quarantined, however small the cell.
MAX_QUARANTINED_SHARE = 0.2

#: Likelihood ratio from which a worker is suspect and gets one task at a time.
SUSPECT_LIKELIHOOD_RATIO = 30.0

#: Likelihood ratio from which a worker may be quarantined.
QUARANTINE_LIKELIHOOD_RATIO = 1e4

#: Distinct jobs that must have failed on a worker before it is quarantined.
MIN_FAILED_JOBS = 3

#: Consecutive probes that must complete before the quarantine is lifted.
PROBES_TO_LIFT = 3

#: Initial and longest gap between a failed probe and the next; each failure doubles it.
MIN_PROBE_GAP_OFFSETS = 100
MAX_PROBE_GAP_OFFSETS = 800


class QuarantineError(Exception):
    """A snapshot of the evidence cannot be decoded."""


class Standing(enum.StrEnum):
    """Which tasks a worker may be given."""

    #: Any task.
    OPEN = "open"
    #: One task at a time, until there is enough evidence either way.
    SUSPECT = "suspect"
    #: Probes only.
    QUARANTINED = "quarantined"


@dataclass(slots=True, frozen=True)
class StartDecision:
    """Whether a task may start on a worker, and why."""

    allowed: bool
    is_probe: bool
    reason: str


@dataclass(slots=True)
class QuarantineSnapshot:
    """Encoded form of a `QuarantineState`."""

    offset: int
    workers_by_id: dict[str, WorkerEvidence]
    jobs: JobTableState


_encoder = msgspec.msgpack.Encoder(order="deterministic")
_decoder = msgspec.msgpack.Decoder(QuarantineSnapshot)


class QuarantineState:
    """Evidence about the jobs and workers of one cell as of an offset.

    A process keeps one instance for each cell whose stream it reads, and reports every
    start, completion, failure and release of a task to it in offset order.
    """

    __slots__ = ("_jobs", "_offset", "_workers_by_id")

    def __init__(self):
        self._offset = -1
        self._workers_by_id = {}
        self._jobs = JobTable(self._is_trusted)

    def advance(self, offset):
        """Advance to the offset of a record of the cell, by which probes become due."""
        self._offset = offset

    def encode(self):
        """Return the state as bytes, identical for all readers at the same offset."""
        state = self._jobs.to_state()
        return _encoder.encode(
            QuarantineSnapshot(self._offset, self._workers_by_id, state)
        )

    @classmethod
    def decode(cls, data):
        """Return the state from the bytes that `encode` returned.

        Raises
        ------
        QuarantineError
            If the bytes are not an encoded state.
        """
        try:
            snapshot = _decoder.decode(data)
        except (msgspec.DecodeError, ValueError) as error:
            raise QuarantineError(f"invalid quarantine snapshot: {error}") from error
        state = cls()
        state._offset = snapshot.offset
        state._workers_by_id = snapshot.workers_by_id
        state._jobs.restore(snapshot.jobs)
        return state

    def add_worker(self, worker_id):
        """Add a worker to the cell; does nothing if it is known already."""
        if worker_id not in self._workers_by_id:
            self._workers_by_id[worker_id] = WorkerEvidence()

    def remove_worker(self, worker_id):
        """Remove a worker that has left the cell, with its evidence."""
        self._workers_by_id.pop(worker_id, None)

    def remove_task(self, task_id):
        """Remove the evidence of a task that was cancelled or refused."""
        self._jobs.remove_task(task_id)

    def started(self, offset, job_id, worker_id):
        """Record the start of a task of a job on a worker."""
        self._offset = offset
        self.add_worker(worker_id)
        self._jobs.started(job_id)

    def released(self, offset, job_id):
        """Undo a start whose task was evicted, lapsed or cancelled."""
        self._offset = offset
        self._jobs.released(job_id)

    def success(self, offset, job_id, task_id, worker_id):
        """Record the completion of a task on a worker."""
        self._offset = offset
        self.add_worker(worker_id)
        affected_ids = self._jobs.success(job_id, task_id, worker_id)
        self._end_run(job_id, worker_id, ok=True)
        for other_id in affected_ids:
            self._evaluate_worker(other_id)

    def failure(self, offset, job_id, task_id, worker_id):
        """Record the failure of a task on a worker."""
        self._offset = offset
        self.add_worker(worker_id)
        self._jobs.failure(offset, job_id, task_id, worker_id)
        self._end_run(job_id, worker_id, ok=False)

    def standing(self, worker_id):
        """Return the `Standing` of a worker."""
        worker = self._workers_by_id.get(worker_id)
        if worker is None or self._is_trusted(worker_id):
            return Standing.OPEN
        if worker.quarantined_at is not None:
            return Standing.QUARANTINED
        return Standing.SUSPECT

    def quarantined_ids(self):
        """Return the ids of the workers in quarantine, sorted."""
        return sorted(
            worker_id
            for worker_id, worker in self._workers_by_id.items()
            if worker.quarantined_at is not None
        )

    def refusal(self, job_id, task_id):
        """Return why a task should be refused permanently, or None."""
        return self._jobs.refusal(job_id, task_id)

    def wait(self, job_id, task_id):
        """Return why a task must not start on any worker yet, or None.

        `admit` checks this for each worker; calling it first avoids trying every worker
        in vain.
        """
        return self._jobs.wait(self._offset, job_id, task_id)

    def admit(self, worker_id, job_id, task_id, running):
        """Decide whether a task may start on a worker.

        Parameters
        ----------
        worker_id, job_id, task_id : str
        running : int
            Number of tasks running on the worker.

        Returns
        -------
        admission : StartDecision
        """
        wait = self.wait(job_id, task_id)
        if wait is not None:
            return StartDecision(False, False, wait)
        if worker_id in self._excluded_worker_ids(task_id):
            return StartDecision(
                False, False, f"{task_id} failed on {worker_id} before"
            )
        standing = self.standing(worker_id)
        if standing is Standing.OPEN:
            return StartDecision(True, False, f"{worker_id} is open")
        if running > 0:
            return StartDecision(
                False,
                False,
                f"{worker_id} is {standing}: limited to one task at a time",
            )
        if standing is Standing.SUSPECT:
            return StartDecision(True, False, f"{worker_id} is suspect")
        return self._admit_probe(worker_id, job_id)

    def explain(self, worker_id):
        """Return a text with a worker's standing and the jobs that failed on it."""
        worker = self._workers_by_id.get(worker_id)
        if worker is None:
            return f"{worker_id}: no task has run on it"
        failed = sorted({run.job_id for run in worker.runs if not run.ok})
        text = f"{worker_id}: {self.standing(worker_id)}"
        if failed:
            text += f"; jobs with failures in its last {len(worker.runs)} runs: "
            text += ", ".join(failed)
        if worker.quarantined_at is not None:
            text += (
                f"; quarantined at offset {worker.quarantined_at}; "
                f"{worker.probes_passed} of {PROBES_TO_LIFT} probes completed; "
                f"next probe from offset {worker.probe_at}"
            )
        return text

    def _admit_probe(self, worker_id, job_id):
        worker = self._workers_by_id[worker_id]
        if self._offset < worker.probe_at:
            detail = f"next probe from offset {worker.probe_at}"
            return StartDecision(False, False, f"{worker_id} is quarantined; {detail}")
        if self._jobs.is_possibly_faulty(job_id):
            return StartDecision(
                False, False, f"no probe with {job_id}: the job itself may be faulty"
            )
        return StartDecision(True, True, f"probe of quarantined worker {worker_id}")

    def _excluded_worker_ids(self, task_id):
        """Return the workers a task failed on, or none if no other worker is usable."""
        failed_ids = self._jobs.failed_worker_ids(task_id)
        if not failed_ids:
            return failed_ids
        usable = len(self._workers_by_id) - len(self.quarantined_ids())
        return failed_ids if len(failed_ids) < usable else ()

    def _is_trusted(self, worker_id):
        worker = self._workers_by_id.get(worker_id)
        if worker is None:
            return True
        return worker.quarantined_at is None and worker.ratio < SUSPECT_LIKELIHOOD_RATIO

    def _end_run(self, job_id, worker_id, ok):
        worker = self._workers_by_id[worker_id]
        noise, first_rate = self._jobs.noise.value, self._jobs.first_rate.value
        worker.add_run(EndedRunEvidence(job_id, ok, noise, first_rate))
        if worker.quarantined_at is None:
            self._evaluate_worker(worker_id)
        elif ok:
            self._record_passed_probe(worker)
        elif self._jobs.classify_failure(job_id, worker_id) != "blamed":
            self._record_failed_probe(worker)

    def _record_passed_probe(self, worker):
        worker.probes_passed += 1
        if worker.probes_passed >= PROBES_TO_LIFT:
            worker.quarantined_at = None
            worker.ratio = 1.0
            worker.runs.clear()

    def _record_failed_probe(self, worker):
        worker.probes_passed = 0
        worker.probe_gap = min(2 * worker.probe_gap, MAX_PROBE_GAP_OFFSETS)
        worker.probe_at = self._offset + worker.probe_gap

    def _evaluate_worker(self, worker_id):
        worker = self._workers_by_id.get(worker_id)
        if worker is None or worker.quarantined_at is not None:
            return
        worker.ratio = worker.likelihood_ratio(
            self._jobs.noise.value,
            self._jobs.first_rate.value,
            lambda job_id: self._jobs.classify_failure(job_id, worker_id),
        )
        failed = {run.job_id for run in worker.runs if not run.ok}
        is_faulty = (
            len(failed) >= MIN_FAILED_JOBS
            and worker.ratio >= QUARANTINE_LIKELIHOOD_RATIO
        )
        if is_faulty and self._has_quarantine_room():
            worker.quarantined_at = self._offset
            worker.probes_passed = 0
            worker.probe_gap = MIN_PROBE_GAP_OFFSETS
            worker.probe_at = self._offset + MIN_PROBE_GAP_OFFSETS

    def _has_quarantine_room(self):
        limit = max(1, int(MAX_QUARANTINED_SHARE * len(self._workers_by_id)))
        return len(self.quarantined_ids()) < limit
