"""Processor utilisation of a saturated cell, compared with perfect knowledge.

Task sizes are heavy-tailed, and declared sizes are wrong by a factor of up to five in
either direction. Each reservation policy runs the same tasks: best fit with the true
sizes, the larger of declared and measured size (as in production), and reservations
that shrink to the measured size.

Run with ``python -m bench.packing``.
"""

import argparse
import random

from bench.fleet import Fleet, job, spec
from dotterelspread.resources import Resources

MEMBER_COUNT = 4
BACKLOG_TASKS = 24
WARM_UP_S = 120.0
SAMPLE_INTERVAL_S = 5.0
TARGET_RATIO = 0.9


def make_jobs(count, size_error, seed):
    """Return pairs of jobs of one task: with declared sizes and with true sizes."""
    rng = random.Random(seed)
    pairs = []
    for number in range(count):
        cores = int(min(16_000, 1000 * rng.lognormvariate(0.7, 0.8)))
        memory = int(min(64_000, 4 * cores * rng.uniform(0.3, 1.2)))
        run_time_s = min(900.0, rng.lognormvariate(4.8, 0.7))
        factors = [size_error ** rng.uniform(-1, 1) for _ in range(2)]
        declared = (
            min(32_000, int(cores * factors[0])),
            min(128_000, int(memory * factors[1])),
        )
        arguments = (str(run_time_s), str(cores), str(memory))
        pairs.append(
            [
                job(
                    f"j{number:05d}",
                    spec(f"j{number:05d}/0", *size, run_time_s, arguments=arguments),
                )
                for size in (declared, (cores, memory))
            ]
        )
    return pairs


class Load:
    """Keeps a constant backlog of jobs in a cell and samples the resources in use."""

    def __init__(self, fleet, jobs):
        self.fleet = fleet
        self.jobs = iter(jobs)
        self.samples = []
        self.overloads = [0, 0]
        self.top_up()

    def top_up(self):
        cell = self.fleet.agents[0].state.cell
        for _ in range(BACKLOG_TASKS - len(cell.pending)):
            self.fleet.submit(next(self.jobs))
        self.fleet.after(1.0, self.top_up)

    def sample(self):
        for agent in self.fleet.agents:
            self.fleet.advance_worker(agent)
            used = Resources()
            for task in agent.worker.running_by_id.values():
                cores, memory, _ = task.start.true_size
                used = used + Resources(int(cores * task.share), memory)
            capacity = self.fleet.capacity
            self.overloads[0] += used.millicores > capacity.millicores
            self.overloads[1] += used.memory_mb > capacity.memory_mb
            self.samples.append(min(1.0, used.millicores / capacity.millicores))
        self.fleet.after(SAMPLE_INTERVAL_S, self.sample)


def run_policy(jobs, duration_s, is_reclaiming, seed):
    fleet = Fleet(MEMBER_COUNT, seed, tick_s=0.5)
    for agent in fleet.agents:
        agent.worker.lag_s = 5.0
        agent.state.is_reclaiming = is_reclaiming
    fleet.run(3.0)
    load = Load(fleet, jobs)
    fleet.after(WARM_UP_S, load.sample)
    fleet.run(duration_s)
    cell = fleet.agents[0].state.cell
    releases = sum(task.releases for task in cell.tasks_by_id.values())
    use = sum(load.samples) / len(load.samples)
    return use, [n / len(load.samples) for n in load.overloads], releases


def main(args=None):
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--offs", type=float, nargs="+", default=[2.0, 5.0])
    parser.add_argument("--duration", type=float, default=420.0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args(args)
    print(
        f"{MEMBER_COUNT} members of 32 cores, {options.duration:.0f} s, {options.seed=}"
    )
    print(
        "error   policy                cores used  of perfect"
        "  cores over  memory over  released"
    )
    for size_error in options.offs:
        pairs = make_jobs(3000, size_error, options.seed)
        policies = (
            ("perfect knowledge", [pair[1] for pair in pairs], False),
            ("declared or measured", [pair[0] for pair in pairs], False),
            ("shrunk to measured", [pair[0] for pair in pairs], True),
        )
        perfect = None
        for name, jobs, is_reclaiming in policies:
            use, overloaded, releases = run_policy(
                jobs, options.duration, is_reclaiming, options.seed
            )
            perfect = perfect or use
            print(
                f"{size_error:5.1f}x  {name:20}  {use:9.1%}  {use / perfect:9.1%}"
                f"  {overloaded[0]:10.1%}  {overloaded[1]:11.1%}  {releases:8d}"
            )
    print(f"target: {TARGET_RATIO:.0%} of perfect at 5x")


if __name__ == "__main__":
    main()
