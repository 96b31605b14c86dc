"""State changes shared by several events: release, requeue and end of work."""

from .cell import StartRun, StopRun
from .job import Phase
from .taskrun import RunStopReason, TaskRun

__all__ = [
    "add_due_steps",
    "end_job",
    "end_reason",
    "is_suitable",
    "make_run",
    "note_begun",
    "release_occurrence",
    "requeue",
    "start_effect",
    "stop_run",
]


def make_run(job, key, run_number):
    """Return a `TaskRun` for a task; the caller adds it to a worker."""
    step = job.step_of(key)
    return TaskRun(
        job.job_id,
        key,
        run_number,
        step.reserved,
        step.demand.millicores,
        step.target_ms if step.is_service else 0,
        step.is_filler,
        step.image,
        is_on_probation=job.tasks_by_key[key].early_crashes > 0,
    )


def is_suitable(cell, job, worker, run):
    """Tell whether the worker of an assigned run may still start it.

    Since the assignment the worker may have shrunk or returned as another kind, or its
    data centre may have been evacuated.
    """
    if worker.is_evacuated:
        return False
    label = job.step_of(run.key).required_label
    has_room = run.reserved.fits_in(worker.available + run.reserved)
    has_label = not label or label in worker.labels
    return has_room and has_label and worker.service == cell.queue_of(job).service


def start_effect(cell, job, worker, run, task_id, now_s):
    """Return the `StartRun` effect for a run."""
    step = job.step_of(run.key)
    checkpoint = job.tasks_by_key[run.key].checkpoint
    permit = ""
    if cell.queue_of(job).needs_permits:
        permit = cell.permits_of(job, run.key[:2]).of(worker, now_s)
    return StartRun(worker, run, task_id, job.spec.program, checkpoint, step, permit)


def release_occurrence(cell, job, occurrence):
    """Make the due steps of an occurrence ready for placement."""
    for number in range(len(job.spec.steps)):
        add_due_steps(cell, job, occurrence, number)


def add_due_steps(cell, job, occurrence, number):
    """Make the pending tasks of a step ready for placement if the step is due."""
    if not job.is_open or not job.is_step_due(occurrence, number):
        return
    for key in job.keys_of_step(occurrence, number):
        if job.tasks_by_key[key].phase == Phase.PENDING:
            cell.set_ready(job, key)


def note_begun(cell, job):
    """Record that a task of a job has begun, if the job is known.

    Only what a worker says of a run shows that: its confirmation of a start, a list
    with the run, or its end. An order without an answer shows nothing.
    """
    if job is not None and not job.has_begun:
        job.has_begun = True
        cell.begun_job_ids.add(job.job_id)


def requeue(cell, job, key, checkpoint):
    """Make a task pending again after its run ended without completing."""
    job.requeue(key)
    job.keep_checkpoint(key, checkpoint)
    cell.dirty_job_ids.add(job.job_id)
    if job.is_open:
        cell.set_ready(job, key)


def end_job(cell, job, wall_ms):
    """End a job that completed, failed or was cancelled; return the effects.

    Its runs are stopped; their resources stay reserved until the workers report ends.
    """
    job.ended_ms = wall_ms
    job.drop_checkpoints()
    cell.dirty_job_ids.add(job.job_id)
    cell.ready_by_job.pop(job.job_id, None)
    cell.permits_by_job.pop(job.job_id, None)
    effects = []
    reason = end_reason(job)
    for key, task in job.tasks_by_key.items():
        if task.phase != Phase.ASSIGNED:
            continue
        worker = cell.workers_by_id.get(task.worker_id)
        run = worker and worker.runs_by_task.get(job.task_id(key))
        if run:
            effects.extend(stop_run(worker, run, job.task_id(key), reason))
    return effects


def end_reason(job):
    """Return the `RunStopReason` for runs of an ended job."""
    if job.is_cancelled:
        return RunStopReason.CANCELLED
    return RunStopReason.FAILED if job.has_failed else RunStopReason.COMPLETED


def stop_run(worker, run, task_id, reason):
    """Order the stop of a run for a `RunStopReason`; return the effects."""
    run.stop_reason = run.stop_reason or reason
    # A stopped run releases its capacity earlier.
    worker.releases = None
    if run.is_stop_in_flight or not worker.is_reachable:
        # The next tick retries the order.
        return []
    # A start may be on its way: the agent does not attempt it again.
    run.is_stop_in_flight = True
    return [StopRun(worker, run, task_id)]
