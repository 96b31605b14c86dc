"""What the figures of a report teach: use of processors, tails, costs of pairs."""

from .paircost import interference_factor

__all__ = ["take_figures"]

#: Progress from which on a run's use of processors is believed.
MIN_MEASURED_PERCENT = 15
#: Part of an undisturbed tail that is still assumed at the next report.
UNDISTURBED_FADING = 0.98
#: Least part of its target that a tail is assumed at.
MIN_UNDISTURBED = 0.1


def take_figures(cell, worker, report):
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
        if row.percent >= MIN_MEASURED_PERCENT:
            run.used_millicores = row.figure
        if run.is_filler:
            cores = cores_by_image.get(run.image, 0.0)
            cores_by_image[run.image] = cores + row.figure / 1000
    worker.invalidate_usage()
    is_busy = worker.idle_millicores < 0
    if tails_by_image and not is_busy:
        cell.costs.learn(
            worker.worker_id,
            worker.born_ms,
            report.listed_ms,
            tails_by_image,
            cores_by_image,
        )
    _follow_undisturbed(cell, worker, worst_by_image, cores_by_image)


def _follow_undisturbed(cell, worker, worst_by_image, cores_by_image):
    """Keep the highest undisturbed tails, which fade unless they are reached again."""
    followed = {}
    for image, worst in worst_by_image.items():
        undisturbed = worst / interference_factor(cell.costs.of, image, cores_by_image)
        faded = worker.baseline_tail_by_image.get(image, 0.0) * UNDISTURBED_FADING
        followed[image] = max(undisturbed, faded, MIN_UNDISTURBED)
    worker.baseline_tail_by_image = followed
