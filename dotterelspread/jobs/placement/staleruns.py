"""Stale runs: runs on workers that are not the latest run of their task.

A copy of a start that was delayed may be executed after the leader gave the run up.
Until the worker has ended it, no other run of the task may start.
"""

__all__ = ["find_tasks_with_stale_runs", "ready_by_step"]


def find_tasks_with_stale_runs(cell):
    """Return the ids of the tasks with a stale run on any worker that answers.

    The latest lists of a worker that does not answer may be older than the end of its
    lease, after which the leader gave the runs up.
    """
    return {
        task_id
        for worker in cell.workers_by_id.values()
        if worker.stale_run_count and worker.is_reachable
        for task_id, run in worker.runs_by_task.items()
        if run.is_stale
    }


def ready_by_step(cell, job, stale_task_ids):
    """Return the keys of a job's ready tasks without stale runs, by step key."""
    groups = cell.ready_by_job[job.job_id].by_step()
    if not any(task_id.startswith(job.job_id) for task_id in stale_task_ids):
        return groups
    fresh = {
        step_key: [key for key in keys if job.task_id(key) not in stale_task_ids]
        for step_key, keys in groups.items()
    }
    return {step_key: keys for step_key, keys in fresh.items() if keys}
