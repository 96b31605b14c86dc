"""Strays: runs on workers that are not the latest run of their task.

A copy of a start that was delayed may be executed after the leader gave the run up.
Until the worker has ended it, no other run of the task may start.
"""

__all__ = ["find_strays", "ready_by_step"]


def find_strays(cell):
    """Return the ids of the tasks with a stray on any worker that answers.

    The latest lists of a worker that does not answer may be older than the end of its
    lease, after which the leader gave the runs up.
    """
    return {
        task_id
        for worker in cell.workers_by_id.values()
        if worker.stray_count and worker.is_reachable
        for task_id, run in worker.runs_by_task.items()
        if run.is_stray
    }


def ready_by_step(cell, job, strays):
    """Return the keys of a job's ready tasks without strays, by step key."""
    groups = {}
    for key in cell.ready_by_job[job.job_id]:
        if not strays or job.task_id(key) not in strays:
            groups.setdefault(key[:2], []).append(key)
    return groups
