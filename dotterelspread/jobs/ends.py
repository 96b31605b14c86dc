"""Applies the ends of runs that a worker reports to their tasks and jobs."""

from bisect import insort

from .agentreport import RunEnd
from .cell import AcknowledgeEnds
from .incarnations import is_current
from .job import Phase
from .lifecycle import add_due_steps, end_job, note_begun, requeue, stop_run
from .placement.workerfaults import record_completion, record_failure
from .runtimes import measure_run_s
from .spec import parse_task_id
from .taskrun import RunStopReason
from .withdrawals import withdraw_start

__all__ = ["apply_ends"]


def apply_ends(cell, worker, event):
    """Apply the new ends of a report; return the effects."""
    effects = []
    ended = event.report.ended
    for end in ended:
        if end.number > worker.last_applied_end:
            worker.last_applied_end = end.number
            job, _ = _find_task(cell, end)
            note_begun(cell, job)
            effects.extend(_apply_end(cell, worker, end, event))
    if ended:
        number = _acknowledged_number(cell, worker, event)
        effects.append(AcknowledgeEnds(worker.agent_address, worker.born_ms, number))
    return effects


def _find_task(cell, end):
    """Return the job and key of the task of an ended run, or twice None."""
    parsed = parse_task_id(end.task_id)
    job = parsed and cell.jobs_by_id.get(parsed[0])
    if not job or parsed[1] not in job.tasks_by_key:
        return None, None
    return job, parsed[1]


def _acknowledged_number(cell, worker, event):
    """Return the number before the first end that waits for a withdrawn start."""
    waiting = [
        end.number
        for end in event.report.ended
        if end.how == RunEnd.COMPLETED and _must_wait(cell, end, event.now_s)
    ]
    return min([worker.last_applied_end, *(number - 1 for number in waiting)])


def _must_wait(cell, end, now_s):
    job, key = _find_task(cell, end)
    withdrawals = job.withdrawals if job else ()
    return any(w.key == key and not w.is_over(now_s) for w in withdrawals)


def _apply_end(cell, worker, end, event):
    run = worker.runs_by_task.get(end.task_id)
    if run is None or run.run != end.run:
        return _apply_earlier_end(cell, end, event)
    worker.remove(end.task_id)
    job = cell.jobs_by_id.get(run.job_id)
    if job is None or not is_current(job, run, worker):
        return _apply_earlier_end(cell, end, event)
    if not job.is_open:
        requeue(cell, job, run.key, end.checkpoint)
        return []
    step = job.step_of(run.key)
    if end.how == RunEnd.COMPLETED:
        record_completion(job, worker)
        if not step.is_service:
            _learn_from(cell, job, run, event)
            return _complete(cell, job, run.key, event)
    elif end.how == RunEnd.FAILED:
        return _fail(cell, job, run, worker, end, event)
    requeue(cell, job, run.key, end.checkpoint)
    return []


def _apply_earlier_end(cell, end, event):
    """Complete a task if a run of it completed that is not its latest one.

    A worker may carry out a start late, after the leader has given the run up. Once the
    end is acknowledged, the task must not start again.
    """
    job, key = _find_task(cell, end)
    if job is None or not job.is_open or end.how != RunEnd.COMPLETED:
        return []
    task = job.tasks_by_key[key]
    if task.phase == Phase.COMPLETED or end.run > task.run:
        return []
    if job.step_of(key).is_service:
        return []
    return _complete(cell, job, key, event)


def _learn_from(cell, job, run, event):
    """Record the run time of a completed run."""
    if run.is_listed:
        durations = job.durations_by_step.setdefault(run.key[:2], [])
        insort(durations, event.now_s - run.first_listed_s)
    _learn_run_time(cell, job, run, job.step_of(run.key), event)


def _complete(cell, job, key, event):
    occurrence, number, _ = key
    effects = []
    keys = [key]
    if job.step_of(key).is_gang:
        # The completion of one member completes the whole gang.
        keys = job.keys_of_step(occurrence, number)
    for member in keys:
        task = job.tasks_by_key[member]
        effects.extend(_stop_other_run(cell, job, member, task, event.now_s))
        job.complete(member)
        cell.clear_ready(job, member)
    cell.dirty_job_ids.add(job.job_id)
    if job.is_complete:
        return effects + end_job(cell, job, event.wall_ms)
    if job.incomplete_by_step[occurrence, number] == 0:
        for later, other in enumerate(job.spec.steps):
            if number in other.depends_on:
                add_due_steps(cell, job, occurrence, later)
    return effects


def _learn_run_time(cell, job, run, step, event):
    if not cell.placement_policy.reserved_jobs:
        # Only reservations use learned run times.
        return
    had_checkpoint = run.run > 1 and bool(job.tasks_by_key[run.key].checkpoint)
    run_s = measure_run_s(run, had_checkpoint, event.now_s, event.report.listed_ms)
    cell.run_times.learn(job.spec.queue.name, step, run_s)


def _stop_other_run(cell, job, key, task, now_s):
    """Stop a remaining run of a task that has completed through another run."""
    worker = cell.workers_by_id.get(task.worker_id)
    task_id = job.task_id(key)
    run = worker and worker.runs_by_task.get(task_id)
    if not run:
        return []
    effects = withdraw_start(cell, job, run, worker, now_s)
    return effects + stop_run(worker, run, task_id, RunStopReason.COMPLETED)


def _fail(cell, job, run, worker, end, event):
    task = job.tasks_by_key[run.key]
    step = job.step_of(run.key)
    task.avoided_worker_id = worker.worker_id
    record_failure(cell, job, worker, event.now_s)
    requeue(cell, job, run.key, end.checkpoint)
    if step.is_service:
        return []
    task.failures += 1
    queue = cell.queue_of(job)
    if task.failures >= queue.max_attempts:
        job.has_failed = True
        return end_job(cell, job, event.wall_ms)
    return []
