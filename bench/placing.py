"""Processor time of placement at the leader, by the number of workers.

``python -m bench placing [--workers N ...]``
"""

import argparse
import time

from dotterelspread.jobs.cell import Cell, CellTick, Submitted
from dotterelspread.jobs.handlers import reduce
from dotterelspread.jobs.job import Job
from dotterelspread.jobs.queues import FleetConfiguration, Queue
from dotterelspread.jobs.spec import JobSpec, StepSpec
from dotterelspread.jobs.submitting import add_job
from dotterelspread.jobs.worker import Worker
from dotterelspread.resources import Resources

QUEUE = Queue("q", "host", "/q/", "svc", 0, 3, 2.0, 500)
CAPACITY = Resources(32_000, 128_000, 0)
TASKS_PER_JOB = 10
#: Jobs in the queue while all workers are full.
BACKLOG_JOBS = 100


def make_cell(count):
    cell = Cell(FleetConfiguration(1, {"q": QUEUE}))
    for number in range(count):
        worker = Worker(f"i-{number}", 1, f"a{number}:1", "svc", capacity=CAPACITY)
        worker.is_reachable = True
        cell.workers_by_id[worker.worker_id] = worker
    return cell


def make_job(number, is_filler):
    step = StepSpec(
        TASKS_PER_JOB, Resources(2000, 1000), 2000, is_filler=is_filler, image="f"
    )
    return JobSpec(f"{number:016x}", QUEUE, "p", (step,))


def measure(count, is_filler):
    """Return seconds per start, seconds of a tick with a backlog, and jobs waiting."""
    cell = make_cell(count)
    began_s = time.perf_counter()
    starts = 0
    number = 0
    while starts < 10 * count:
        number += 1
        starts += len(reduce(Submitted(0.0, make_job(number, is_filler), 0), cell))
    start_s = (time.perf_counter() - began_s) / starts
    for _ in range(20 * count):
        number += 1
        if not reduce(Submitted(0.0, make_job(number, is_filler), 0), cell):
            break
    for extra in range(BACKLOG_JOBS):
        job = Job.from_spec(make_job(10**6 + extra, is_filler), 0.0)
        add_job(cell, job, 0)
    began_s = time.perf_counter()
    reduce(CellTick(0.1, 0), cell)
    return start_s, time.perf_counter() - began_s, len(cell.ready_by_job)


def main(args):
    parser = argparse.ArgumentParser(prog="bench placing")
    parser.add_argument("--workers", type=int, nargs="+", default=[11, 70, 210, 630])
    options = parser.parse_args(args)
    print("workers  kind    us a start  ms a tick  jobs waiting")
    for count in options.workers:
        for is_filler in (False, True):
            start_s, tick_s, waiting = measure(count, is_filler)
            kind = "filler" if is_filler else "batch"
            print(
                f"{count:7}  {kind:6}  {start_s * 1e6:10.0f}  {tick_s * 1e3:9.2f}"
                f"  {waiting:12}"
            )
