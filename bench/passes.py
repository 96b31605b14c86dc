"""Processor time of a placement pass at the leader, without and with reservations.

All workers are full with runs that end at different times, so that each pass searches
for room for a backlog of small and large tasks, half of them fillers.

``python -m bench.passes [--workers N ...] [--tasks N ...] [--reserved N]``
"""

import argparse
import random
import time
from statistics import median

from bench.placing import CAPACITY, make_cell
from dotterelspread.jobs.job import Job
from dotterelspread.jobs.placement.placing import place_now
from dotterelspread.jobs.placementpolicy import PlacementPolicy
from dotterelspread.jobs.queues import FleetConfiguration, Queue
from dotterelspread.jobs.spec import JobSpec, StepSpec
from dotterelspread.jobs.submitting import add_job
from dotterelspread.resources import Resources

SMALL = Queue("small", "host", "/small/", "svc", 0, 3, 10.0, 60_000)
LARGE = Queue("large", "host", "/large/", "svc", 0, 3, 10.0, 60_000)
TASKS_PER_JOB = 10
#: Runs on each worker; together they leave half a core.
RUNS = 7
RUN_MILLICORES = 4500
PASSES = 7
BEGIN_S = 100.0


def make_backlog(cell, tasks, rng):
    """Add waiting jobs; a quarter of them is large, half of those are fillers."""
    for number in range(tasks // TASKS_PER_JOB):
        is_large = number % 4 == 0
        cores = rng.randint(2500, 4000) if is_large else rng.randint(600, 900)
        step = StepSpec(
            TASKS_PER_JOB,
            Resources(cores, 10),
            rng.randint(3800, 4400) if is_large else rng.randint(1100, 2000),
            image="f",
            is_filler=is_large and number % 8 == 0,
        )
        queue = LARGE if is_large else SMALL
        spec = JobSpec(f"{number + 10**6:016x}", queue, "p", (step,))
        add_job(cell, Job.from_spec(spec, BEGIN_S), 0)


def make_full_cell(workers, tasks, policy):
    """Return a `Cell` of full workers with a backlog of tasks."""
    rng = random.Random(1)
    cell = make_cell(workers)
    cell.configuration = FleetConfiguration(1, {"small": SMALL, "large": LARGE})
    for number in range(workers * RUNS):
        step = StepSpec(1, Resources(RUN_MILLICORES, 10), rng.randint(300, 9000))
        spec = JobSpec(f"{number:016x}", SMALL, "p", (step,))
        add_job(cell, Job.from_spec(spec, BEGIN_S), 0)
    place_now(cell, BEGIN_S)
    while cell.is_placing_due:
        place_now(cell, BEGIN_S)
    assert not cell.ready_by_job, CAPACITY
    cell.placement_policy = policy
    make_backlog(cell, tasks, rng)
    return cell


def measure(workers, tasks, policy):
    """Return median and largest seconds of a pass; half of the timelines are new."""
    cell = make_full_cell(workers, tasks, policy)
    times = []
    for number in range(PASSES):
        # Each worker reports twice a second, and a pass comes every 0.1 s or so.
        for worker in list(cell.workers_by_id.values())[::5]:
            worker.invalidate_usage()
        began_s = time.process_time()
        place_now(cell, BEGIN_S + 1.0 + 0.01 * number)
        times.append(time.process_time() - began_s)
    return median(times), max(times[1:])


def main(args):
    parser = argparse.ArgumentParser(prog="bench.passes")
    parser.add_argument("--workers", type=int, nargs="+", default=[70, 160, 630])
    parser.add_argument("--tasks", type=int, nargs="+", default=[100, 1000, 5000])
    parser.add_argument("--reserved", type=int, default=2)
    options = parser.parse_args(args)
    policies = {
        "off": PlacementPolicy(),
        "on": PlacementPolicy(options.reserved, True),
    }
    print("workers  tasks  reservations  ms a pass  largest")
    for workers in options.workers:
        for tasks in options.tasks:
            for name, policy in policies.items():
                usual_s, largest_s = measure(workers, tasks, policy)
                print(
                    f"{workers:7}  {tasks:5}  {name:12}  {usual_s * 1e3:9.2f}"
                    f"  {largest_s * 1e3:7.2f}"
                )


if __name__ == "__main__":
    main(None)
