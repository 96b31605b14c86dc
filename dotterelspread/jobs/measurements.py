"""Learning from reported measurements: CPU use, tail latencies and pair costs."""

from .paircost import interference_factor

__all__ = ["apply_measurements"]

#: Progress of a run from which its CPU use counts as representative.
MIN_USAGE_PROGRESS_PERCENT = 15
#: Decay factor per report of the highest undisturbed tail latency.
UNDISTURBED_DECAY_RATIO = 0.98
#: Lower bound of an undisturbed tail latency, relative to its target.
MIN_UNDISTURBED_RATIO = 0.1


def apply_measurements(cell, worker, report):
    """Update CPU use, pair costs and undisturbed tail latencies from a report."""
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
    _update_undisturbed_tails(cell, worker, worst_by_image, cores_by_image)


def _update_undisturbed_tails(cell, worker, worst_by_image, cores_by_image):
    """Track peaks of the tail latencies without fillers, with exponential decay."""
    updated = {}
    for image, worst in worst_by_image.items():
        undisturbed = worst / interference_factor(cell.costs.of, image, cores_by_image)
        decayed = (
            worker.baseline_tail_by_image.get(image, 0.0) * UNDISTURBED_DECAY_RATIO
        )
        updated[image] = max(undisturbed, decayed, MIN_UNDISTURBED_RATIO)
    worker.baseline_tail_by_image = updated
