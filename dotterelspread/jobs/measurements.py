"""What the figures of a report teach: use of processors, tails, costs of pairs."""

from .paircost import disturbance

__all__ = ["apply_measurements"]

#: Progress from which on a run's use of processors is believed.
MIN_USAGE_PROGRESS_PERCENT = 15
#: Part of an undisturbed tail that is still assumed at the next report.
UNDISTURBED_DECAY_RATIO = 0.98
#: Least part of its target that a tail is assumed at.
MIN_UNDISTURBED_RATIO = 0.1


def apply_measurements(cell, worker, report):
    """Learn from tails and processors in use, and what tails are without fillers."""
    tails_by_image = {}
    cores_by_image = {}
    worst_by_image = {}
    for row in report.running:
        run = worker.runs_by_task.get(row.task_id)
        if run is None:
            continue
        if run.is_serving:
            tails_by_image.setdefault(run.image, {})[row.task_id] = row.figure
            tail = row.figure / run.target_ms
            worst_by_image[run.image] = max(tail, worst_by_image.get(run.image, 0.0))
            continue
        if row.percent >= MIN_USAGE_PROGRESS_PERCENT:
            run.used_millicores = row.figure
        if run.is_filler:
            cores = cores_by_image.get(run.image, 0.0)
            cores_by_image[run.image] = cores + row.figure / 1000
    worker.forget_sums()
    is_busy = worker.idle_millicores < 0
    if tails_by_image and not is_busy:
        cell.costs.learn(
            worker.worker_id,
            worker.born_ms,
            report.listed_ms,
            tails_by_image,
            cores_by_image,
        )
    _update_undisturbed_tails(cell, worker, worst_by_image, cores_by_image)


def _update_undisturbed_tails(cell, worker, worst_by_image, cores_by_image):
    """Keep the highest undisturbed tails, which fade unless they are reached again."""
    updated = {}
    for image, worst in worst_by_image.items():
        undisturbed = worst / disturbance(cell.costs.of, image, cores_by_image)
        decayed = worker.undisturbed_by_image.get(image, 0.0) * UNDISTURBED_DECAY_RATIO
        updated[image] = max(undisturbed, decayed, MIN_UNDISTURBED_RATIO)
    worker.undisturbed_by_image = updated
